"""Reads JSON of which single values may be unreadable, as they come from another writer."""

from __future__ import annotations

import json
import re

import orjson

MAX_DEPTH = 32
"""Values that are nested deeper are replaced; what is read here needs far less."""
MAX_INTEGER_DIGITS = 18
TOKEN = re.compile(r'"(?:[^"\\]|\\.)*"|[\[\]{}]', re.DOTALL)
"""A text, or a bracket outside of texts."""


def load_readable(body: bytes) -> object:
    """Return the value of a JSON document, with replacements for what can't be read in it.

    Bytes that aren't UTF-8 become U+FFFD; numbers that are too long, constants such as NaN, and
    values that are nested too deeply become None. If one such value made the document unreadable,
    whoever wrote it would take away what others have written.

    Raises:
        ValueError: If it is no JSON even so.
    """
    try:
        return orjson.loads(body)
    except orjson.JSONDecodeError:
        return _load_text(without_deep_values(body.decode("utf-8", "replace")))


def _load_text(text: str) -> object:
    return json.loads(text, strict=False, parse_int=_integer, parse_constant=lambda name: None)


def _integer(digits: str) -> int | None:
    return int(digits) if len(digits) <= MAX_INTEGER_DIGITS else None


def without_deep_values(text: str) -> str:
    """Return JSON text with ``null`` in place of each list and object deeper than ``MAX_DEPTH``."""
    kept: list[str] = []
    kept_until = 0
    depth = 0
    for token in TOKEN.finditer(text):
        match text[token.start()]:
            case "[" | "{":
                if depth == MAX_DEPTH:
                    kept += [text[kept_until : token.start()], "null"]
                depth += 1
            case "]" | "}":
                depth -= 1
                if depth == MAX_DEPTH:
                    kept_until = token.end()
    if depth > MAX_DEPTH:
        raise ValueError("a list or object does not end")
    return "".join([*kept, text[kept_until:]])
