"""The single steps by which the members of the replicated log change."""

from __future__ import annotations

from typing import NamedTuple, TypeAlias


class AddMember(NamedTuple):
    """Let a replacement receive the log."""

    name: str
    address: str
    port: int


class PromoteMember(NamedTuple):
    """Give a replacement its vote."""

    name: str


class RemoveMember(NamedTuple):
    """Take out a host that departs or was replaced."""

    name: str


class HandOver(NamedTuple):
    """Let another host lead, because this one is to stop."""


Step: TypeAlias = AddMember | PromoteMember | RemoveMember | HandOver
