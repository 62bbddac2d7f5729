"""On which line of a TOML text each key stands.

``tomllib`` gives values without their places. Here the text is cut into its statements, the
shortest runs of lines that ``tomllib`` accepts by themselves, and each statement tells which keys
it sets. No TOML is parsed by hand.
"""

from __future__ import annotations

import tomllib
from collections.abc import Iterator
from typing import NamedTuple, TypeAlias

KeyPath: TypeAlias = tuple[str | int, ...]
"""Names of tables and keys and, within lists, positions counted from 0."""

MAX_STATEMENT_LINES = 400
"""A longer statement is taken line by line, so that a damaged text costs no quadratic time."""


class _Statement(NamedTuple):
    line: int
    """The statement's first line, counted from 1."""
    text: str
    parsed: dict[str, object]


class KeyLines:
    """The lines of a text's keys."""

    def __init__(self, text: str) -> None:
        self._lines: dict[KeyPath, int] = {}
        self._counts: dict[KeyPath, int] = {}
        prefix: KeyPath = ()
        for statement in _statements(text):
            if statement.text.lstrip().startswith("["):
                prefix = self._open_table(statement)
            else:
                self._add(prefix, statement.parsed, statement)

    def find(self, path: KeyPath) -> int:
        """Return the line of a key, or of the nearest table round it, or 0 if there is neither."""
        for length in range(len(path), 0, -1):
            line = self._lines.get(path[:length])
            if line is not None:
                return line
        return 0

    def _open_table(self, statement: _Statement) -> KeyPath:
        path: KeyPath = ()
        node: object = statement.parsed
        while isinstance(node, dict) and node:
            name, node = next(iter(node.items()))
            path = (*path, name)
            self._lines.setdefault(path, statement.line)
            if isinstance(node, list):
                path = (*path, self._next_position(path))
                node = node[0]
            elif path in self._counts:
                path = (*path, self._counts[path] - 1)
        self._lines.setdefault(path, statement.line)
        return path

    def _next_position(self, path: KeyPath) -> int:
        position = self._counts.get(path, 0)
        self._counts[path] = position + 1
        return position

    def _add(self, prefix: KeyPath, node: object, statement: _Statement) -> None:
        if isinstance(node, dict):
            for name, child in node.items():
                path = (*prefix, name)
                self._lines.setdefault(path, statement.line)
                self._add(path, child, statement)
        elif isinstance(node, list):
            starts = _element_lines(statement, len(node))
            for position, child in enumerate(node):
                path = (*prefix, position)
                self._lines.setdefault(path, starts[position])
                self._add(path, child, statement._replace(line=starts[position]))


def _statements(text: str) -> Iterator[_Statement]:
    lines = text.splitlines()
    start = 0
    while start < len(lines):
        for end in range(start + 1, min(start + MAX_STATEMENT_LINES, len(lines)) + 1):
            chunk = "\n".join(lines[start:end])
            try:
                parsed = tomllib.loads(chunk)
            except tomllib.TOMLDecodeError:
                continue
            yield _Statement(start + 1, chunk, parsed)
            start = end
            break
        else:
            start += 1


def _element_lines(statement: _Statement, count: int) -> list[int]:
    """Return the line on which each element of a statement's list ends, at best knowledge."""
    found: list[int] = []
    lines = statement.text.splitlines()
    for offset in range(len(lines)):
        try:
            parsed = tomllib.loads("\n".join(lines[: offset + 1]) + "\n]")
        except tomllib.TOMLDecodeError:
            continue
        value = next(iter(parsed.values()), None)
        if isinstance(value, list):
            found += [statement.line + offset] * (min(len(value), count) - len(found))
    return found + [statement.line] * (count - len(found))
