"""A replicated log of a single host in memory, for tests of the code that uses a log."""

from __future__ import annotations

from alderhatch.control.replicated_log import LogStatus
from alderhatch.errors import AlderhatchError, ErrorKind, Failure


class MemoryLog:
    def __init__(self, name, state_machine):
        self.name = name
        self.commands = []
        self.leads = True
        self.answers_to_lose = 0
        self.term = 1
        self.members = [name]
        self.learners = []
        self._machine = state_machine

    async def propose(self, command):
        if not self.leads:
            raise AlderhatchError(Failure(ErrorKind.NO_LEADER, "not the leader"))
        self.commands.append(command)
        answer = self._machine.apply(len(self.commands), command)
        if self.answers_to_lose:
            self.answers_to_lose -= 1
            raise AlderhatchError(Failure(ErrorKind.CHANGE_UNKNOWN, "the answer was lost"))
        return answer

    async def read_barrier(self):
        if not self.leads:
            raise AlderhatchError(Failure(ErrorKind.NO_LEADER, "not the leader"))
        return len(self.commands)

    def status(self):
        role, leader = ("leader", self.name) if self.leads else ("follower", None)
        index = len(self.commands)
        voters, learners = tuple(self.members), tuple(self.learners)
        return LogStatus(
            self.name, role, self.term, leader, index, index, index, 0, voters, learners, None
        )

    def holds_lease(self):
        return self.leads

    def responsive_members(self):
        return frozenset(self.members) if self.leads else frozenset()

    def caught_up(self, name):
        return True

    async def add_learner(self, name, address, port):
        self.learners.append(name)

    async def promote(self, name):
        self.learners.remove(name)
        self.members.append(name)

    async def remove_member(self, name):
        self.members.remove(name)

    async def transfer_leadership(self):
        self.leads = False

    async def serve_peer(self, link):
        raise AssertionError("the log of a single host has no peers")
