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
from features.support.voter_schedules import keeps_majority, schedules, successor_schedules

CATCH_UP = 4 * SECOND
COPY_TIMES = (200.0, 800.0)
"""Time in milliseconds in which a new member copies the log, on a fast and on a slow disk."""

SLOW_COPY_TIMES = (3000.0, 3400.0, 3800.0)
"""The same on disks so slow that the copy takes nearly the whole catch-up time."""


def members(text):
    """Return members by their IDs; ``a1`` is host ``a`` with its first member ID."""
    return tuple(Member(one, one[0], "10.0.0.1", 7380) for one in text.split())


@given('a log with voters "{voters}" and learners "{learners}" that requires 3 voters')
@given('a log with voters "{voters}" and learners "" that requires 3 voters')
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
    'voters that have been silent for {silent:g} s: "{lost}", where a new host has {catch_up:g} s'
    " to catch up"
)
@given(
    'voters that have been silent for {silent:g} s: "", where a new host has {catch_up:g} s'
    " to catch up"
)
def step_silence(context, silent, catch_up, lost=""):
    context.silence = dict.fromkeys(lost.split(), silent * SECOND)
    context.loss_timeout = voter_loss_timeout(catch_up * SECOND)


@when(
    "a host is lost for good and then its successor, with {tolerated:d} lost at once, "
    "in every schedule"
)
@when(
    "a host is lost for good and then its successor, with {tolerated:d} lost at once, "
    "in every {step:d}th schedule"
)
def step_successors(context, tolerated, step=1):
    loss_timeout = voter_loss_timeout(CATCH_UP)
    context.failures = [
        (schedule, copy_time)
        for schedule in successor_schedules(tolerated)[::step]
        for copy_time in (*COPY_TIMES, *SLOW_COPY_TIMES)
        if not keeps_majority(schedule, tolerated, loss_timeout, CATCH_UP, copy_time)
    ]


@when('the learner "{name}" is added')
def step_learner(context, name):
    (learner,) = members(name)
    context.membership = context.membership.with_learner(learner)


@then('the learners are "{names}"')
def step_learners(context, names):
    assert [one.member_id for one in context.membership.learners] == names.split()


@when("every {step:d}th schedule of {losses:d} losses is run with {tolerated:d} lost at once")
def step_schedules(context, step, losses, tolerated):
    loss_timeout = voter_loss_timeout(CATCH_UP)
    context.failures = [
        (schedule, copy_time)
        for schedule in islice(schedules(tolerated, losses), 0, None, step)
        for copy_time in COPY_TIMES
        if not keeps_majority(schedule, tolerated, loss_timeout, CATCH_UP, copy_time)
    ]


@then("each of them leaves a majority that can answer")
def step_majority(context):
    assert not context.failures, (len(context.failures), context.failures[:3])


@then('the next membership step is "{expected}"')
def step_next(context, expected):
    step = next_step(
        context.membership,
        context.disk_hosts,
        context.caught_up,
        context.silence,
        3,
        context.loss_timeout,
    )
    match step:
        case None:
            actual = "none"
        case AddMember(name):
            actual = f"add {name}"
        case PromoteMember(name):
            actual = f"promote {name}"
        case ReplaceMember(lost, successor):
            actual = f"replace {lost} by {successor}"
        case RemoveMember(name):
            actual = f"remove {name}"
    assert actual == expected, actual


@then("for the loss of {lost:d} hosts at once {voters:d} voters are required")
def step_required(context, lost, voters):
    assert required_voters(lost) == voters


@given("a bootstrap coordinator")
def step_coordinator(context):
    context.coordinator = BootstrapCoordinator()


def bid_all(context, bids):
    """Send the bids of hosts a tenth of a second apart, on a virtual clock."""
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


@then('all of them get the verdict that "{name}" bootstraps the log')
def step_verdict(context, name):
    assert set(context.verdicts) == {name}, context.verdicts


@then("all of them get the verdict that no host bootstraps the log")
def step_no_verdict(context):
    assert set(context.verdicts) == {None}, context.verdicts


@then('a host "{name}" that bids a minute later gets the same verdict')
def step_later_bid(context, name):
    before = set(context.verdicts)
    bid_all(context, [(name, "")])
    assert set(context.verdicts) == before, context.verdicts
