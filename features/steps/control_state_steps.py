from __future__ import annotations

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from alderhatch.core.control.actions import (
    AddRule,
    ChangeSettings,
    DepartHost,
    EditRule,
    HostRole,
    LiftQuarantine,
    MoveRule,
    PlanStop,
    ReplaceRules,
    WithdrawRule,
)
from alderhatch.core.control.control_state import ControlState
from alderhatch.core.control.entry_view import EntryView
from alderhatch.core.control.operations import (
    AnnounceControl,
    ChangeAccepted,
    ChangeRefused,
    Claim,
    EntryKey,
    KeepHouse,
    RegisterEntry,
    RemoveEntries,
    ReportCrash,
)
from features.support.control_commands import Applier, change, rule

SIMPLE = {
    "add night": AddRule(rule("night"), 1),
    "add urgent": AddRule(rule("urgent"), None),
    "edit urgent": EditRule("urgent", rule("urgent", coverage=0.9)),
    "edit routine": EditRule("routine", rule("routine", coverage=0.8)),
    "edit unknown": EditRule("unknown", rule("unknown")),
    "move routine 1": MoveRule("routine", 1),
    "withdraw urgent": WithdrawRule("urgent"),
    "withdraw routine": WithdrawRule("routine"),
    "replace": ReplaceRules([rule("only")]),
    "set hedges": ChangeSettings({"hedge_budget": 0.2}),
}

FAULTY = {
    "add a rule without a name": AddRule({"then": {}}, None),
    "add a rule whose name is taken": AddRule(rule("urgent"), None),
    "add a rule with coverage 1.5": AddRule(rule("x", coverage=1.5), None),
    "add a rule with an unknown condition": AddRule(
        {"name": "x", "then": {}, "when": {"colour": "red"}}, None
    ),
    "add a rule at position 9": AddRule(rule("x"), 9),
    "edit a rule to another name": EditRule("urgent", rule("other")),
    "edit a rule that is not there": EditRule("x", rule("x")),
    "move a rule to position 0": MoveRule("urgent", 0),
    "withdraw a rule that is not there": WithdrawRule("x"),
    "replace the list by one with a bad last rule": ReplaceRules(
        [rule("a"), rule("b"), rule("c", hedge=7)]
    ),
    "set an unknown setting": ChangeSettings({"colour": 1}),
    "set a good and a bad setting": ChangeSettings({"hedge_budget": 0.2, "crash_limit": 0}),
    "stop an unknown host": PlanStop("nobody", False),
    "depart a server without its upstream": DepartHost("s1", HostRole.UPSTREAM, "", False),
    "lift a quarantine that is not there": LiftQuarantine("b9"),
    "expect a revision that is to come": WithdrawRule("urgent"),
}


@given('the rules "urgent, routine" at revision 1')
def step_two_rules(context):
    context.applier = Applier(ControlState())
    rules = [rule("urgent"), rule("routine")]
    context.applier.one(change("c-1", 0, ReplaceRules(rules)))
    assert context.applier.state.revision == 1


def _facts(state):
    """What operators have declared, without history and answers."""
    plain = state.hosts.to_plain()
    return (
        state.revision,
        state.rule_store.rules.to_plain(),
        state.settings,
        plain,
        state.feed.version,
    )


@when('anna and bjorn both expect revision 1 and send "{first}" and "{second}"')
def step_race(context, first, second):
    applier = context.applier
    alone = ControlState()
    alone.restore(applier.state.snapshot())
    context.alone = Applier(alone)
    context.alone.now = applier.now
    context.alone.one(change("a-1", 1, SIMPLE[first], "anna"))
    context.answers = applier.apply(
        change("a-1", 1, SIMPLE[first], "anna"), change("b-1", 1, SIMPLE[second], "bjorn")
    )


@then("anna's is accepted as revision 2 and bjorn is shown what won")
def step_one_wins(context):
    won, lost = context.answers
    assert isinstance(won, ChangeAccepted) and won.revision == 2
    assert isinstance(lost, ChangeRefused) and lost.kind == "revision_conflict"
    assert [(item.who, item.change_id, item.revision) for item in lost.won] == [("anna", "a-1", 2)]


@then('the state is the one after "{first}" alone')
def step_state_alone(context, first):
    assert _facts(context.applier.state) == _facts(context.alone.state)


@when('"{name}" is sent, then {event}, then the same is sent again')
def step_resend(context, name, event):
    applier = context.applier
    sent = change("c-2", 1, SIMPLE[name])
    context.first = applier.one(sent)
    if event == "another change is accepted":
        applier.one(change("c-3", applier.state.revision, ChangeSettings({"retry_budget": 0.5})))
    if event == "control restarts":
        state = ControlState()
        state.restore(applier.state.snapshot())
        applier.state = state
    context.before = _facts(applier.state)
    # The leader that gets the resend may see other hosts down than the first one did.
    context.second = applier.one(sent._replace(voters=["c1"], down=["c1"]))


@then("the second answer is the first one, marked as repeated, and nothing was applied twice")
def step_repeated(context):
    assert context.second == context.first._replace(repeated=True)
    assert _facts(context.applier.state) == context.before


@when('"{first}" and then "{second}" are sent with one change id')
def step_one_id(context, first, second):
    context.applier.one(change("c-2", 1, SIMPLE[first]))
    context.before = _facts(context.applier.state)
    context.answer = context.applier.one(change("c-2", 2, SIMPLE[second]))


@then('the second is refused as "{kind}" at "{field}"')
def step_second_refused(context, kind, field):
    assert (context.answer.kind, context.answer.field) == (kind, field)
    assert _facts(context.applier.state) == context.before


@when('the change "{name}" is sent')
def step_faulty_change(context, name):
    context.before = _facts(context.applier.state)
    expected = 7 if name.startswith("expect") else 1
    context.answer = context.applier.one(change("c-2", expected, FAULTY[name]))


@then('it is refused as "{kind}" at "{field}" and the state is unchanged')
def step_refused_whole(context, kind, field):
    assert (context.answer.kind, context.answer.field) == (kind, field), context.answer
    assert _facts(context.applier.state) == context.before
    assert all(fault.message for fault in context.answer.faults)


@when("urgent is edited, withdrawn, and added again")
def step_edit_withdraw_add(context):
    for number, name in enumerate(("edit urgent", "withdraw urgent", "add urgent"), start=1):
        context.applier.one(change(f"c-{number + 1}", number, SIMPLE[name]))


@then('the history of urgent is "{actions}"')
def step_history(context, actions):
    events = context.applier.state.rule_store.events("urgent")
    assert [event.action for event in events] == actions.split(", ")
    assert [event.revision for event in events] == [1, 2, 3, 4]


CONTROLS = ["c1", "c2", "c3", "c4", "c5"]


@given("control hosts c1 to c5 of which {down} are down, and entries a1, a2 in austin, w1 in waco")
def step_hosts(context, down):
    applier = context.applier = Applier(ControlState())
    context.down = [] if down == "none" else down.split(", ")
    for name in CONTROLS:
        applier.one(AnnounceControl(name, "austin", "10.0.0.9", 7000, "10.0.0.9", 7001))
    for name, zone in (("a1", "austin"), ("a2", "austin"), ("w1", "waco")):
        applier.one(RegisterEntry(name, "run-1", zone, "10.0.0.1", 8080))


def _stop(context, host, forced):
    number = context.applier.index
    revision = context.applier.state.revision
    action = PlanStop(host, forced)
    sent = change(f"c-{number}", revision, action, "anna", CONTROLS, context.down)
    return context.applier.one(sent)


@when('the stops of "{before}" are planned and then that of {host}, forced: {forced}')
def step_plan_stops(context, before, host, forced):
    for name in [] if before == "none" else before.split(", "):
        assert isinstance(_stop(context, name, False), ChangeAccepted)
    context.answer = _stop(context, host, forced == "yes")


@then('that stop is "{result}"')
def step_stop_result(context, result):
    if result == "accepted":
        assert isinstance(context.answer, ChangeAccepted), context.answer
        return
    assert context.answer.kind == "stop_refused", context.answer
    for word in result.removeprefix("refused: ").split():
        assert word in context.answer.message, context.answer.message


_NAMES = st.sampled_from(["a", "b", "c", "d", "e"])
_ACTIONS = st.one_of(
    st.builds(lambda n, p: AddRule(rule(n), p), _NAMES, st.sampled_from([None, 1, 2, 3])),
    st.builds(lambda n, c: EditRule(n, rule(n, coverage=c)), _NAMES, st.floats(0.1, 1.0)),
    st.builds(MoveRule, _NAMES, st.integers(1, 5)),
    st.builds(WithdrawRule, _NAMES),
    st.lists(_NAMES, unique=True).map(lambda names: ReplaceRules([rule(n) for n in names])),
    st.integers(1, 10).map(lambda limit: ChangeSettings({"crash_limit": limit})),
    st.builds(PlanStop, _NAMES, st.booleans()),
    st.builds(lambda s: DepartHost(s, HostRole.UPSTREAM, "spotbook", False), _NAMES),
    st.builds(LiftQuarantine, _NAMES),
)
_OPERATIONS = st.one_of(
    _ACTIONS,
    _ACTIONS,
    st.builds(lambda n: RegisterEntry(n, "run-1", "ulven", "10.0.0.1", 80), _NAMES),
    st.builds(lambda n: RemoveEntries([EntryKey(n, "run-1")]), _NAMES),
    st.builds(lambda f, s: ReportCrash(f, s, "a"), _NAMES, _NAMES),
    st.builds(lambda i, n: Claim("x", i, "body", n, "run-1", "t" + i), _NAMES, _NAMES),
    st.just(KeepHouse()),
)


def _apply(applier, operation):
    applier.now += 30_000.0
    if not isinstance(operation, _OTHER):
        operation = change(f"c-{applier.index}", applier.state.revision, operation)
    return applier.one(operation)


_OTHER = (RegisterEntry, RemoveEntries, ReportCrash, Claim, KeepHouse)


@then("updates and whole views agree under {count:d} random histories")
def step_updates_agree(context, count):
    @settings(max_examples=count)
    @for_all(st.lists(st.tuples(_OPERATIONS, st.booleans()), min_size=5, max_size=60))
    def check(history):
        applier = Applier(ControlState())
        view = EntryView()
        for operation, looks in history:
            revision = applier.state.revision
            _apply(applier, operation)
            assert applier.state.revision >= revision
            if looks:
                for data in applier.state.updates_since(view.version):
                    view = view.advanced(data)
                whole = EntryView().advanced(applier.state.whole_view())
                if applier.state.feed.version:
                    assert _shown(view) == _shown(whole)

    check()


def _shown(view):
    roster = sorted(view.roster.values())
    rules = view.rules.to_plain()
    return view.version, view.revision, rules, view.settings, roster, view.quarantines, view.leaving


@then("a restored host and one that applied everything agree under {count:d} random histories")
def step_restored_agree(context, count):
    @settings(max_examples=count)
    @for_all(st.lists(_OPERATIONS, min_size=5, max_size=50), st.integers(0, 50))
    def check(history, cut):
        applier = Applier(ControlState())
        restored = ControlState()
        for number, operation in enumerate(history):
            answer = _apply(applier, operation)
            if number == cut % len(history):
                restored.restore(applier.state.snapshot())
            elif number > cut % len(history):
                assert restored.apply(applier.index, applier.commands[-1]) == [answer]
        assert restored.snapshot() == applier.state.snapshot()

    check()


@given("a state with an entry's view of it")
def step_state_and_view(context):
    context.applier = Applier(ControlState())
    context.view = EntryView()


def _look(context):
    for data in context.applier.state.updates_since(context.view.version):
        context.view = context.view.advanced(data)
    return context.view.quarantines


@when('crashes of body "b1" are reported for servers s1, s1 again at once, and s2')
def step_crashes(context):
    context.seen = []
    for server, entry in (("s1", "entry-1"), ("s1", "entry-2"), ("s2", "entry-2")):
        context.applier.one(ReportCrash("b1", server, entry))
        context.seen.append("b1" in _look(context))
    context.applier.one(ReportCrash("b2", "s1", "entry-1"))


@then('body "b1" is quarantined after the report for s2 and no longer after 10 minutes')
def step_quarantined(context):
    assert context.seen == [False, False, True]
    context.applier.now += 599_999.0
    context.applier.one(KeepHouse())
    assert "b1" in _look(context)
    context.applier.now += 1.0
    context.applier.one(KeepHouse())
    assert "b1" not in _look(context)


@then('body "b2", reported once for s1, is not quarantined')
def step_innocent(context):
    assert "b2" not in _look(context)


@given('entries of which "{without}" have no links in their settings')
def step_entries_with_links(context, without):
    context.applier = Applier(ControlState())
    for number, name in enumerate(("a1", "a2", "b1")):
        port = 0 if name in without.split(", ") else 7300 + number
        links = ("10.0.0.1", port) if port else ("", 0)
        context.applier.one(RegisterEntry(name, "run-1", "ulven", "10.0.0.1", 8080, *links))


@when("the number of owners is set to {owners:d} there")
def step_set_owners(context, owners):
    action = ChangeSettings({"owners_per_server": owners})
    context.answer = context.applier.one(change("c-owners", 0, action))


@then('that change is "{result}"')
def step_owners_result(context, result):
    answer = context.answer
    if result == "accepted":
        assert isinstance(answer, ChangeAccepted), answer
        return
    kind, field, named = result.replace(" at ", " for ").split(" for ")
    assert (answer.kind, answer.field) == (kind, field), answer
    assert answer.message.endswith(": " + named), answer.message
    assert context.applier.state.settings.owners_per_server == 0
