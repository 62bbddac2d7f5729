"""Decides when a request that was admitted starts to run at this host."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from ..core.forwarding.organisation import Organisation
from ..core.forwarding.route import Route
from ..core.forwarding.run_limits import RunTimes


class ServiceTurns:
    """Gives the requests at this host their turns."""

    @asynccontextmanager
    async def turn(
        self, route: Route, organisation: Organisation | None, times: RunTimes
    ) -> AsyncIterator[None]:
        """Wait for a request's turn, and run the body of the context during it.

        Args:
            route: The route of the request.
            organisation: The organisation of the request; None if there is none.
            times: The deadlines of the request.

        Raises:
            AlderhatchError: With kind ``overloaded`` if the request can't be served in time.
        """
        yield
