from __future__ import annotations

from behave import given, then, when

from features.support.crashing_servers import CrashingScene

RUN_SECONDS = 22
LAST_SECONDS = 6


@given("4 hosts before {shards:d} shards of 2 servers that a certain gather crashes")
def step_scene(context, shards):
    context.scene = CrashingScene(context, shards)


def restart_all(tier):
    hosts = tier.running()
    tier.kill(*hosts)
    tier.start(*hosts)


def kill_leader(tier):
    tier.kill(tier.leader())


@when("that gather is sent each second for 22 s among harmless ones, and {event}")
def step_run(context, event):
    tier = context.scene.tier
    match event:
        case "nothing else happens":
            events = []
        case "the leader is killed at 8 s":
            events = [(8.0, lambda: kill_leader(tier))]
        case "all hosts are restarted at 8 s":
            events = [(8.0, lambda: restart_all(tier))]
        case _:
            raise AssertionError(event)
    context.scene.run(RUN_SECONDS, events=events)


@then(
    "at most {crashes:d} servers have crashed, and the gather reached at most {late:d} servers late"
)
def step_bounds(context, crashes, late):
    record = context.scene.record
    seen = (len(record.crashes), record.late_arrivals(), context.scene.crashing_statuses)
    assert len(record.crashes) <= crashes and record.late_arrivals() <= late, seen


@then("over {share:f} of the harmless gathers of the last {seconds:d} s are served")
def step_served(context, share, seconds):
    served = context.scene.served_share(RUN_SECONDS - seconds, RUN_SECONDS)
    assert served > share, served
