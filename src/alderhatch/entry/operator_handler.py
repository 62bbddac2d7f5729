"""The HTTP endpoints of an entry for operators: metrics, readiness and the state dump."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from ..clock import SECOND
from ..errors import AlderhatchError, ErrorKind, Failure
from ..http.messages import HttpRequest, HttpResponse, json_response

if TYPE_CHECKING:
    from .entry_node import EntryNode

MAX_DUMP_ROWS = 500
"""Maximum number of rows per list of a dump; the counts are complete."""


class OperatorHandler:
    """Answers the requests of operators.

    All endpoints are read-only and show neither secrets nor request bodies.

    Args:
        node: The entry to show.
    """

    def __init__(self, node: EntryNode) -> None:
        self._node = node

    async def handle(self, req: HttpRequest) -> HttpResponse:
        """Answer one HTTP request of an operator.

        Raises:
            AlderhatchError: If the path is unknown.
        """
        match (req.method, req.path):
            case ("GET", "/metrics"):
                return HttpResponse(200, *self._node.metrics.render_page())
            case ("GET", "/ready"):
                return self._ready()
            case ("GET", "/dump"):
                return json_response(200, self._dump())
        raise AlderhatchError(
            Failure(ErrorKind.NOT_FOUND, f"no resource at {req.method} {req.path}")
        )

    def _ready(self) -> HttpResponse:
        node = self._node
        missing_maps = [poller.upstream for poller in node.map_pollers if poller.newest is None]
        if node.stop_requested.is_set():
            return json_response(503, {"ready": False, "why": "stopping"})
        if not node.may_serve:
            return json_response(
                503, {"ready": False, "why": "no valid lease with a share of connections"}
            )
        if missing_maps:
            return json_response(
                503, {"ready": False, "why": f"no shard map of {missing_maps} received yet"}
            )
        return json_response(200, {"ready": True})

    def _counts(self) -> dict[str, int]:
        node = self._node
        return {
            "requests_running": node.core.running,
            "shard_requests_running": node.attempts.running,
            "caller_connections": node.callers.connections,
            "upstream_connections": node.pool.connection_count,
            "upstream_connections_opened": node.pool.opened_count,
            "upstream_connections_silent": node.pool.silent_count,
            "shard_requests_sent": node.core.shard_requests_sent,
            "shard_requests_needed": node.core.shard_requests_needed,
        }

    def _dump(self) -> dict[str, object]:
        node = self._node
        return {
            "program": "alderhatch-entry",
            "name": node.cfg.name,
            "zone": node.cfg.zone,
            "callers": {"address": node.cfg.callers.address, "port": node.port},
            "stopping": node.stop_requested.is_set(),
            "counts": self._counts(),
            "maps": [self._map_row(poller.upstream) for poller in node.map_pollers],
            "servers": self._server_rows(),
            "links": self._links(),
            "core": node.core.dump(trio.current_time() * SECOND),
            "roster": [item._asdict() for item in node.addresses.roster[:MAX_DUMP_ROWS]],
        }

    def _links(self) -> dict[str, object] | None:
        """Return the links with other entries, or None if this entry has none configured."""
        owners, server = self._node.owners, self._node.owner_server
        if owners is None or server is None:
            return None
        return {
            "to_owners": dict(sorted(owners.open_links.items())[:MAX_DUMP_ROWS]),
            "from_entries": sorted(link.peer.name for link in server.links)[:MAX_DUMP_ROWS],
            "shard_requests_of_others": server.running,
        }

    def _map_row(self, upstream: str) -> dict[str, object]:
        shard_map = next(
            item.newest for item in self._node.map_pollers if item.upstream == upstream
        )
        if shard_map is None:
            return {"upstream": upstream, "snapshot": None}
        return {
            "upstream": upstream,
            "snapshot": shard_map.snapshot._asdict(),
            "shards": len(shard_map.shards),
            "servers": len(shard_map.servers),
            "documents": shard_map.documents,
        }

    def _server_rows(self) -> list[dict[str, object]]:
        pool = self._node.pool
        rows: list[dict[str, object]] = []
        for server_id in pool.server_ids()[:MAX_DUMP_ROWS]:
            idle, busy = pool.idle_and_busy_counts(server_id)
            share = pool.share_of(server_id)
            rows.append({"server": server_id, "share": share, "idle": idle, "busy": busy})
        return rows
