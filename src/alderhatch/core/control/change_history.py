"""The answers given to changes, and the history of accepted changes."""

from __future__ import annotations

import hashlib
from collections import OrderedDict, deque
from typing import Any, NamedTuple

from ...codec import Codec
from .operations import Change, ChangeAccepted, ChangeRefused, HistoryItem

MAX_ANSWERS = 4096
"""Answers kept for resent changes; about three days at 1,300 changes a day."""
MAX_HISTORY_ITEMS = 2000
MAX_CONFLICTS_RETURNED = 20
"""Maximum number of conflicting changes in the answer to a refused change."""
MAX_FAULTS_KEPT = 20
"""Maximum number of faults kept for the resend of a refused change."""

_CODEC = Codec(ChangeAccepted, ChangeRefused)


class StoredAnswer(NamedTuple):
    """The digest of a change and its encoded answer."""

    digest: bytes
    answer: bytes


def change_digest(change: Change) -> bytes:
    """Return a digest of the operator's part of a change, without the fields the leader adds."""
    text = f"{change.expected_revision}\n{change.who}\n".encode()
    return hashlib.blake2b(text + change.action, digest_size=16).digest()


class ChangeHistory:
    """Bounded store of answers and accepted changes.

    A resent change gets the stored answer, so that it is applied only once.
    """

    def __init__(self) -> None:
        self._answers: OrderedDict[str, StoredAnswer] = OrderedDict()
        self._history: deque[HistoryItem] = deque(maxlen=MAX_HISTORY_ITEMS)

    def stored_answer(self, change: Change) -> ChangeAccepted | ChangeRefused | None:
        """Return the stored answer to a change ID, marked as repeated, or None if it is new."""
        kept = self._answers.get(change.change_id)
        if kept is None:
            return None
        answer: ChangeAccepted | ChangeRefused = _CODEC.decode(kept.answer)
        return answer._replace(repeated=True)

    def is_same_change(self, change: Change) -> bool:
        """Return whether a known change ID was used for the same change."""
        return self._answers[change.change_id].digest == change_digest(change)

    def store_answer(self, change: Change, answer: ChangeAccepted | ChangeRefused) -> None:
        """Store an answer for resends and evict the oldest ones."""
        if isinstance(answer, ChangeRefused):
            answer = answer._replace(faults=answer.faults[:MAX_FAULTS_KEPT])
        kept = StoredAnswer(change_digest(change), _CODEC.encode(answer))
        self._answers[change.change_id] = kept
        while len(self._answers) > MAX_ANSWERS:
            self._answers.popitem(last=False)

    def record(self, item: HistoryItem) -> None:
        """Add an accepted change to the history."""
        self._history.append(item)

    def since(self, revision: int) -> list[HistoryItem]:
        """Return the latest changes accepted after a revision, newest first."""
        newer = [item for item in reversed(self._history) if item.revision > revision]
        return newer[:MAX_CONFLICTS_RETURNED]

    def page(self, before: int | None, limit: int) -> list[HistoryItem]:
        """Return one page of the history, newest first.

        Args:
            before: Only changes with a lower revision are returned; None starts at the newest.
            limit: The maximum number of changes.
        """
        wanted = [i for i in reversed(self._history) if before is None or i.revision < before]
        return wanted[:limit]

    @property
    def oldest(self) -> int | None:
        """The oldest revision in the history; None if it is empty."""
        return self._history[0].revision if self._history else None

    def to_plain(self) -> dict[str, Any]:
        """Return the state as plain maps and lists."""
        answers = [[key, kept.digest, kept.answer] for key, kept in self._answers.items()]
        return {"answers": answers, "history": [list(item) for item in self._history]}

    @classmethod
    def from_plain(cls, plain: dict[str, Any]) -> ChangeHistory:
        """Return the state from the result of ``to_plain``."""
        memory = cls()
        for key, digest, answer in plain["answers"]:
            memory._answers[key] = StoredAnswer(digest, answer)
        memory._history.extend(HistoryItem(*item) for item in plain["history"])
        return memory
