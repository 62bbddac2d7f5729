"""What the operator API's paths, their handlers and the calls to them are."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence
from typing import NamedTuple, TypeAlias

from ..errors import AlderhatchError, ErrorKind, Failure
from ..http.messages import HttpRequest, HttpResponse
from .control_host import ControlHost
from .leadership import Leadership
from .operator_keys import Operator, OperatorRole

ANY_NAME = "*"
NO_LEADER_RETRY = 200.0
"""Milliseconds after which a host that does not lead is worth another question."""


class OperatorCall(NamedTuple):
    """One request to a path, with the name in it."""

    req: HttpRequest
    operator: Operator
    name: str


Handler: TypeAlias = Callable[[OperatorCall], Awaitable[HttpResponse]]


class Route(NamedTuple):
    """A method and path with what answers them."""

    method: str
    path: tuple[str, ...]
    """The parts of the path below ``/v1``; ``*`` stands for a name."""
    role: OperatorRole
    handler: Handler

    def fits(self, method: str, parts: Sequence[str]) -> bool:
        """Return whether this route takes a request.

        Args:
            method: The request's method.
            parts: Its path below ``/v1``.
        """
        if method != self.method or len(parts) != len(self.path):
            return False
        pairs = zip(self.path, parts, strict=True)
        return all(wanted == part or (wanted == ANY_NAME and part) for wanted, part in pairs)

    def name_in(self, parts: Sequence[str]) -> str:
        """Return the name in the path of a request that fits, or nothing if it has none."""
        return parts[self.path.index(ANY_NAME)] if ANY_NAME in self.path else ""


def leading(host: ControlHost) -> Leadership:
    """Return what this control host does as the leader.

    Raises:
        AlderhatchError: ``no_leader`` if it does not lead.
    """
    if host.leadership is not None:
        return host.leadership
    message = "this control host does not lead"
    raise AlderhatchError(Failure(ErrorKind.NO_LEADER, message, retry_after_ms=NO_LEADER_RETRY))
