"""Finds the route of a request."""

from __future__ import annotations

from collections.abc import Iterable

from .host_demand import processor_for_gathers
from .route import AllShards, Route


class RouteTable:
    """The routes as an ordered list of conditions, of which the first match decides.

    Routes of one host are ordered by the length of their prefix, longest first, so the first match
    is the most specific one. Each prefix of a path is looked up in a dictionary: a list of several
    hundred routes would otherwise be searched for every request.

    Args:
        routes: The routes; no two of them have the same host and prefix.
    """

    def __init__(self, routes: Iterable[Route]) -> None:
        self._by_prefix = {(route.host, route.path_prefix): route for route in routes}
        self.gather_processor = processor_for_gathers(self._by_prefix.values())
        """Processor time that a host needs to answer any gather in time, in seconds per second."""
        urgencies = {
            (route.rank, route.target_latency)
            for route in self._by_prefix.values()
            if isinstance(route.destination, AllShards)
        }
        self.has_unequal_gathers = len(urgencies) > 1
        """Whether gathers of two routes differ in priority or target latency."""

    def find(self, host: str, path: str) -> Route | None:
        """Return the first route that matches, or None.

        Args:
            host: The host that the caller named, without a port.
            path: The path without the query string.
        """
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = self._by_prefix.get((host, path[: end + 1]))
            if route is not None:
                return route
        return None
