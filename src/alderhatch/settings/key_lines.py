"""Finds the line of each key in a TOML document.

``tomllib`` returns values without line numbers. This module splits the document into statements,
the shortest runs of lines that ``tomllib`` parses by themselves, and records the keys that each
statement sets. There is no separate TOML parser.
"""

from __future__ import annotations

import tomllib
from collections.abc import Iterator
from typing import NamedTuple, TypeAlias

KeyPath: TypeAlias = tuple[str | int, ...]
"""Names of tables and keys, and positions in lists, counted from 0."""

MAX_STATEMENT_LINES = 400
"""A longer statement is skipped line by line, to avoid quadratic time in a malformed file."""


class _Statement(NamedTuple):
    line: int
    """The first line of the statement, counted from 1."""
    text: str
    parsed: dict[str, object]


class KeyLines:
    """The line of each key in a document."""

    def __init__(self, text: str) -> None:
        self._lines: dict[KeyPath, int] = {}
        self._array_lengths: dict[KeyPath, int] = {}
        prefix: KeyPath = ()
        for statement in _split_statements(text):
            if statement.text.lstrip().startswith("["):
                prefix = self._open_table(statement)
            else:
                self._add_keys(prefix, statement.parsed, statement)

    def find(self, path: KeyPath) -> int:
        """Return the line of a key, or of the innermost enclosing table, or 0 if neither exists."""
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
                path = (*path, self._append_element(path))
                node = node[0]
            elif path in self._array_lengths:
                path = (*path, self._array_lengths[path] - 1)
        self._lines.setdefault(path, statement.line)
        return path

    def _append_element(self, path: KeyPath) -> int:
        position = self._array_lengths.get(path, 0)
        self._array_lengths[path] = position + 1
        return position

    def _add_keys(self, prefix: KeyPath, node: object, statement: _Statement) -> None:
        if isinstance(node, dict):
            for name, child in node.items():
                path = (*prefix, name)
                self._lines.setdefault(path, statement.line)
                self._add_keys(path, child, statement)
        elif isinstance(node, list):
            element_lines = _element_lines(statement, len(node))
            for position, child in enumerate(node):
                path = (*prefix, position)
                self._lines.setdefault(path, element_lines[position])
                self._add_keys(path, child, statement._replace(line=element_lines[position]))


def _split_statements(text: str) -> Iterator[_Statement]:
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
    """Return the line on which each element of a list ends, or the first line if unknown."""
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
