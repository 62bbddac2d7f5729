"""Compares answers of the caller API with what the stand-ins hold."""

from __future__ import annotations

from typing import Any

from ..core.shard_map import Snapshot
from .standin_upstream import StandinUpstream

TOLERANCE = 1e-9


def check_answer(upstream: StandinUpstream, topic: str, body: dict[str, Any]) -> str | None:
    """Compare an answer with what the stand-in held at the snapshot that the answer names.

    Args:
        upstream: The stand-in that was asked.
        topic: The topic that was asked for.
        body: The answer's JSON body.

    Returns:
        What is wrong, or None if the answer is whole and its coverage true.
    """
    snapshot = Snapshot(body["snapshot"]["version"], body["snapshot"]["epoch"])
    layout = upstream.published.get(snapshot)
    if layout is None:
        return f"no such snapshot: {snapshot}"
    missing = {item["shard"] for item in body["missing"]}
    covered = [shard for shard in layout.documents if shard not in missing]
    rows = [row for shard in covered for row in upstream.corpus.rows(layout, shard, topic)]
    if body["rows"] != rows:
        return f"{len(body['rows'])} rows instead of {len(rows)}"
    coverage = sum(layout.documents[shard] for shard in covered) / layout.total
    if abs(body["coverage"] - coverage) > TOLERANCE:
        return f"coverage {body['coverage']} instead of {coverage}"
    return None
