from __future__ import annotations

import signal

from behave import given, then, when

from features.support.crashing_servers import CrashingScene
from features.support.platform_tier import ZONES


@given("4 hosts before {shards:d} shards of 2 servers that a certain gather crashes")
def step_scene(context, shards):
    context.scene = CrashingScene(context, shards)


@given("4 hosts before {shards:d} shards of 2 servers that each of {gathers:d} gathers crashes")
def step_scene_of_many(context, shards, gathers):
    context.scene = CrashingScene(context, shards, gathers)


@given("that gather crashes {servers}")
def step_servers(context, servers):
    match servers:
        case "every server after 1 s":
            change = {"crash_delay_s": (1.0, 1.2)}
        case "every server after 50 ms":
            change = {"crash_delay_s": (0.05, 0.05)}
        case "only the servers of one shard":
            change = {"is_fragile": False}
        case _:
            raise AssertionError(servers)
    for server in context.scene.crashing_servers():
        if "is_fragile" in change and server.upstream == "shard-5":
            continue
        for name, value in change.items():
            setattr(server, name, value)


def restart_all(tier):
    hosts = tier.running()
    tier.kill(*hosts)
    tier.start(*hosts)


def kill_leader(tier):
    tier.kill(tier.leader())


def send_signal(tier, index, number):
    tier.processes[index].send_signal(number)


@when("that gather is sent each second for {seconds:d} s among harmless ones, and {event}")
@when("each of them is sent each second for {seconds:d} s among harmless ones, and {event}")
def step_run(context, seconds, event):
    tier = context.scene.tier
    match event:
        case "nothing else happens":
            events = []
        case "the leader is killed at 8 s":
            events = [(8.0, lambda: kill_leader(tier))]
        case "all hosts are restarted at 8 s":
            events = [(8.0, lambda: restart_all(tier))]
        case "all hosts are restarted at 0.3 s":
            events = [(0.3, lambda: restart_all(tier))]
        case "a host is paused from 0.2 s to 7 s":
            sleeper = next(one for one in tier.running() if one not in (0, tier.leader()))
            events = [
                (0.2, lambda: send_signal(tier, sleeper, signal.SIGSTOP)),
                (7.0, lambda: send_signal(tier, sleeper, signal.SIGCONT)),
            ]
        case "one is paused to 7 s, a caller waits there":
            sleeper = next(one for one in tier.running() if one not in (0, tier.leader()))
            send_signal(tier, sleeper, signal.SIGSTOP)
            events = [
                (0.5, lambda: context.scene.send_patiently(sleeper)),
                (7.0, lambda: send_signal(tier, sleeper, signal.SIGCONT)),
            ]
        case _:
            raise AssertionError(event)
    context.seconds = seconds
    context.scene.run(seconds, events=events)


@when(
    "the servers of a zone end {at:d} s after harmless gathers began, which go on for {seconds:d} s"
)
def step_zone_ends(context, at, seconds):
    scene = context.scene
    context.seconds = seconds
    scene.run(seconds, False, [(at, lambda: scene.crash_zone(ZONES[0]))])


@then("no harmless gather is refused as crashing")
def step_none_refused(context):
    tier = context.scene.tier
    for index in tier.running():
        assert '"quarantined"' not in tier.log_text(index), tier.log_text(index)


@then(
    "at most {crashes:d} servers have crashed, and the gather reached at most {late:d} servers late"
)
@then("each has crashed at most {crashes:d} servers, and reached at most {late:d} servers late")
def step_bounds(context, crashes, late):
    records = context.scene.records.values()
    seen = [(len(record.crashes), record.late_arrivals()) for record in records]
    print(f"crashes and late arrivals of each: {seen}")
    is_bounded = all(one <= crashes and other <= late for one, other in seen)
    assert is_bounded, (seen, context.scene.crashing_statuses)


@then("over {share:f} of the harmless gathers of the last {seconds:d} s are served")
def step_served(context, share, seconds):
    served = context.scene.served_share(context.seconds - seconds, context.seconds)
    assert served > share, served
