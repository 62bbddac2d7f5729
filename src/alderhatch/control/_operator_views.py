"""JSON views of a control host and its state for operators."""

from __future__ import annotations

from typing import Any

from ..core.control.host_table import ControlRecord, EntryRecord
from ..core.control.operations import HistoryItem
from ..core.control.rule_store import RuleEvent
from ..core.control.tier_settings import settings_to_plain
from ..core.request import Request
from ..core.rule_list import rule_to_plain
from ..errors import AlderhatchError, ErrorKind, Failure
from .control_host import ControlHost
from .replicated_log import LogStatus

MAX_SUSPECTS_SHOWN = 100


def history_row(item: HistoryItem) -> dict[str, object]:
    """Return the JSON form of one accepted change."""
    return {
        "revision": item.revision,
        "at_ms": item.at,
        "who": item.who,
        "change_id": item.change_id,
        "action": item.action,
        "target": item.target,
        "summary": item.summary,
    }


class OperatorViews:
    """Builds views from the state that this host has applied."""

    def __init__(self, host: ControlHost, name: str, zone: str) -> None:
        self._host = host
        self._name = name
        self._zone = zone

    def ready(self) -> bool:
        """Return whether this host knows a leader and its disk works."""
        status = self._host.log.status()
        return status.leader is not None and status.storage_failure is None

    def leader(self) -> dict[str, object] | None:
        """Return the operator endpoint of the leader, or None if this host does not know it."""
        name = self._host.log.status().leader
        record = self._host.state.hosts.controls.get(name or "")
        if record is None or not record.operator_address:
            return None
        return {
            "name": record.name,
            "address": record.operator_address,
            "port": record.operator_port,
        }

    def rules(self) -> dict[str, object]:
        """Return the rules in order."""
        state = self._host.state
        return {"revision": state.revision, "rules": state.rule_store.rules.to_plain()}

    def rule(self, name: str) -> dict[str, object]:
        """Return a rule with its history, also if it is withdrawn.

        Raises:
            AlderhatchError: ``not_found`` if there is neither such a rule nor a history of it.
        """
        state = self._host.state
        position = state.rule_store.position(name)
        events = state.rule_store.events(name)
        if position is None and not events:
            failure = Failure(ErrorKind.NOT_FOUND, f"no rule {name!r}", "name")
            raise AlderhatchError(failure)
        rule = None if position is None else state.rule_store.rules.rules[position - 1]
        return {
            "revision": state.revision,
            "position": position,
            "rule": None if rule is None else rule_to_plain(rule),
            "history": [_event_row(event) for event in events],
        }

    def explain(self, request: Request) -> dict[str, object]:
        """Return which rule matches a request, and why the earlier ones do not."""
        state = self._host.state
        explanation = state.rule_store.rules.explain(request)
        return {
            "revision": state.revision,
            "rule": rule_to_plain(explanation.rule),
            "position": explanation.position,
            "passed_over": [list(pair) for pair in explanation.passed_over],
        }

    def settings(self) -> dict[str, object]:
        """Return the settings of the whole tier."""
        state = self._host.state
        return {"revision": state.revision, "settings": settings_to_plain(state.settings)}

    def hosts(self) -> dict[str, object]:
        """Return the entries, the control hosts and the leaving servers."""
        state = self._host.state
        status = self._host.log.status()
        leaving = state.hosts.leaving_servers
        return {
            "revision": state.revision,
            "entries": [self._entry_row(record) for record in state.hosts.entries.values()],
            "controls": [_control_row(record, status) for record in state.hosts.controls.values()],
            "upstream_servers": [
                {"name": server, "upstream": upstream, "state": "leaving", "since_ms": at}
                for (upstream, server), at in leaving.items()
            ],
        }

    def quarantines(self) -> dict[str, object]:
        """Return the quarantined and the suspect request bodies by fingerprint."""
        crashes = self._host.state.crashes
        suspects = list(crashes.suspects.items())[-MAX_SUSPECTS_SHOWN:]
        return {
            "quarantines": [
                {
                    "fingerprint": quarantine.fingerprint,
                    "since_ms": quarantine.since,
                    "until_ms": quarantine.until,
                    "servers": list(quarantine.servers),
                }
                for quarantine in crashes.quarantines
            ],
            "suspects": [
                {
                    "fingerprint": suspect,
                    "crashes": len(crash_reports),
                    "last_ms": crash_reports[-1].at,
                }
                for suspect, crash_reports in suspects
                if crash_reports
            ],
        }

    def history(self, before: int | None, limit: int) -> dict[str, object]:
        """Return a page of the history.

        Args:
            before: Return only changes before this revision; None starts at the newest.
            limit: The largest number of changes.
        """
        state = self._host.state
        items = state.change_history.page(before, limit)
        return {
            "revision": state.revision,
            "oldest": state.change_history.oldest,
            "changes": [history_row(item) for item in items],
        }

    def status(self) -> dict[str, object]:
        """Return the status of this host's log, state and leadership."""
        status = self._host.log.status()
        state = self._host.state
        leadership = self._host.leadership
        return status._asdict() | {
            "name": self._name,
            "zone": self._zone,
            "revision": state.revision,
            "version": state.feed.version,
            "has_lease": self._host.log.holds_lease(),
            "grants_leases": leadership is not None,
            "entries": len(state.hosts.entries),
            "entries_live": None if leadership is None else leadership.live_entry_count(),
            "ledger": state.ledger.counts()._asdict(),
        }

    def dump(self) -> dict[str, object]:
        """Return status, hosts and state for debugging, bounded in size and without secrets."""
        return {"status": self.status(), "hosts": self.hosts(), "state": self._host.state.to_dump()}

    def _entry_row(self, record: EntryRecord) -> dict[str, Any]:
        hosts = self._host.state.hosts
        row: dict[str, Any] = {
            "name": record.name,
            "zone": record.zone,
            "address": record.address,
            "port": record.port,
            "state": hosts.stopping.get(record.name, "serving"),
            "lease": "unknown",
            "version": None,
            "lease_left_ms": None,
            "share_divisor": None,
        }
        if self._host.leadership is None:
            return row
        view = self._host.leadership.lease_view(record.name)
        return row | {
            "lease": str(view.state),
            "version": view.version,
            "lease_left_ms": round(view.left, 1),
            "share_divisor": view.share,
        }


def _event_row(event: RuleEvent) -> dict[str, object]:
    return {
        "revision": event.revision,
        "at_ms": event.at,
        "who": event.who,
        "change_id": event.change_id,
        "action": event.action,
    }


def _control_row(record: ControlRecord, status: LogStatus) -> dict[str, object]:
    member = "outside"
    if record.name in status.voters:
        member = "voter"
    elif record.name in status.learners:
        member = "learner"
    return {
        "name": record.name,
        "zone": record.zone,
        "address": record.address,
        "port": record.port,
        "operator_address": record.operator_address,
        "operator_port": record.operator_port,
        "state": member,
        "leader": status.leader == record.name,
        "stop": record.mark or None,
        "replaces": record.joins_for or None,
    }
