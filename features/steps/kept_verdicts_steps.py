from __future__ import annotations

import tempfile
import zlib
from pathlib import Path
from random import Random
from types import SimpleNamespace

import trio
from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import seed, settings
from hypothesis import strategies as st

from alderhatch.clock import SECOND, LoopClock
from alderhatch.codec import Codec
from alderhatch.core.control.configuration_register import StoredConfiguration
from alderhatch.core.entry_events import AttemptFault
from alderhatch.core.forwarding.crash_counter import SuspectKey
from alderhatch.core.forwarding.route import CallerLimits, TierConfiguration
from alderhatch.entry.connection_pool import ConnectionPool
from alderhatch.link import Peer, serve_links
from alderhatch.node.crash_guard import CrashGuard
from alderhatch.node.node_state import NodeState
from alderhatch.node.state_checkpoint import CheckpointStore
from alderhatch.node.tier_client import TierClient
from alderhatch.node.tier_messages import (
    TIER_MESSAGE_TYPES,
    ConfigurationNews,
    CrashReport,
    Join,
    KeptNews,
    Place,
    QuarantineNews,
    Redirect,
    Report,
    RequestMark,
    TierView,
)
from alderhatch.node.tier_server import TierServer
from alderhatch.platform.settings import POLICY
from features.steps.crash_model_steps import check_rules, run_model
from features.support.forward_model import BUDGET_LIMITS
from features.support.tier_hosts import TierOfHosts

CODEC = Codec(*TIER_MESSAGE_TYPES)
SECRET = b"the secret of a tier of the tests"
LOOPBACK = "127.0.0.1"
TIMEOUT_S = 20.0
CRASHING = "crashing"
SUSPECT = SuspectKey("suspect", "shard-1")
VIEW = TierView([], [], 1.0)
MARKED = RequestMark.SUSPECT.of(SUSPECT)


def teach(guard):
    guard.apply_quarantine([CRASHING])
    guard.restore_suspects([SUSPECT])


def check_known(guard):
    assert guard.is_quarantined(CRASHING)
    assert not guard.is_quarantined(SUSPECT.fingerprint)
    suspicion = guard.suspicion(SUSPECT.fingerprint)
    assert suspicion is not None and suspicion.upstream == SUSPECT.upstream, suspicion


# Hosts without a leader


@given("a host without a leader that quarantined one request and suspects another")
def step_without_leader(context):
    context.kept = KeptNews(ConfigurationNews(3, b"packed"), VIEW, [])


class StartingState:
    """A host's state as a search for the leader uses it; checks when it may begin to serve."""

    def __init__(self):
        self.name = "starting"
        self.crash_guard = CrashGuard(LoopClock())
        self.controls = []
        self.records = {}
        self.view = None
        self.is_started = False
        self.served = trio.Event()

    def apply_evacuations(self, evacuations):
        pass

    def apply_configuration(self, stored):
        check_known(self.crash_guard)
        self.served.set()

    def apply_view(self, view):
        self.view = view

    def apply_standing(self, stands_by):
        pass

    def apply_servers(self, changed, gone):
        pass


def starting_client(state, port):
    """Return the client of a host that has just started and knows one host, at a port."""
    place = Place(state.name, LOOPBACK, 1)
    return TierClient(
        lambda: Join(place, "zone", "127.0.0.1:1", 1.0, None, False),
        lambda: Report(True, 0, None, [], 0),
        lambda: [Place("host-0", LOOPBACK, port)],
        state,
        CODEC,
        SECRET,
    )


@when("a host that has just started asks it for the leader")
def step_ask(context):
    async def main():
        with trio.fail_after(TIMEOUT_S):
            async with trio.open_nursery() as nursery:
                guard = CrashGuard(LoopClock())
                teach(guard)
                server = TierServer(
                    SimpleNamespace(leads=False),
                    lambda: None,
                    lambda: True,
                    lambda: Redirect(None, []),
                    lambda name: context.kept,
                    lambda leader: None,
                    lambda hosts, needed: [],
                    lambda: 0,
                    guard,
                    CODEC,
                )
                listeners = await trio.open_tcp_listeners(0, host=LOOPBACK)
                port = listeners[0].socket.getsockname()[1]
                peer = Peer("host-0", "control")
                await nursery.start(serve_links, listeners, CODEC, SECRET, peer, server.serve)
                state = StartingState()
                nursery.start_soon(starting_client(state, port).run)
                await state.served.wait()
                nursery.cancel_scope.cancel()

    trio.run(main)


@then("that host refuses the one, and runs the other on one server at a time, before it serves")
def step_known_before(context):
    # Checked when the host is given its configuration, without which it serves nobody.
    pass


# Checkpoints


def host_state():
    pool = ConnectionPool(0, 1000.0, spares=False)
    cfg = TierConfiguration(3, (), (), CallerLimits())
    return NodeState(
        "host-0", "zone-0", lambda _: cfg, pool, BUDGET_LIMITS, POLICY, LoopClock(), Random(1)
    )


@given("a host with a disk that quarantined one request and suspects another")
def step_with_disk(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.folder = Path(folder.name)


@when("it is restarted from its checkpoint")
def step_restart(context):
    async def main():
        with trio.fail_after(TIMEOUT_S):
            async with trio.open_nursery() as nursery:
                state = host_state()
                state.apply_configuration(StoredConfiguration(3, zlib.compress(b"{}")))
                state.apply_view(VIEW)
                store = CheckpointStore(context.folder, state)
                state.crash_guard.on_verdicts_changed = store.save_soon
                nursery.start_soon(store.restore)
                nursery.start_soon(store.run)
                teach(state.crash_guard)
                while not list(context.folder.iterdir()):
                    await trio.sleep(0.01)
                nursery.cancel_scope.cancel()
            context.state = host_state()
            await CheckpointStore(context.folder, context.state).restore()
            check_known(context.state.crash_guard)

    trio.run(main)


@then("it refuses the one, and runs the other on one server at a time")
def step_known(context):
    assert context.state.stored.version == 3


# Leaders that know less


@given("a host that was restarted with a suspect")
def step_with_suspect(context):
    context.now = 0.0
    context.guard = CrashGuard(SimpleNamespace(now=lambda: context.now))
    context.guard.restore_suspects([SUSPECT])


@when("it is sent {what}")
def step_receive(context, what):
    match what:
        case "a leader's list without it":
            lists = [[]]
        case "a leader's list with it":
            lists = [[SUSPECT]]
        case "a leader's list with it and then one without it":
            lists = [[SUSPECT], []]
        case "an answer of a server to it":
            lists = []
            target = SimpleNamespace(upstream=SUSPECT.upstream, server_id="i-0")
            context.guard.record_attempt(
                SUSPECT.fingerprint, target, AttemptFault.FAILED, True, context.now
            )
        case _:
            raise AssertionError(what)
    for suspects in lists:
        context.guard.apply_suspects(suspects)


@then("the request is {state} there")
def step_state(context, state):
    is_suspect = context.guard.suspicion(SUSPECT.fingerprint) is not None
    assert is_suspect is (state == "a suspect"), state


@given("a leader that was restarted with a suspect, and {count:d} hosts")
def step_leader(context, count):
    context.tier = TierOfHosts(count)


@given("a leader that knows of no crashing request, and {count:d} hosts")
def step_ignorant_leader(context, count):
    context.tier = TierOfHosts(count)


@then("each host is told so once, before anything that lets it serve")
def step_told_none(context):
    async def script(tier):
        await tier.join_all(100.0)
        await trio.sleep(2.0)

    context.tier.run_script(script)
    for host in context.tier.hosts:
        kinds = [type(message) for message in host.link.received]
        assert host.received(QuarantineNews) == [QuarantineNews([])], kinds
        assert kinds.index(QuarantineNews) < kinds.index(ConfigurationNews), kinds


@when("two of the hosts report a lost trial of the same request, a second apart")
def step_report_trials(context):
    async def script(tier):
        await tier.join_all(100.0)
        for index in range(2):
            await trio.sleep(1.0)
            lost = CrashReport(RequestMark.TRIAL.of(SuspectKey(CRASHING)), f"i-{index}")
            tier.hosts[index].link.queue_message(Report(True, 1, None, [lost], 0))
        await trio.sleep(2.0)

    context.tier.run_script(script)


@then("every host is told that it crashes servers")
def step_all_told(context):
    for host in context.tier.hosts:
        assert host.received(QuarantineNews)[-1] == QuarantineNews([CRASHING]), host.link.received


@when("one of the hosts reports that a server has answered it")
def step_report_answer(context):
    answered = CrashReport(RequestMark.ANSWERED.of(SUSPECT), "i-0")

    async def script(tier):
        tier.guard.restore_suspects([SUSPECT])
        await tier.join_all(100.0)
        await trio.sleep(1.0)
        context.before = [host.received(QuarantineNews) for host in tier.hosts]
        tier.hosts[0].link.queue_message(Report(True, 1, None, [answered], 0))
        await trio.sleep(1.0)
        context.after = [host.received(QuarantineNews) for host in tier.hosts]

    context.tier.run_script(script)


@then("all of them were told of the suspect, and then that it is none any more")
def step_told(context):
    assert [news[-1].fingerprints for news in context.before] == [[MARKED]] * 3, context.before
    assert [news[-1].fingerprints for news in context.after] == [[]] * 3, context.after


# Model


@then("a model of 4 hosts before 12 shards that all restart at any moment satisfies these rules")
def step_model(context):
    moments = st.lists(st.floats(0.0, 12 * SECOND), min_size=1, max_size=2)

    @seed(53)
    @settings(max_examples=25, deadline=None, database=None)
    @for_all(st.integers(0, 1000), moments, st.floats(0.0, 3 * SECOND), st.floats(2.0, 300.0))
    def check(number, restarts, first_at, crash_delay):
        events = [("restart all", at, 0) for at in restarts]
        check_rules(run_model(number, events, first_at, crash_delay))

    check()
