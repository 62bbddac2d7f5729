"""What the node needs of the protocol that callers and servers speak."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple, Protocol

from ..clock import Millis
from ..core.crash_detector import fingerprint_of_parts
from ..core.entry_events import AttemptFault, LoadReport
from ..core.forwarding.outcome import Outcome
from ..core.forwarding.parts_bundle import PartsBundle
from ..core.forwarding.route import AllShards, Route
from ..http.exchange import HttpReply
from ..http.messages import HeaderFields, HttpRequest, HttpResponse


class ParsedAnswer(NamedTuple):
    """What one answer of a server means."""

    fault: AttemptFault | None
    """None if it is the answer to the request."""
    load: LoadReport | None = None
    """What the server says of its load, if it does."""
    retry_after: Millis | None = None


class CallerRequest(NamedTuple):
    """What the node needs to know of one request."""

    http: HttpRequest
    host: str
    """The host that the caller named, in lower case and without a port."""
    request_id: str
    """Names this one try of the caller."""
    time_left: Millis | None
    """How long the caller waits, if it says so."""
    forwarded_fields: HeaderFields
    """The header fields that servers get as the caller sent them."""

    @property
    def fingerprint(self) -> str:
        """The hash by which the same request is known when its caller sends it again."""
        http = self.http
        return fingerprint_of_parts(http.method.encode(), http.target.encode(), http.body)


class Dialect(Protocol):
    """Reads and writes the protocol's messages; decides nothing."""

    def read_request(self, req: HttpRequest) -> CallerRequest:
        """Take a caller's request apart.

        Raises:
            AlderhatchError: Naming the field, if it is not a request of the protocol.
        """

    def server_fields(self, req: CallerRequest, server_id: str, time_left: Millis) -> HeaderFields:
        """Return the header fields with which a request is sent to a server."""

    def read_answer(self, req: CallerRequest, reply: HttpReply) -> ParsedAnswer:
        """Return what a server's answer means.

        Only an answer to this very request counts; one that echoes another request's id is a
        ``WRONG_ANSWER``.
        """

    def bundle(self, destination: AllShards, replies: Mapping[str, HttpReply]) -> PartsBundle:
        """Return the answers of some shards, by their names, merged."""

    def response(self, route: Route, outcome: Outcome) -> HttpResponse:
        """Return the caller's response for an outcome."""
