"""What the stand-in upstreams hold: documents that follow from their names alone."""

from __future__ import annotations

from typing import Any, NamedTuple

import xxhash

from ..core.shard_map import Snapshot

TOPICS = ("towels", "meals", "chargers", "spots", "logs", "rotations")


class Corpus(NamedTuple):
    """The documents of one upstream; every version of it can be worked out at any time."""

    upstream: str
    documents_per_shard: int

    def rows(self, shard: str, snapshot: Snapshot, topic: str) -> list[dict[str, Any]]:
        """Return the rows of one shard that a query for a topic finds.

        Args:
            shard: The shard's name.
            snapshot: The state of the indexes that is read.
            topic: The topic that the query names; an empty one finds all documents.

        Returns:
            The rows in the shard's order, each with the version that it was read at.
        """
        found = []
        for number in range(self.documents_per_shard):
            key = f"{self.upstream}/{shard}/{number}"
            document_topic = self._topic(key, snapshot)
            if topic in ("", document_topic):
                found.append({"key": key, "topic": document_topic, "version": snapshot.version})
        return found

    def _topic(self, key: str, snapshot: Snapshot) -> str:
        text = f"{key}/{snapshot.version}/{snapshot.epoch}".encode()
        return TOPICS[xxhash.xxh64_intdigest(text) % len(TOPICS)]
