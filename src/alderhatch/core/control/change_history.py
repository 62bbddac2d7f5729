"""The answers already given to changes, and the history of those that were accepted."""

from __future__ import annotations

import hashlib
from collections import OrderedDict, deque
from typing import Any, NamedTuple

from ...codec import Codec
from .operations import Change, ChangeAccepted, ChangeRefused, HistoryItem

ANSWERS_KEPT = 4096
"""How many changes are remembered; about three days at 1,300 a day."""
HISTORY_KEPT = 2000
WON_SHOWN = 20
"""How many changes a refused operator is shown at most."""
FAULTS_KEPT = 20
"""How many mistakes of a refused change are remembered for its resend."""

_CODEC = Codec(ChangeAccepted, ChangeRefused)


class RememberedAnswer(NamedTuple):
    """What a change was, and what was answered."""

    digest: bytes
    answer: bytes


def change_digest(change: Change) -> bytes:
    """Return a digest of what the operator sent, without what the leader added to it."""
    text = f"{change.expected_revision}\n{change.who}\n".encode()
    return hashlib.blake2b(text + change.action, digest_size=16).digest()


class ChangeHistory:
    """Bounded memory of changes. A resent change gets its first answer from here."""

    def __init__(self) -> None:
        self._answers: OrderedDict[str, RememberedAnswer] = OrderedDict()
        self._history: deque[HistoryItem] = deque(maxlen=HISTORY_KEPT)

    def answer_to(self, change: Change) -> ChangeAccepted | ChangeRefused | None:
        """Return the first answer to a change id marked as repeated, or None if it is new."""
        kept = self._answers.get(change.change_id)
        if kept is None:
            return None
        answer: ChangeAccepted | ChangeRefused = _CODEC.decode(kept.answer)
        return answer._replace(repeated=True)

    def is_same(self, change: Change) -> bool:
        """Return whether a remembered change id stood for the same change."""
        return self._answers[change.change_id].digest == change_digest(change)

    def remember(self, change: Change, answer: ChangeAccepted | ChangeRefused) -> None:
        """Keep an answer for resends, and forget the oldest."""
        if isinstance(answer, ChangeRefused):
            answer = answer._replace(faults=answer.faults[:FAULTS_KEPT])
        kept = RememberedAnswer(change_digest(change), _CODEC.encode(answer))
        self._answers[change.change_id] = kept
        while len(self._answers) > ANSWERS_KEPT:
            self._answers.popitem(last=False)

    def record(self, item: HistoryItem) -> None:
        """Add an accepted change to the history."""
        self._history.append(item)

    def since(self, revision: int) -> list[HistoryItem]:
        """Return the changes accepted after a revision, newest first and bounded."""
        newer = [item for item in reversed(self._history) if item.revision > revision]
        return newer[:WON_SHOWN]

    def page(self, before: int | None, limit: int) -> list[HistoryItem]:
        """Return one page of the history, newest first, below a revision if one is given."""
        wanted = [i for i in reversed(self._history) if before is None or i.revision < before]
        return wanted[:limit]

    @property
    def oldest(self) -> int | None:
        """The oldest revision that the history still shows."""
        return self._history[0].revision if self._history else None

    def to_plain(self) -> dict[str, Any]:
        """Return the whole state as plain maps and lists."""
        answers = [[key, kept.digest, kept.answer] for key, kept in self._answers.items()]
        return {"answers": answers, "history": [list(item) for item in self._history]}

    @classmethod
    def from_plain(cls, plain: dict[str, Any]) -> ChangeHistory:
        """Return the state that ``to_plain`` gave."""
        memory = cls()
        for key, digest, answer in plain["answers"]:
            memory._answers[key] = RememberedAnswer(digest, answer)
        memory._history.extend(HistoryItem(*item) for item in plain["history"])
        return memory
