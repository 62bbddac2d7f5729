"""A client of the operator API that finds the leader and never applies a change twice."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any, NamedTuple
from urllib.parse import quote, urlencode

import orjson
import trio

from ..clock import SECOND, LoopClock, Millis
from ..errors import ERROR_ANSWERS, ErrorKind, Resend, RunStatus
from ..http.client import http_once
from ..http.exchange import HttpExchangeError, HttpReply

ATTEMPT_TIMEOUT: Millis = 3 * SECOND
CONTROL_DUMP = "/v1/dump"
ENTRY_DUMP = "/dump"
PAUSE: Millis = 200.0
"""Between two rounds over all control hosts."""


class Place(NamedTuple):
    """Where an HTTP server of ours listens."""

    address: str
    port: int

    def __str__(self) -> str:
        return f"{self.address}:{self.port}"


class RemoteError(Exception):
    """What the other side answered instead of what was asked for."""

    def __init__(self, kind: ErrorKind, message: str, details: Mapping[str, Any]) -> None:
        super().__init__(message)
        self.kind = kind
        self.details = dict(details)
        """The whole answer, with the fields that only some kinds have."""

    @property
    def ran(self) -> RunStatus:
        """Whether the change or request may have been carried out."""
        return RunStatus(self.details.get("ran", ERROR_ANSWERS[self.kind].ran))

    @property
    def resend(self) -> Resend:
        """What to do with it now."""
        return Resend(self.details.get("resend", ERROR_ANSWERS[self.kind].resend))


class ChangeNotes(NamedTuple):
    """What goes with each change."""

    change_id: str
    expected_revision: int | None = None
    """The revision that the operator looked at; None takes the present one."""
    in_force_timeout: Millis | None = None
    """How long to wait until the change is in force everywhere; None does not wait."""


class OperatorClient:
    """Talks to whichever control host can answer.

    Args:
        controls: The operator endpoints of the control hosts, in the order to try.
        key: The operator's key.
        timeout: The longest time for one question or change over all control hosts.
    """

    def __init__(self, controls: Sequence[Place], key: str, timeout: Millis) -> None:
        self._controls = list(controls)
        self._headers = (("Authorization", f"Bearer {key}"),)
        self._timeout = timeout

    @property
    def controls(self) -> Sequence[Place]:
        """The operator endpoints, in the order in which they are tried."""
        return tuple(self._controls)

    async def get(self, path: str, **query: object) -> dict[str, Any]:
        """Read from the leader.

        Raises:
            RemoteError: If it was refused, or nobody could answer in time.
        """
        return await self._ask("GET", _target(path, query), b"")

    async def post(self, path: str, body: Mapping[str, Any]) -> dict[str, Any]:
        """Ask a question that needs a body.

        Raises:
            RemoteError: If it was refused, or nobody could answer in time.
        """
        return await self._ask("POST", path, orjson.dumps(body))

    async def get_from(self, place: Place, path: str) -> dict[str, Any]:
        """Read one process's own view.

        Raises:
            RemoteError: If it was refused, or the process did not answer.
        """
        return await self._read_from(place, path, self._headers)

    async def dump_of(self, place: Place) -> dict[str, Any]:
        """Read the state dump of an entry or a control host.

        Raises:
            RemoteError: If it was refused, or the process did not answer.
        """
        # Entries show their dump without a key. It is not sent to them, since whatever listens
        # at a mistyped address would then hold it.
        try:
            return await self._read_from(place, ENTRY_DUMP, ())
        except RemoteError as exc:
            if exc.kind not in (ErrorKind.UNAUTHORIZED, ErrorKind.NOT_FOUND):
                raise
        return await self.get_from(place, CONTROL_DUMP)

    async def change(
        self, method: str, path: str, fields: Mapping[str, Any], notes: ChangeNotes
    ) -> dict[str, Any]:
        """Make a change, at most once, however often it has to be sent.

        Args:
            method: The HTTP method.
            path: The change's path.
            fields: The fields of this change.
            notes: The change id, the revision that it builds on, and whether to wait.

        Returns:
            The answer to the accepted change.

        Raises:
            RemoteError: With ``ran`` telling whether it may have been accepted.
        """
        expected = notes.expected_revision
        if expected is None:
            expected = (await self.get("/v1/rules"))["revision"]
        body = {**fields, "change_id": notes.change_id, "expected_revision": expected}
        query: dict[str, object] = {}
        if notes.in_force_timeout is not None:
            query = {"wait": "in_force", "timeout_ms": int(notes.in_force_timeout)}
        target = _target(path, query)
        wait = notes.in_force_timeout or 0.0
        return await self._ask(method, target, orjson.dumps(body), wait, is_change=True)

    async def _read_from(
        self, place: Place, path: str, headers: Sequence[tuple[str, str]]
    ) -> dict[str, Any]:
        try:
            reply = await http_once(
                place.address, place.port, "GET", path, b"", headers, ATTEMPT_TIMEOUT
            )
        except HttpExchangeError as exc:
            raise RemoteError(ErrorKind.NO_LEADER, f"{place}: {exc}", {}) from exc
        return _read(reply)

    async def _ask(
        self, method: str, target: str, body: bytes, wait: Millis = 0.0, is_change: bool = False
    ) -> dict[str, Any]:
        clock = LoopClock()
        end = clock.now() + self._timeout + wait
        known = ErrorKind.NO_LEADER
        why = "no control host was tried"
        while clock.now() < end:
            for place in tuple(self._controls):
                span = min(ATTEMPT_TIMEOUT + wait, max(end - clock.now(), PAUSE))
                try:
                    reply = await http_once(
                        place.address, place.port, method, target, body, self._headers, span
                    )
                    return _read(reply)
                except HttpExchangeError as exc:
                    why = f"{place}: {exc}"
                    # Once a byte of a change has left, its answer may be what was lost. Calling
                    # it "not taken" would make the operator send it anew under another id.
                    if exc.sent and is_change:
                        known = ErrorKind.CHANGE_UNKNOWN
                except RemoteError as exc:
                    why = f"{place}: {exc}"
                    match exc.kind:
                        case ErrorKind.NO_LEADER:
                            self._prefer(exc.details.get("leader"))
                        case ErrorKind.CHANGE_UNKNOWN | ErrorKind.STORAGE_FAILED:
                            known = ErrorKind.CHANGE_UNKNOWN if is_change else known
                        case _:
                            raise
            await trio.sleep(PAUSE / SECOND)
        raise RemoteError(known, f"no control host could answer; the last one: {why}", {})

    def _prefer(self, leader: Mapping[str, Any] | None) -> None:
        if not leader:
            return
        place = Place(leader["address"], leader["port"])
        if place in self._controls:
            self._controls.remove(place)
        self._controls.insert(0, place)


def path_of(*parts: str) -> str:
    """Return a path under ``/v1`` whose parts are escaped."""
    return "/".join(["/v1", *(quote(part, safe="") for part in parts)])


def _target(path: str, query: Mapping[str, object]) -> str:
    given = {name: value for name, value in query.items() if value is not None}
    return f"{path}?{urlencode(given)}" if given else path


def read_error(reply: HttpReply) -> RemoteError:
    """Return the error that an answer other than 200 tells of."""
    try:
        details = orjson.loads(reply.body)
        kind = ErrorKind(details["error"])
    except (orjson.JSONDecodeError, KeyError, TypeError, ValueError):
        message = f"status {reply.status} without a known kind of error"
        return RemoteError(ErrorKind.INTERNAL, message, {})
    return RemoteError(kind, details.get("message", ERROR_ANSWERS[kind].meaning), details)


def _read(reply: HttpReply) -> dict[str, Any]:
    if reply.status != 200:
        raise read_error(reply)
    try:
        value = orjson.loads(reply.body)
    except orjson.JSONDecodeError as exc:
        raise RemoteError(ErrorKind.INTERNAL, "the answer is not JSON", {}) from exc
    if not isinstance(value, dict):
        raise RemoteError(ErrorKind.INTERNAL, "the answer is no JSON object", {})
    return value
