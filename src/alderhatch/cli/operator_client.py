"""A client of the operator API that finds the leader and applies a change at most once."""

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
CONTROL_DUMP_PATH = "/v1/dump"
ENTRY_DUMP_PATH = "/dump"
RETRY_PAUSE: Millis = 200.0
"""Pause between two rounds over all control hosts."""


class Endpoint(NamedTuple):
    """Address and port of an HTTP server of alderhatch."""

    address: str
    port: int

    def __str__(self) -> str:
        return f"{self.address}:{self.port}"


class RemoteError(Exception):
    """An error that a host answered, or that stands for a missing answer."""

    def __init__(self, kind: ErrorKind, message: str, details: Mapping[str, Any]) -> None:
        super().__init__(message)
        self.kind = kind
        self.details = dict(details)
        """The complete answer, with the fields that only some kinds of error have."""

    @property
    def ran(self) -> RunStatus:
        """Whether the change or request ran."""
        return RunStatus(self.details.get("ran", ERROR_ANSWERS[self.kind].ran))

    @property
    def resend(self) -> Resend:
        """Whether and where to resend the change or request."""
        return Resend(self.details.get("resend", ERROR_ANSWERS[self.kind].resend))


class ChangeMetadata(NamedTuple):
    """Change ID, expected revision and wait time of a change."""

    change_id: str
    expected_revision: int | None = None
    """The revision that the change builds on; None uses the current one."""
    in_force_timeout: Millis | None = None
    """Maximum time to wait until the change is in force everywhere; None does not wait."""


class OperatorClient:
    """Sends reads and changes to the control host that can answer them.

    Args:
        controls: The operator endpoints of the control hosts, in the order in which to try them.
        key: The operator's key.
        timeout: Maximum time for one read or change, over all control hosts.
    """

    def __init__(self, controls: Sequence[Endpoint], key: str, timeout: Millis) -> None:
        self._controls = list(controls)
        self._headers = (("Authorization", f"Bearer {key}"),)
        self._timeout = timeout

    @property
    def controls(self) -> Sequence[Endpoint]:
        """The operator endpoints, in the order in which they are tried."""
        return tuple(self._controls)

    async def get(self, path: str, **query: object) -> dict[str, Any]:
        """Read from the leader.

        Raises:
            RemoteError: If it was refused, or no control host could answer in time.
        """
        return await self._send("GET", _request_target(path, query), b"")

    async def post(self, path: str, body: Mapping[str, Any]) -> dict[str, Any]:
        """Read with a POST request that has a body.

        Raises:
            RemoteError: If it was refused, or no control host could answer in time.
        """
        return await self._send("POST", path, orjson.dumps(body))

    async def get_from(self, endpoint: Endpoint, path: str) -> dict[str, Any]:
        """Read from one process only.

        Raises:
            RemoteError: If it was refused, or the process did not answer.
        """
        return await self._get_with_headers(endpoint, path, self._headers)

    async def get_dump(self, endpoint: Endpoint) -> dict[str, Any]:
        """Read the state dump of an entry or a control host.

        Raises:
            RemoteError: If it was refused, or the process did not answer.
        """
        # An entry needs no key for its dump. The key is not sent on the first attempt, because
        # the process at a mistyped address would receive it.
        try:
            return await self._get_with_headers(endpoint, ENTRY_DUMP_PATH, ())
        except RemoteError as exc:
            if exc.kind not in (ErrorKind.UNAUTHORIZED, ErrorKind.NOT_FOUND):
                raise
        return await self.get_from(endpoint, CONTROL_DUMP_PATH)

    async def change(
        self, method: str, path: str, fields: Mapping[str, Any], metadata: ChangeMetadata
    ) -> dict[str, Any]:
        """Make a change; it is applied at most once, also if it is resent.

        Args:
            method: The HTTP method.
            path: The path of the change.
            fields: The fields of this change.
            metadata: The change ID, the revision that it builds on, and whether to wait.

        Returns:
            The answer to the accepted change.

        Raises:
            RemoteError: If it failed; ``ran`` says whether the change may have been accepted.
        """
        expected = metadata.expected_revision
        if expected is None:
            expected = (await self.get("/v1/rules"))["revision"]
        body = {**fields, "change_id": metadata.change_id, "expected_revision": expected}
        query: dict[str, object] = {}
        if metadata.in_force_timeout is not None:
            query = {"wait": "in_force", "timeout_ms": int(metadata.in_force_timeout)}
        target = _request_target(path, query)
        wait = metadata.in_force_timeout or 0.0
        return await self._send(method, target, orjson.dumps(body), wait, is_change=True)

    async def _get_with_headers(
        self, endpoint: Endpoint, path: str, headers: Sequence[tuple[str, str]]
    ) -> dict[str, Any]:
        try:
            reply = await http_once(
                endpoint.address, endpoint.port, "GET", path, b"", headers, ATTEMPT_TIMEOUT
            )
        except HttpExchangeError as exc:
            raise RemoteError(ErrorKind.NO_LEADER, f"{endpoint}: {exc}", {}) from exc
        return _parse_reply(reply)

    async def _send(
        self, method: str, target: str, body: bytes, wait: Millis = 0.0, is_change: bool = False
    ) -> dict[str, Any]:
        clock = LoopClock()
        deadline = clock.now() + self._timeout + wait
        error_kind = ErrorKind.NO_LEADER
        last_failure = "no control host was tried"
        while clock.now() < deadline:
            for endpoint in tuple(self._controls):
                time_limit = min(ATTEMPT_TIMEOUT + wait, max(deadline - clock.now(), RETRY_PAUSE))
                try:
                    reply = await http_once(
                        endpoint.address,
                        endpoint.port,
                        method,
                        target,
                        body,
                        self._headers,
                        time_limit,
                    )
                    return _parse_reply(reply)
                except HttpExchangeError as exc:
                    last_failure = f"{endpoint}: {exc}"
                    # Once a byte of a change is sent, the change may be accepted and only its
                    # answer lost. Reporting "not run" could make the operator send it again
                    # with another ID.
                    if exc.sent and is_change:
                        error_kind = ErrorKind.CHANGE_UNKNOWN
                except RemoteError as exc:
                    last_failure = f"{endpoint}: {exc}"
                    match exc.kind:
                        case ErrorKind.NO_LEADER:
                            self._try_first(exc.details.get("leader"))
                        case ErrorKind.CHANGE_UNKNOWN | ErrorKind.STORAGE_FAILED:
                            error_kind = ErrorKind.CHANGE_UNKNOWN if is_change else error_kind
                        case _:
                            raise
            await trio.sleep(RETRY_PAUSE / SECOND)
        raise RemoteError(
            error_kind, f"no control host could answer; last failure: {last_failure}", {}
        )

    def _try_first(self, leader: Mapping[str, Any] | None) -> None:
        if not leader:
            return
        endpoint = Endpoint(leader["address"], leader["port"])
        if endpoint in self._controls:
            self._controls.remove(endpoint)
        self._controls.insert(0, endpoint)


def api_path(*parts: str) -> str:
    """Return a path under ``/v1`` with percent-encoded segments."""
    return "/".join(["/v1", *(quote(part, safe="") for part in parts)])


def _request_target(path: str, query: Mapping[str, object]) -> str:
    parameters = {name: value for name, value in query.items() if value is not None}
    return f"{path}?{urlencode(parameters)}" if parameters else path


def parse_error(reply: HttpReply) -> RemoteError:
    """Return the error that an answer with a status other than 200 describes."""
    try:
        details = orjson.loads(reply.body)
        kind = ErrorKind(details["error"])
    except (orjson.JSONDecodeError, KeyError, TypeError, ValueError):
        message = f"status {reply.status} with an unknown kind of error"
        return RemoteError(ErrorKind.INTERNAL, message, {})
    return RemoteError(kind, details.get("message", ERROR_ANSWERS[kind].meaning), details)


def _parse_reply(reply: HttpReply) -> dict[str, Any]:
    if reply.status != 200:
        raise parse_error(reply)
    try:
        value = orjson.loads(reply.body)
    except orjson.JSONDecodeError as exc:
        raise RemoteError(ErrorKind.INTERNAL, "the answer is not JSON", {}) from exc
    if not isinstance(value, dict):
        raise RemoteError(ErrorKind.INTERNAL, "the answer is not a JSON object", {})
    return value
