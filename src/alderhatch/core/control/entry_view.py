"""An entry's copy of the control state; its version only increases."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import Any

from ...errors import AlderhatchError, ErrorKind, Failure
from ..rule_list import RuleList, parse_rules
from .feed import (
    PATCHES,
    UPDATES,
    ControlPlace,
    ControlsPatch,
    LeavingPatch,
    LeavingServer,
    Patch,
    QuarantinePatch,
    RosterEntry,
    RosterPatch,
    RulesPatch,
    SettingsPatch,
    Update,
    WholeView,
)
from .tier_settings import TierSettings, merge_settings


@dataclass(frozen=True)
class EntryView:
    """Rules, settings, roster, quarantines and leaving servers at one version. Immutable."""

    version: int = 0
    revision: int = 0
    rules: RuleList = field(default_factory=RuleList)
    settings: TierSettings = field(default_factory=TierSettings)
    roster: dict[str, RosterEntry] = field(default_factory=dict)
    """The registered entries by name, including those that are leaving."""
    quarantines: frozenset[str] = frozenset()
    """Fingerprints of quarantined request bodies."""
    leaving: frozenset[LeavingServer] = frozenset()
    """Servers that get no new requests."""
    controls: tuple[ControlPlace, ...] = ()
    """The control hosts to connect to."""

    def advanced(self, data: bytes) -> EntryView:
        """Return the view after an encoded ``Update`` or ``WholeView``.

        Data that does not go beyond the version of this view is ignored.

        Raises:
            AlderhatchError: ``bad_request`` if the update is not based on this version.
        """
        match UPDATES.decode(data):
            case WholeView() as whole:
                return self if whole.version <= self.version else _from_whole_view(whole)
            case Update() as update if update.version <= self.version:
                return self
            case Update() as update if update.base == self.version:
                return self._patched(update)
            case _:
                message = f"the update is not based on version {self.version}"
                raise AlderhatchError(Failure(ErrorKind.BAD_REQUEST, message, "base"))

    def _patched(self, update: Update) -> EntryView:
        view = replace(self, version=update.version, revision=max(self.revision, update.revision))
        for data in update.patches:
            view = replace(view, **_patched_fields(view, PATCHES.decode(data)))
        return view


def _patched_fields(view: EntryView, patch: Patch) -> dict[str, Any]:
    match patch:
        case RulesPatch(start, removed, inserted):
            rows = view.rules.to_plain()
            rows[start : start + removed] = inserted
            return {"rules": parse_rules(rows)}
        case SettingsPatch(settings):
            return {"settings": merge_settings(view.settings, settings)}
        case RosterPatch(changed, removed):
            roster = {name: row for name, row in view.roster.items() if name not in removed}
            return {"roster": roster | {row.name: row for row in changed}}
        case QuarantinePatch(added, lifted):
            return {"quarantines": view.quarantines.union(added).difference(lifted)}
        case LeavingPatch(added, returned):
            return {"leaving": view.leaving.union(added).difference(returned)}
        case ControlsPatch(controls):
            return {"controls": tuple(controls)}


def _from_whole_view(whole: WholeView) -> EntryView:
    return EntryView(
        whole.version,
        whole.revision,
        parse_rules(whole.rules),
        merge_settings(TierSettings(), whole.settings),
        {row.name: row for row in whole.roster},
        frozenset(whole.quarantines),
        frozenset(whole.leaving),
        tuple(whole.controls),
    )
