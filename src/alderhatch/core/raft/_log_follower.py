"""Handling of append messages in a follower or learner."""

from __future__ import annotations

from ._member_state import MemberState
from .log_entry import LogEntry
from .messages import Append, AppendReply


class LogFollower:
    """Replicates the leader's log into the log of this member."""

    def __init__(self, state: MemberState) -> None:
        self._state = state

    def on_append(self, sender: str, message: Append) -> None:
        """Store the entries if the logs match before them; reply with a hint otherwise."""
        state = self._state
        log = state.log
        prev_index = message.prev_index
        is_compacted = prev_index < log.base_index
        if not is_compacted and log.term_at(prev_index) != message.prev_term:
            hint = self._conflict_hint(prev_index)
            state.send(sender, AppendReply(state.term, False, prev_index, hint))
            return
        for entry in message.entries:
            self._merge_entry(entry)
        last = prev_index + len(message.entries)
        state.commit_to(min(message.commit, last))
        match_index = max(last, log.base_index)
        state.send_persisted(sender, AppendReply(state.term, True, prev_index, match_index))

    def _conflict_hint(self, prev_index: int) -> int:
        log = self._state.log
        term = log.term_at(prev_index)
        if term is None:
            return log.last_index + 1
        index = prev_index
        while index > self._state.commit_index + 1 and log.term_at(index - 1) == term:
            index -= 1
        return index

    def _merge_entry(self, entry: LogEntry) -> None:
        log = self._state.log
        if entry.index <= log.base_index:
            return
        known_term = log.term_at(entry.index)
        if known_term == entry.term:
            return
        if known_term is not None:
            self._state.truncate_from(entry.index)
        self._state.append_entry(entry)
