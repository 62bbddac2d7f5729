"""Compares answers of the caller API with the documents of the stand-in upstreams."""

from __future__ import annotations

from typing import Any

from ..core.shard_map import Snapshot
from .standin_upstream import StandinUpstream

COVERAGE_TOLERANCE = 1e-9


def check_answer(upstream: StandinUpstream, topic: str, body: dict[str, Any]) -> str | None:
    """Compare an answer with the stand-in's documents at the snapshot that the answer names.

    Args:
        upstream: The stand-in that was queried.
        topic: The topic of the query.
        body: The answer's JSON body.

    Returns:
        What is wrong, or None if the rows and the coverage are correct.
    """
    snapshot = Snapshot(body["snapshot"]["version"], body["snapshot"]["epoch"])
    layout = upstream.published.get(snapshot)
    if layout is None:
        return f"answer names an unknown snapshot: {snapshot}"
    missing = {item["shard"] for item in body["missing"]}
    covered = [shard for shard in layout.documents if shard not in missing]
    rows = [row for shard in covered for row in upstream.corpus.rows(layout, shard, topic)]
    if body["rows"] != rows:
        return f"got {len(body['rows'])} rows that differ from the expected {len(rows)} rows"
    coverage = sum(layout.documents[shard] for shard in covered) / layout.total
    if abs(body["coverage"] - coverage) > COVERAGE_TOLERANCE:
        return f"got coverage {body['coverage']}, expected {coverage}"
    return None
