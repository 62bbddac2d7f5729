"""Model of hosts, a leader and servers that end, on a virtual clock."""

from __future__ import annotations

from types import SimpleNamespace

from alderhatch.core.entry_events import AttemptFault
from alderhatch.core.forwarding.crash_counter import CrashCounter
from alderhatch.core.forwarding.crash_evidence import CONCLUDE_DELAY
from alderhatch.core.forwarding.forward_run import ForwardRun
from alderhatch.core.forwarding.outcome import Answered
from alderhatch.core.forwarding.run_limits import RunTimes
from alderhatch.node.crash_guard import CrashGuard
from alderhatch.node.forward_runner import HOLD_RECHECK_INTERVAL
from alderhatch.node.tier_messages import MarkedRequest, RequestMark, read_mark
from features.support.forward_model import NETWORK_DELAY_MS, ForwardModel, scatter_route

DOWN_TIME_MS = 4000.0
LIST_LAG_MS = 1500.0
REPORT_INTERVAL_MS = 500.0
LEADER_INTERVAL_MS = 100.0
LINK_DELAY_MS = 2.0
LATE_AFTER_MS = 4000.0
LATENCY_MS = 20.0
REFUSED = "refused"


def deliver_reports(guard, counter, now, leader=None):
    """Report what a host has seen to the leader; ``leader`` is the guard of the leader's host."""
    for marked, server_id in guard.take_reports():
        match read_mark(marked):
            case MarkedRequest(RequestMark.CRASHING, key):
                counter.report_crash(key.fingerprint, server_id, now)
            case MarkedRequest(RequestMark.SUSPECT, key):
                counter.report_loss(key, server_id, now)
            case MarkedRequest(RequestMark.TRIAL, key):
                counter.report_trial(key, server_id, now)
            case MarkedRequest(RequestMark.SHARED_TRIAL, key):
                counter.report_shared_trial(key, server_id, now)
            case MarkedRequest(RequestMark.ANSWERED, key):
                counter.report_answer(key)
                if leader is not None:
                    leader.clear_suspect(key)


class CrashModel(ForwardModel):
    """Hosts whose gathers may crash the servers that run them."""

    def __init__(self, hosts, shards, seed, latency_ms=LATENCY_MS):
        super().__init__(hosts, seed)
        self.route = scatter_route([f"s{index}" for index in range(shards)])
        for name in self.route.upstreams:
            self.add_upstream(name, latency_ms)
        self.guards = [CrashGuard(self._clock()) for _ in range(hosts)]
        self.down = set()
        self.is_fatal = lambda body, server_id: False
        """Whether a request crashes a server; replaced by the scene."""
        self.crash_delay_ms = (20.0, 80.0)
        self.arrivals = []
        """Body and time of each request that arrived at a running server."""
        self.crashes = []
        """Body and time of each crash; the body is None if nothing that ran there caused it."""
        self.refusals = []
        """Body and time of each refusal as quarantined."""
        self.bodies = {}
        """The body of each request, by number."""
        self.leader_hosts = set(range(hosts))
        """The hosts that are in touch with the leader."""
        self.heard_at = [0.0] * hosts
        """When each host heard the leader last."""
        self.counter = CrashCounter()
        self._at_server = {name: {} for name in self.servers}
        for index, guard in enumerate(self.guards):
            guard.leader_heard_at = lambda host=index: self.heard_at[host]
            guard.probe = lambda server_id, host=index: self._probe(host, server_id)
            guard.nearby_servers = self.tables[index].nearby_servers
            guard.notify = lambda host=index: self._after(LINK_DELAY_MS, self._report, host)
            guard.on_trial_ended = lambda host=index: self._after(
                CONCLUDE_DELAY, self.guards[host].judge_trials
            )
            self._report_periodically(index)
        self._lead()

    def _clock(self):
        return SimpleNamespace(now=lambda: self.now)

    def _after(self, delay, action, *args):
        self.at(self.now + delay, lambda: action(*args))

    # The tier

    def change_leader(self):
        """Replace the leader by one that knows only what its host was told."""
        self.counter = CrashCounter()
        for guard in self.guards:
            guard.on_new_leader()

    def restart_all(self):
        """Restart all hosts, and so the leader, with what is in their checkpoints."""
        for host in range(len(self.guards)):
            self.restart_host(host)
        self.change_leader()

    def restart_host(self, host):
        """Restart a host with the quarantines and suspects of its checkpoint."""
        kept = self.guards[host].quarantines()
        suspects = self.guards[host].suspects()
        old = self.guards[host]
        self.guards[host] = CrashGuard(self._clock())
        self.guards[host].leader_heard_at = old.leader_heard_at
        self.guards[host].probe = old.probe
        self.guards[host].nearby_servers = old.nearby_servers
        self.guards[host].notify = old.notify
        self.guards[host].on_trial_ended = old.on_trial_ended
        self.guards[host].restore_quarantines(kept)
        self.guards[host].restore_suspects(suspects)

    def _report_periodically(self, host):
        self._report(host)
        self._after(REPORT_INTERVAL_MS, self._report_periodically, host)

    def _report(self, host):
        if host not in self.leader_hosts:
            return
        leader = self.guards[min(self.leader_hosts)]
        deliver_reports(self.guards[host], self.counter, self.now, leader)

    def _lead(self):
        self.counter.decide(self.now)
        # The leader is the first of the hosts that are in touch; it goes by what it was told, too.
        leader = min(self.leader_hosts, default=None)
        if leader is not None:
            refused = {*self.counter.refused(self.now), *self.guards[leader].quarantines()}
            told = self.guards[leader].told_suspects()
            suspects = sorted({*self.counter.suspects(self.now), *told})
            for host in self.leader_hosts:
                self._after(LINK_DELAY_MS, self._apply_lists, host, refused, suspects)
        self._after(LEADER_INTERVAL_MS, self._lead)

    def _apply_lists(self, host, refused, suspects):
        self.heard_at[host] = self.now
        self.guards[host].apply_quarantine(refused)
        self.guards[host].apply_suspects(one for one in suspects if one.fingerprint not in refused)

    # Servers

    def _probe(self, host, server_id):
        asked_at = self.now
        self._after(2 * NETWORK_DELAY_MS, self._end_probe, host, server_id, asked_at)

    def _end_probe(self, host, server_id, asked_at):
        if server_id in self.down:
            self.guards[host].record_refused(server_id)
        else:
            self.guards[host].record_accepted(server_id, asked_at)

    def end_server(self, server_id, body=None):
        """End a server; all requests that run there are lost."""
        if server_id in self.down:
            return
        self.down.add(server_id)
        self.crashes.append((body, self.now))
        for number, host, send in self._at_server[server_id].values():
            self._after(NETWORK_DELAY_MS, self._end, number, host, send, None, AttemptFault.LOST)
        self._at_server[server_id] = {}
        self._after(DOWN_TIME_MS, self._restart_server, server_id)

    def _restart_server(self, server_id):
        (record,) = (one for one in self.records if one.server_id == server_id)
        base, _, start = server_id.partition("+")
        new = record._replace(server_id=f"{base}+{int(start or 0) + 1}")
        self.servers[new.server_id] = self.servers[server_id]
        self._at_server[new.server_id] = {}
        self.records[self.records.index(record)] = new
        self._after(LIST_LAG_MS, self._update_lists)

    def _update_lists(self):
        for table in self.tables:
            table.update(self.records, self.now)

    # Requests

    def send(self, body, host):
        """Send a gather to a host now; return its number."""
        number = next(self._numbers)
        self.bodies[number] = body
        guard = self.guards[host]
        if guard.is_quarantined(body):
            self.refusals.append((body, self.now))
            self.results[number] = (REFUSED, self.now)
            return number
        times = RunTimes(self.now, self.now + 135.0, self.now + self.route.timeout)
        run = ForwardRun(
            self.route,
            self.route.upstreams,
            times,
            self.tables[host],
            suspicion=guard.suspicion(body),
        )
        self.runs[number] = run
        self._carry_out(number, host, run.start(self.now))
        self._plan(number, host)
        return number

    def _plan(self, number, host):
        super()._plan(number, host)
        run = self.runs[number]
        if run.is_held and not run.finished:
            self._after(HOLD_RECHECK_INTERVAL, self._recheck, number, host)

    def _recheck(self, number, host):
        run = self.runs[number]
        if not run.finished and self.guards[host].suspicion(self.bodies[number]) is None:
            self._carry_out(number, host, run.release(self.now))
        self._plan(number, host)

    def _send(self, number, host, send):
        server_id = send.target.server_id
        body = self.bodies[number]
        self._open[send.attempt] = send
        if server_id in self.down or server_id not in self._at_server:
            self.guards[host].record_refused(server_id)
            self._after(
                2 * NETWORK_DELAY_MS, self._end, number, host, send, None, AttemptFault.NOT_SENT
            )
            return
        self.arrivals.append((body, self.now))
        self._at_server[server_id][send.attempt] = (number, host, send)
        if self.is_fatal(body, server_id):
            delay = self.rng.uniform(*self.crash_delay_ms)
            self._after(delay, self.end_server, server_id, body)
            return
        taken = self.servers[server_id].accept(self.now + NETWORK_DELAY_MS)
        if taken is None:
            return
        end, fault = taken
        self.at(end, lambda: self._answer(number, host, send, fault))

    def _answer(self, number, host, send, fault):
        if self._at_server[send.target.server_id].pop(send.attempt, None) is not None:
            self._end(number, host, send, self.servers[send.target.server_id], fault)

    def _end(self, number, host, send, server, fault):
        if send.attempt in self._open:
            body = self.bodies[number]
            guard = self.guards[host]
            guard.record_attempt(body, send.target, fault, send.in_trial, self.now)
            if fault is AttemptFault.LOST and guard.suspicion(body) is not None:
                self.runs[number].hold()
        super()._end(number, host, send, server, fault)

    # Results

    def late_arrivals(self, body):
        """Return how many arrivals of a body were late after its third crash."""
        crashes = sorted(at for one, at in self.crashes if one == body)
        if len(crashes) < 3:
            return 0
        return sum(at > crashes[2] + LATE_AFTER_MS for one, at in self.arrivals if one == body)

    def is_served(self, number):
        outcome, _ = self.results.get(number, (None, 0.0))
        return isinstance(outcome, Answered)
