"""Helpers that apply encoded log commands to a control state."""

from __future__ import annotations

from alderhatch.core.control.actions import ACTIONS
from alderhatch.core.control.operations import BATCHES, OPERATIONS, Batch, Change


def rule(name, **then):
    return {"name": name, "then": then}


def change(change_id, expected, action, who="anna", voters=(), down=()):
    encoded = ACTIONS.encode(action)
    return Change(change_id, expected, who, list(voters), list(down), encoded)


class Applier:
    """Applies batches of operations to a state and records the commands."""

    def __init__(self, state):
        self.state = state
        self.index = 0
        self.now = 1_000_000.0
        self.commands = []

    def apply(self, *operations):
        command = BATCHES.encode(Batch(self.now, [OPERATIONS.encode(one) for one in operations]))
        self.commands.append(command)
        self.index += 1
        return self.state.apply(self.index, command)

    def one(self, operation):
        return self.apply(operation)[0]
