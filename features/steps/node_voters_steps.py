from __future__ import annotations

from itertools import islice

import trio
import trio.testing
from behave import given, then, when

from alderhatch.clock import SECOND
from alderhatch.control.member_steps import AddMember, PromoteMember, RemoveMember, ReplaceMember
from alderhatch.core.raft.membership import Member, Membership
from alderhatch.node.bootstrap import BootstrapCoordinator
from alderhatch.node.tier_messages import DiskRecord, FoundingBid, Place
from alderhatch.node.voter_plan import DiskHost, next_step, required_voters, voter_loss_timeout
from features.support.voter_schedules import plays_well, schedules, successor_schedules

CATCH_UP = 4 * SECOND
COPYING = (200.0, 800.0)
"""How long a new member needs for the log, on a quick and on a slow disk."""

SLOW_COPYING = (3000.0, 3400.0, 3800.0)
"""The same where the disk is so slow that the host needs nearly all the time that it has."""


def members(text):
    """``a1`` is host ``a`` under its first identity."""
    return tuple(Member(one, one[0], "10.0.0.1", 7380) for one in text.split())


@given('a log with voters "{voters}" and learners "{learners}" that wants 3 voters')
@given('a log with voters "{voters}" and learners "" that wants 3 voters')
def step_log(context, voters, learners=""):
    context.membership = Membership(members(voters), members(learners))


@given('live disk hosts "{hosts}", of which "{caught_up}" have caught up')
@given('live disk hosts "{hosts}", of which "" have caught up')
def step_hosts(context, hosts, caught_up=""):
    context.disk_hosts = {
        one[0]: DiskHost(Place(one[0], "10.0.0.1", 7380), DiskRecord(one, "cluster"))
        for one in hosts.split()
    }
    context.caught_up = frozenset(caught_up.split())


@given(
    'voters that were not heard for {silent:g} s: "{lost}", where a new host has {catch_up:g} s to'
    " catch up"
)
@given(
    'voters that were not heard for {silent:g} s: "", where a new host has {catch_up:g} s to'
    " catch up"
)
def step_lost(context, silent, catch_up, lost=""):
    context.unheard = dict.fromkeys(lost.split(), silent * SECOND)
    context.patience = voter_loss_timeout(catch_up * SECOND)


@when(
    "a host goes for good and then its successor, with {tolerated:d} lost at once, in every series"
)
@when(
    "a host goes for good and then its successor, with {tolerated:d} lost at once, "
    "in every {step:d}th series"
)
def step_successors(context, tolerated, step=1):
    patience = voter_loss_timeout(CATCH_UP)
    context.spoilt = [
        (series, copying)
        for series in successor_schedules(tolerated)[::step]
        for copying in (*COPYING, *SLOW_COPYING)
        if not plays_well(series, tolerated, patience, CATCH_UP, copying)
    ]


@when('the learner "{name}" is added')
def step_learner(context, name):
    (learner,) = members(name)
    context.membership = context.membership.with_learner(learner)


@then('the learners are "{names}"')
def step_learners(context, names):
    assert [one.member_id for one in context.membership.learners] == names.split()


@when("every {step:d}th series of {losses:d} losses is played with {tolerated:d} lost at once")
def step_schedules(context, step, losses, tolerated):
    patience = voter_loss_timeout(CATCH_UP)
    context.spoilt = [
        (series, copying)
        for series in islice(schedules(tolerated, losses), 0, None, step)
        for copying in COPYING
        if not plays_well(series, tolerated, patience, CATCH_UP, copying)
    ]


@then("each of them leaves a majority that can answer")
def step_majority(context):
    assert not context.spoilt, (len(context.spoilt), context.spoilt[:3])


@then('the next step of the members is "{expected}"')
def step_next(context, expected):
    step = next_step(
        context.membership,
        context.disk_hosts,
        context.caught_up,
        context.unheard,
        3,
        context.patience,
    )
    match step:
        case None:
            shown = "none"
        case AddMember(name):
            shown = f"add {name}"
        case PromoteMember(name):
            shown = f"promote {name}"
        case ReplaceMember(lost, successor):
            shown = f"replace {lost} by {successor}"
        case RemoveMember(name):
            shown = f"remove {name}"
    assert shown == expected, shown


@then("for the loss of {lost:d} hosts at once {voters:d} voters are wanted")
def step_wanted(context, lost, voters):
    assert required_voters(lost) == voters


@given("a judge of the founding")
def step_judge(context):
    context.coordinator = BootstrapCoordinator()


def bid_all(context, bids):
    """Let hosts bid a tenth of a second apart, on a virtual clock."""
    context.verdicts = []

    async def bid(name, cluster, after):
        await trio.sleep(after)
        place = Place(name, "10.0.0.1", 7380)
        verdict = await context.coordinator.decide(FoundingBid(place, cluster))
        context.verdicts.append(verdict.founder.name if verdict.founder else None)

    async def main():
        async with trio.open_nursery() as nursery:
            for number, (name, cluster) in enumerate(bids):
                nursery.start_soon(bid, name, cluster, number / 10)

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


@when('the hosts "{names}" bid within 0.5 s')
def step_bid(context, names):
    bid_all(context, [(name, "") for name in names.split()])


@when('the host "a" bids with an empty disk and "b" with a cluster')
def step_bid_cluster(context):
    bid_all(context, [("a", ""), ("b", "cluster")])


@then('all of them hear that "{name}" founds the log')
def step_heard(context, name):
    assert set(context.verdicts) == {name}, context.verdicts


@then("all of them hear that nobody founds the log")
def step_heard_nobody(context):
    assert set(context.verdicts) == {None}, context.verdicts


@then('a host "{name}" that bids a minute later hears the same')
def step_later(context, name):
    before = set(context.verdicts)
    bid_all(context, [(name, "")])
    assert set(context.verdicts) == before, context.verdicts
