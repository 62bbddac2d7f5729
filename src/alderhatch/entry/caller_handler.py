"""The HTTP endpoints of an entry for callers."""

from __future__ import annotations

from typing import Protocol

from ..core.entry_events import Outcome
from ..core.request import Request
from ..errors import AlderhatchError, ErrorKind, Failure
from ..http.messages import HttpRequest, HttpResponse, json_response
from .address_book import AddressBook
from .caller_api import outcome_response, parse_request


class RequestRunner(Protocol):
    """Runs the requests of callers."""

    addresses: AddressBook
    upstreams: frozenset[str]
    """The names of the configured upstreams."""

    async def run_request(self, request: Request) -> Outcome:
        """Run one request."""


class CallerHandler:
    """Answers the requests of callers.

    Args:
        runner: Runs the requests.
    """

    def __init__(self, runner: RequestRunner) -> None:
        self._runner = runner

    async def handle(self, req: HttpRequest) -> HttpResponse:
        """Answer one HTTP request of a caller.

        Raises:
            AlderhatchError: If the request is invalid, or its path or upstream is unknown.
        """
        match (req.method, req.path):
            case ("POST", "/query"):
                return await self._run(parse_request(req, idempotent=True))
            case ("POST", "/run"):
                return await self._run(parse_request(req, idempotent=False))
            case ("GET", "/addresses"):
                return self._addresses(req.query.get("zone", ""))
        raise AlderhatchError(
            Failure(ErrorKind.NOT_FOUND, f"no resource at {req.method} {req.path}")
        )

    async def _run(self, request: Request) -> HttpResponse:
        if request.upstream not in self._runner.upstreams:
            message = f"upstream: no upstream {request.upstream!r} is configured"
            raise AlderhatchError(Failure(ErrorKind.UNKNOWN_UPSTREAM, message, "upstream"))
        outcome = await self._runner.run_request(request)
        return outcome_response(request.request_id, outcome)

    def _addresses(self, zone: str) -> HttpResponse:
        book = self._runner.addresses
        addresses = [item._asdict() for item in book.addresses_for(zone)]
        return json_response(200, {"addresses": addresses, "ttl_ms": book.ttl})
