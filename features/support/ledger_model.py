"""Entries that claim, run, die and resend, with operations applied late, twice or never.

What is counted is how often the first byte of each request was sent.
"""

from __future__ import annotations

from collections import Counter
from random import Random

from alderhatch.core.control.control_state import ControlState
from alderhatch.core.control.operations import (
    Claim,
    ClaimAnswer,
    ClaimStatus,
    EntryKey,
    RecordOutcome,
    RegisterEntry,
    ReleaseClaim,
    RemoveEntries,
)

from .control_commands import Applier

TIMED_ID = "0196a1b2-c3d4-7000-8000-00000000000{}"
MINUTE = 60_000.0


class Attempt:
    """One sending of a request at one entry process."""

    def __init__(self, key, request_id, token):
        self.key = key
        self.request_id = request_id
        self.token = token
        self.claim = Claim("brazos", request_id, "body", *key, token)
        self.waiting = True
        self.running = False


class LedgerModel:
    def __init__(self):
        self.applier = Applier(ControlState())
        self.applier.now = float(0x0196A1B2C3D4)
        self.processes = {}
        self.attempts = []
        self.pool = []
        self.runs = Counter()
        self.starts = 0
        for number in range(3):
            self.start(number)

    @property
    def state(self):
        return self.applier.state

    def start(self, number):
        self.starts += 1
        old = self.processes.get(number)
        key = EntryKey(f"entry-{number}", f"run-{self.starts}")
        if old is not None:
            self.kill(number)
            self.applier.one(RemoveEntries([old]))
        self.applier.one(RegisterEntry(*key, "zone", "10.0.0.1", 8080))
        self.processes[number] = key

    def kill(self, number):
        key = self.processes.get(number)
        self.attempts = [attempt for attempt in self.attempts if attempt.key != key]

    def lease_runs_out(self, number):
        key = self.processes[number]
        self.applier.one(RemoveEntries([key]))
        self.applier.one(RegisterEntry(*key, "zone", "10.0.0.1", 8080))

    def request(self, number, which):
        request_id = f"booking-{which % 3}" if which % 2 else TIMED_ID.format(which % 3)
        token = f"token-{len(self.attempts)}-{self.applier.index}-{self.starts}-{which}"
        attempt = Attempt(self.processes[number], request_id, token)
        self.attempts.append(attempt)
        self.pool.append((attempt.claim, attempt))

    def apply(self, index, keep, lost):
        """Apply an operation that is on its way; it may be there twice, its answer may be lost."""
        if not self.pool:
            return
        position = index % len(self.pool)
        operation, attempt = self.pool[position] if keep else self.pool.pop(position)
        answer = self.applier.one(operation)
        if lost or attempt not in self.attempts or not attempt.waiting:
            return
        if isinstance(operation, Claim) and isinstance(answer, ClaimAnswer):
            self.on_answer(attempt, answer, send_nothing=index % 5 == 0)

    def on_answer(self, attempt, answer, send_nothing):
        if answer.status is ClaimStatus.NOT_REGISTERED:
            return
        attempt.waiting = False
        if answer.status is ClaimStatus.STORED:
            assert self.runs[attempt.request_id] == 1
        if answer.status is not ClaimStatus.GRANTED:
            return
        if send_nothing:
            self.release(attempt)
            return
        self.runs[attempt.request_id] += 1
        attempt.running = True

    def give_up(self, index):
        waiting = [attempt for attempt in self.attempts if attempt.waiting]
        if waiting:
            attempt = waiting[index % len(waiting)]
            attempt.waiting = False
            self.release(attempt)

    def release(self, attempt):
        operation = ReleaseClaim("brazos", attempt.request_id, attempt.token)
        self.pool.append((operation, attempt))

    def finish(self, index):
        running = [attempt for attempt in self.attempts if attempt.running]
        if running:
            attempt = running[index % len(running)]
            attempt.running = False
            operation = RecordOutcome("brazos", attempt.request_id, attempt.token, b"booked")
            self.pool.append((operation, attempt))

    def restart_control(self):
        state = ControlState()
        state.restore(self.state.snapshot())
        self.applier.state = state

    def deliver_all(self):
        """Deliver all that is on its way; whoever still waits for an answer asks again."""
        self.pool += [(one.claim, one) for one in self.attempts if one.waiting]
        while self.pool:
            self.apply(0, keep=False, lost=False)
            self.check()
        holders = {one.token for one in self.attempts if one.waiting or one.running}
        ledger = self.state.ledger
        for key in ledger._in_progress:
            # Without a holder nobody ends it, and the caller is told for good that it runs.
            assert ledger._records[key].token in holders, key

    def check(self):
        assert all(count <= 1 for count in self.runs.values()), self.runs


def run_ledger_events(events):
    model = LedgerModel()
    for kind, number in events:
        match kind:
            case "request":
                model.request(number % 3, number // 3)
            case "apply":
                model.apply(number // 4, keep=number % 4 == 1, lost=number % 4 == 2)
            case "give-up":
                model.give_up(number)
            case "finish":
                model.finish(number)
            case "start":
                model.start(number % 3)
            case "run-out":
                model.lease_runs_out(number % 3)
            case "restart":
                model.restart_control()
            case "tick":
                model.applier.now += number * MINUTE
        model.check()
    return model


RESENDS = {
    "request": 8,
    "apply": 16,
    "finish": 2,
    "give-up": 2,
    "run-out": 2,
    "start": 1,
    "restart": 1,
    "tick": 1,
}
"""How often what happens when callers resend a few requests again and again."""
FEW = 9
"""Numbers up to this stand for three entries and three request ids."""


def run_resends(seed):
    """A long schedule about few requests, so that every record meets every kind of operation."""
    random = Random(seed)
    kinds = random.choices(list(RESENDS), list(RESENDS.values()), k=random.randint(50, 250))
    events = [(kind, random.randrange(FEW if kind == "request" else 100)) for kind in kinds]
    model = run_ledger_events(events)
    model.deliver_all()
    return model
