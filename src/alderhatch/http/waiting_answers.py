"""Limits the memory of answers that clients have not read yet."""

from __future__ import annotations

from ..clock import Millis

MAX_WAITING_BYTES = 32 * 1024 * 1024
"""Eight answers of the largest size, besides what the kernel holds; a host has about 200 MB."""
MIN_STALL: Millis = 3000.0
"""A client that reads slowly is seen to take bytes in steps, as its window opens in steps."""


class WaitingAnswer:
    """An answer, or the rest of one, that waits for its client to read.

    Args:
        size: Its bytes that are still held.
        now: The time.
    """

    __slots__ = ("is_given_up", "size", "taken_at")

    def __init__(self, size: int, now: Millis) -> None:
        self.size = size
        self.taken_at = now
        """When the client was last seen to take bytes."""
        self.is_given_up = False
        """Whether its memory is needed for others, and its client takes nothing."""


class WaitingAnswers:
    """All answers of one server that wait for their clients to read.

    Args:
        limit: Bytes that they may hold together.
    """

    def __init__(self, limit: int = MAX_WAITING_BYTES) -> None:
        self._limit = limit
        self._answers: set[WaitingAnswer] = set()
        self.bytes = 0
        """Bytes that they hold together."""
        self.peak_bytes = 0

    @property
    def is_full(self) -> bool:
        """Whether a request whose answer might have to wait should be refused."""
        return self.bytes >= self._limit

    def add(self, answer: WaitingAnswer) -> None:
        """Record an answer that begins to wait."""
        self._answers.add(answer)
        self.bytes += answer.size
        self.peak_bytes = max(self.peak_bytes, self.bytes)

    def shrink(self, answer: WaitingAnswer, size: int) -> None:
        """Record that only so many bytes of an answer are still held."""
        self.bytes -= answer.size - size
        answer.size = size

    def remove(self, answer: WaitingAnswer) -> None:
        """Record that an answer no longer waits."""
        self._answers.discard(answer)
        self.bytes -= answer.size

    def give_up_stalled(self, now: Millis) -> list[WaitingAnswer]:
        """Mark answers whose clients take nothing, those first that do so longest, and return them.

        Only as many are marked as hold what lies over the limit.
        """
        excess = self.bytes - self._limit
        given_up: list[WaitingAnswer] = []
        if excess < 0:
            return given_up
        for answer in sorted(self._answers, key=lambda one: one.taken_at):
            if answer.is_given_up:
                excess -= answer.size
            if excess < 0 or answer.taken_at + MIN_STALL > now:
                break
            if not answer.is_given_up:
                answer.is_given_up = True
                given_up.append(answer)
                excess -= answer.size
        return given_up
