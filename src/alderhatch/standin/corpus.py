"""Documents of the stand-in upstreams, computed from their names and the snapshot."""

from __future__ import annotations

from typing import Any, NamedTuple

import xxhash

from ..core.shard_map import Snapshot

TOPICS = ("towels", "meals", "chargers", "spots", "logs", "rotations")


class Layout(NamedTuple):
    """Distribution of documents over shards, and of shards over servers, at one snapshot."""

    snapshot: Snapshot
    documents: dict[str, int]
    """Number of documents in each shard."""
    servers: dict[str, tuple[str, ...]]
    """IDs of the servers that hold each shard."""

    @property
    def total(self) -> int:
        """Number of documents in all shards."""
        return sum(self.documents.values())


class Corpus(NamedTuple):
    """The documents of one upstream, computed on demand for any snapshot."""

    upstream: str

    def rows(self, layout: Layout, shard: str, topic: str) -> list[dict[str, Any]]:
        """Return the rows of one shard that match a topic.

        Args:
            layout: The layout of the snapshot that is read.
            shard: The shard's name.
            topic: The topic of the query; an empty one matches all documents.

        Returns:
            The rows in the shard's order, each with the index version that was read.
        """
        matching = []
        for number in range(layout.documents[shard]):
            key = f"{self.upstream}/{shard}/{number}"
            document_topic = self._topic(key, layout.snapshot)
            if topic in ("", document_topic):
                version = layout.snapshot.version
                matching.append({"key": key, "topic": document_topic, "version": version})
        return matching

    def _topic(self, key: str, snapshot: Snapshot) -> str:
        text = f"{key}/{snapshot.version}/{snapshot.epoch}".encode()
        return TOPICS[xxhash.xxh64_intdigest(text) % len(TOPICS)]
