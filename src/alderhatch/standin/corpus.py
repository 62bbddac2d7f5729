"""What the stand-in upstreams hold: documents that follow from their names alone."""

from __future__ import annotations

from typing import Any, NamedTuple

import xxhash

from ..core.shard_map import Snapshot

TOPICS = ("towels", "meals", "chargers", "spots", "logs", "rotations")


class Layout(NamedTuple):
    """How the documents are spread over shards, and the shards over servers, at one snapshot."""

    snapshot: Snapshot
    documents: dict[str, int]
    """How many documents each shard holds."""
    servers: dict[str, tuple[str, ...]]
    """The ids of the servers that hold each shard."""

    @property
    def total(self) -> int:
        """The documents of all shards."""
        return sum(self.documents.values())


class Corpus(NamedTuple):
    """The documents of one upstream; every version of it can be worked out at any time."""

    upstream: str

    def rows(self, layout: Layout, shard: str, topic: str) -> list[dict[str, Any]]:
        """Return the rows of one shard that a query for a topic finds.

        Args:
            layout: The state of the indexes that is read.
            shard: The shard's name.
            topic: The topic that the query names; an empty one finds all documents.

        Returns:
            The rows in the shard's order, each with the version that it was read at.
        """
        found = []
        for number in range(layout.documents[shard]):
            key = f"{self.upstream}/{shard}/{number}"
            document_topic = self._topic(key, layout.snapshot)
            if topic in ("", document_topic):
                version = layout.snapshot.version
                found.append({"key": key, "topic": document_topic, "version": version})
        return found

    def _topic(self, key: str, snapshot: Snapshot) -> str:
        text = f"{key}/{snapshot.version}/{snapshot.epoch}".encode()
        return TOPICS[xxhash.xxh64_intdigest(text) % len(TOPICS)]
