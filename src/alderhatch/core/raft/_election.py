"""Standing for election, in two rounds."""

from __future__ import annotations

from ._member_state import MemberState
from .messages import PreVote, Vote


class Election:
    """One attempt to become the leader.

    The first round only asks whether the second would be won. A host that was cut off for a long
    time would otherwise raise its term again and again, and on its return force the whole cluster
    into an election although the leader is well.
    """

    def __init__(self, state: MemberState, transfer: bool) -> None:
        self._state = state
        self._transfer = transfer
        self._granted: set[str] = set()
        self._vote_number = 0
        self.is_pre_vote = not transfer
        """Whether this is still the first round."""
        if transfer:
            self._ask_votes()
        else:
            self._ask_pre_votes()

    def _ask_pre_votes(self) -> None:
        state = self._state
        self._granted = {state.member_id}
        log = state.log
        for peer in self._peers():
            state.send(peer, PreVote(state.term + 1, log.last_index, log.last_term))

    def _ask_votes(self) -> None:
        state = self._state
        self.is_pre_vote = False
        self._granted = set()
        state.set_hard_state(state.term + 1, state.member_id)
        self._vote_number = state.issued_number
        log = state.log
        request = Vote(state.term, log.last_index, log.last_term, self._transfer)
        for peer in self._peers():
            state.send_persisted(peer, request)

    def _peers(self) -> list[str]:
        own = self._state.member_id
        return [one for one in self._state.membership.voter_ids if one != own]

    def on_pre_vote_granted(self, sender: str, term: int) -> None:
        """Count a pre-vote."""
        if self.is_pre_vote and term == self._state.term + 1:
            self._granted.add(sender)

    def on_vote_granted(self, sender: str) -> None:
        """Count a vote."""
        if not self.is_pre_vote:
            self._granted.add(sender)

    def on_persisted(self) -> None:
        """Count this member's own vote once it is on disk."""
        if not self.is_pre_vote and self._state.persisted_number >= self._vote_number:
            self._granted.add(self._state.member_id)

    def advance(self) -> bool:
        """Go from the first round to the second if a majority would vote for this member.

        Returns:
            Whether the second round has begun just now.
        """
        if not (self.is_pre_vote and self._has_majority):
            return False
        self._ask_votes()
        return True

    @property
    def is_won(self) -> bool:
        """Whether a majority has voted for this member."""
        return not self.is_pre_vote and self._has_majority

    @property
    def _has_majority(self) -> bool:
        voters = self._state.membership.voter_ids
        count = sum(1 for one in voters if one in self._granted)
        return count >= self._state.membership.majority
