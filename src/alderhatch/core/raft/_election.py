"""Leader election with a pre-vote round."""

from __future__ import annotations

from ._member_state import MemberState
from .messages import PreVote, Vote


class Election:
    """One attempt to become the leader.

    The pre-vote round only asks whether the election would be won, and raises no term. Without it,
    a partitioned host would raise its term with every election timeout, and on its return depose a
    healthy leader.
    """

    def __init__(self, state: MemberState, transfer: bool) -> None:
        self._state = state
        self._transfer = transfer
        self._granted: set[str] = set()
        self._vote_write_number = 0
        self.is_pre_vote = not transfer
        """Whether this is still the pre-vote round."""
        if transfer:
            self._request_votes()
        else:
            self._request_pre_votes()

    def _request_pre_votes(self) -> None:
        state = self._state
        self._granted = {state.member_id}
        log = state.log
        for peer in self._peers():
            state.send(peer, PreVote(state.term + 1, log.last_index, log.last_term))

    def _request_votes(self) -> None:
        state = self._state
        self.is_pre_vote = False
        self._granted = set()
        state.set_hard_state(state.term + 1, state.member_id)
        self._vote_write_number = state.latest_write_number
        log = state.log
        request = Vote(state.term, log.last_index, log.last_term, self._transfer)
        for peer in self._peers():
            state.send_persisted(peer, request)

    def _peers(self) -> list[str]:
        own_id = self._state.member_id
        return [voter_id for voter_id in self._state.membership.voter_ids if voter_id != own_id]

    def on_pre_vote_granted(self, sender: str, term: int) -> None:
        """Count a granted pre-vote."""
        if self.is_pre_vote and term == self._state.term + 1:
            self._granted.add(sender)

    def on_vote_granted(self, sender: str) -> None:
        """Count a granted vote."""
        if not self.is_pre_vote:
            self._granted.add(sender)

    def on_persisted(self) -> None:
        """Count this member's vote for itself once it is on disk."""
        if not self.is_pre_vote and self._state.persisted_write_number >= self._vote_write_number:
            self._granted.add(self._state.member_id)

    def advance(self) -> bool:
        """Request votes if a majority has granted a pre-vote.

        Returns:
            Whether this call has started the vote round.
        """
        if not (self.is_pre_vote and self._has_majority):
            return False
        self._request_votes()
        return True

    @property
    def is_won(self) -> bool:
        """Whether a majority has voted for this member."""
        return not self.is_pre_vote and self._has_majority

    @property
    def _has_majority(self) -> bool:
        voters = self._state.membership.voter_ids
        count = sum(1 for voter_id in voters if voter_id in self._granted)
        return count >= self._state.membership.majority
