"""Routes of the operator API and the calls that their handlers get."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence
from typing import NamedTuple, TypeAlias

from ..errors import AlderhatchError, ErrorKind, Failure
from ..http.messages import HttpRequest, HttpResponse
from .control_host import ControlHost
from .leadership import Leadership
from .operator_keys import Operator, OperatorRole

ANY_NAME = "*"
NO_LEADER_RETRY_MS = 200.0
"""How long a caller should wait before it sends a request again if there was no leader."""


class OperatorCall(NamedTuple):
    """An authenticated request, with the name that its path contains."""

    req: HttpRequest
    operator: Operator
    name: str


Handler: TypeAlias = Callable[[OperatorCall], Awaitable[HttpResponse]]


class Route(NamedTuple):
    """A method and path with the required role and the handler."""

    method: str
    path: tuple[str, ...]
    """The segments of the path below ``/v1``; ``*`` matches any name."""
    role: OperatorRole
    handler: Handler

    def matches(self, method: str, parts: Sequence[str]) -> bool:
        """Return whether this route matches a request.

        Args:
            method: The request's method.
            parts: The segments of its path below ``/v1``.
        """
        if method != self.method or len(parts) != len(self.path):
            return False
        pairs = zip(self.path, parts, strict=True)
        return all(expected == part or (expected == ANY_NAME and part) for expected, part in pairs)

    def extract_name(self, parts: Sequence[str]) -> str:
        """Return the name in the path of a matching request, or an empty string if it has none."""
        return parts[self.path.index(ANY_NAME)] if ANY_NAME in self.path else ""


def require_leadership(host: ControlHost) -> Leadership:
    """Return the leadership of this control host.

    Raises:
        AlderhatchError: ``no_leader`` if this host is not the leader.
    """
    if host.leadership is not None:
        return host.leadership
    message = "this control host is not the leader"
    raise AlderhatchError(Failure(ErrorKind.NO_LEADER, message, retry_after_ms=NO_LEADER_RETRY_MS))
