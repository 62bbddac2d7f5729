"""A model of entries that claim, run, crash and resend, with late, repeated or lost operations.

It counts how often the first byte of each request is sent.
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
MINUTE_MS = 60_000.0


class Attempt:
    """One attempt to run a request at one entry process."""

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
        self.in_transit = []
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

    def expire_lease(self, number):
        key = self.processes[number]
        self.applier.one(RemoveEntries([key]))
        self.applier.one(RegisterEntry(*key, "zone", "10.0.0.1", 8080))

    def request(self, number, request_number):
        request_id = (
            f"booking-{request_number % 3}"
            if request_number % 2
            else TIMED_ID.format(request_number % 3)
        )
        token = f"token-{len(self.attempts)}-{self.applier.index}-{self.starts}-{request_number}"
        attempt = Attempt(self.processes[number], request_id, token)
        self.attempts.append(attempt)
        self.in_transit.append((attempt.claim, attempt))

    def apply(self, index, keep, lost):
        """Apply an operation in transit, which may stay in transit or lose its answer."""
        if not self.in_transit:
            return
        position = index % len(self.in_transit)
        operation, attempt = self.in_transit[position] if keep else self.in_transit.pop(position)
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
        self.in_transit.append((operation, attempt))

    def finish(self, index):
        running = [attempt for attempt in self.attempts if attempt.running]
        if running:
            attempt = running[index % len(running)]
            attempt.running = False
            operation = RecordOutcome("brazos", attempt.request_id, attempt.token, b"booked")
            self.in_transit.append((operation, attempt))

    def restart_control(self):
        state = ControlState()
        state.restore(self.state.snapshot())
        self.applier.state = state

    def deliver_all(self):
        """Deliver all operations in transit; attempts waiting for an answer resend their claim."""
        self.in_transit += [(one.claim, one) for one in self.attempts if one.waiting]
        while self.in_transit:
            self.apply(0, keep=False, lost=False)
            self.check()
        holders = {one.token for one in self.attempts if one.waiting or one.running}
        ledger = self.state.ledger
        for key in ledger._in_progress:
            # A claim without a holder never ends, and resends would always get "in progress".
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
            case "expire":
                model.expire_lease(number % 3)
            case "restart":
                model.restart_control()
            case "tick":
                model.applier.now += number * MINUTE_MS
        model.check()
    return model


RESEND_EVENT_WEIGHTS = {
    "request": 8,
    "apply": 16,
    "finish": 2,
    "give-up": 2,
    "expire": 2,
    "start": 1,
    "restart": 1,
    "tick": 1,
}
"""Weights of the events when callers resend a few requests repeatedly."""
REQUEST_NUMBERS = 9
"""Numbers below this stand for combinations of three entries and three request ids."""


def run_resends(seed):
    """Run a long schedule of few requests, so that each record gets every kind of operation."""
    random = Random(seed)
    kinds = random.choices(
        list(RESEND_EVENT_WEIGHTS), list(RESEND_EVENT_WEIGHTS.values()), k=random.randint(50, 250)
    )
    events = [
        (kind, random.randrange(REQUEST_NUMBERS if kind == "request" else 100)) for kind in kinds
    ]
    model = run_ledger_events(events)
    model.deliver_all()
    return model
