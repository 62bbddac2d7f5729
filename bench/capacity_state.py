"""What control keeps and sends for each run, entry and rule, in bytes."""

from __future__ import annotations

from functools import partial

from alderhatch.clock import HOUR
from alderhatch.core.control.actions import ACTIONS, ReplaceRules
from alderhatch.core.control.control_state import ControlState
from alderhatch.core.control.entry_view import EntryView
from alderhatch.core.control.operations import (
    BATCHES,
    OPERATIONS,
    Batch,
    Change,
    Claim,
    RecordOutcome,
    RegisterEntry,
)
from alderhatch.core.control.run_ledger import RunLedger

from .capacity_control_host import LOOPBACK
from .capacity_entry import make_rules
from .slope import Slope, bytes_held, fit_slope

BATCH_SIZES = (1, 8, 64)
ROSTER_COUNTS = (40, 200, 400)
RECORD_COUNTS = (1000, 5000, 20_000)
RULES = 50
OUTCOME = b"x" * 168
PLACE = (LOOPBACK, 7400)


def ledger_memory() -> Slope:
    """Return the memory of the run ledger by its records."""
    values = [bytes_held(partial(_ledger, count)) for count in RECORD_COUNTS]
    return fit_slope("run ledger", "bytes", "record", RECORD_COUNTS, values)


def _ledger(count: int) -> RunLedger:
    ledger = RunLedger()
    for number in range(count):
        claim, outcome = _run_of(number)
        ledger.claim(claim, 0.0, HOUR)
        ledger.record(outcome)
    return ledger


def _run_of(number: int) -> tuple[Claim, RecordOutcome]:
    request_id = f"0190{number:028d}"
    token = f"{number:032x}"
    claim = Claim("robot", request_id, token, "waco-hall-entry-1", token, token)
    return claim, RecordOutcome("robot", request_id, token, OUTCOME + token.encode())


def log_bytes() -> Slope:
    """Return the bytes that a command takes in the log by the claims in it, outcomes included."""
    values = [float(len(_claim_batch(count))) for count in BATCH_SIZES]
    return fit_slope("command in the log", "bytes", "claim with outcome", BATCH_SIZES, values)


def _claim_batch(count: int) -> bytes:
    operations = []
    for number in range(count):
        claim, outcome = _run_of(number)
        operations += [OPERATIONS.encode(claim), OPERATIONS.encode(outcome)]
    return BATCHES.encode(Batch(1_764_700_000_000.0, operations))


def whole_view_bytes() -> Slope:
    """Return the bytes of the whole view that a starting entry gets, by the entries in it."""
    values = [float(len(_state(count).whole_view())) for count in ROSTER_COUNTS]
    return fit_slope("whole view for a starting entry", "bytes", "entry", ROSTER_COUNTS, values)


def view_memory() -> Slope:
    """Return the memory that an entry keeps of control's state, by the entries in the roster."""
    values = []
    for count in ROSTER_COUNTS:
        data = _state(count).whole_view()
        values.append(bytes_held(partial(EntryView().advanced, data)))
    return fit_slope("control's state at an entry", "bytes", "entry", ROSTER_COUNTS, values)


def _state(entries: int) -> ControlState:
    state = ControlState()
    change = ReplaceRules(make_rules(RULES).to_plain())
    operations = [OPERATIONS.encode(Change("c-1", 0, "bench", [], [], ACTIONS.encode(change)))]
    for number in range(entries):
        entry = RegisterEntry(f"waco-hall-entry-{number}", f"{number:032x}", "waco-hall", *PLACE)
        operations.append(OPERATIONS.encode(entry))
    state.apply(1, BATCHES.encode(Batch(1.0, operations)))
    if state.revision != 1 or len(state.hosts.entries) != entries:
        raise RuntimeError("the state of the benchmark is not as it should be")
    return state
