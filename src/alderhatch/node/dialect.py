"""Interface to the HTTP-based protocol of callers and servers."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple, Protocol

from ..clock import Millis
from ..core.crash_detector import fingerprint_of_parts
from ..core.entry_events import AttemptFault, LoadReport
from ..core.forwarding.identity import Identity
from ..core.forwarding.organisation import Organisation
from ..core.forwarding.outcome import Outcome
from ..core.forwarding.parts_bundle import PartsBundle
from ..core.forwarding.route import AllShards, Route
from ..http.exchange import HttpReply
from ..http.messages import HeaderFields, HttpRequest, HttpResponse


class ParsedAnswer(NamedTuple):
    """The meaning of a server's answer."""

    fault: AttemptFault | None
    """None if the answer is valid."""
    load: LoadReport | None = None
    """The load that the server reports, if any."""
    retry_after: Millis | None = None
    is_identified: bool = True
    """Whether it names the request that it answers; refusals may name none."""


class CallerRequest(NamedTuple):
    """A caller's parsed request."""

    http: HttpRequest
    host: str
    """The requested host name, in lower case and without a port."""
    request_id: str
    """Identifies this attempt of the caller."""
    time_left: Millis | None
    """How long the caller waits; None if it set no limit."""
    forwarded_fields: HeaderFields
    """Header fields that are forwarded to servers unchanged."""
    organisation: Organisation | None = None
    """The organisation that the request belongs to, once that is decided."""
    identity: Identity | None = None
    """What was decided about its caller; None where the configuration declares no organisations."""

    @property
    def fingerprint(self) -> str:
        """A hash that is the same when the caller resends the request."""
        http = self.http
        return fingerprint_of_parts(http.method.encode(), http.target.encode(), http.body)


class Dialect(Protocol):
    """Parses and formats the protocol's messages; makes no decisions."""

    def read_request(self, req: HttpRequest) -> CallerRequest:
        """Parse a caller's request.

        Raises:
            AlderhatchError: If the request is invalid; names the field.
        """

    def key(self, req: CallerRequest) -> str | None:
        """Return the key with which the caller identifies itself; None if it sent none."""

    def identified(self, req: CallerRequest, organisation: Organisation | None) -> CallerRequest:
        """Return the request once its organisation is decided, without the caller's own fields.

        Servers learn the organisation from this host alone, and the key reaches neither them nor
        other hosts.
        """

    def server_fields(self, req: CallerRequest, server_id: str, time_left: Millis) -> HeaderFields:
        """Return the header fields of a request to a server."""

    def read_answer(
        self, req: CallerRequest, reply: HttpReply, is_part: bool = False
    ) -> ParsedAnswer:
        """Parse a server's answer.

        An answer that echoes the ID of another request is a ``WRONG_ANSWER``.

        Args:
            req: The request.
            reply: The answer.
            is_part: Whether it is to be merged with the answers of other shards.
        """

    def bundle(self, destination: AllShards, replies: Mapping[str, HttpReply]) -> PartsBundle:
        """Merge the answers of some shards, given by shard name."""

    def response(self, route: Route, outcome: Outcome) -> HttpResponse:
        """Return the response to the caller for an outcome."""
