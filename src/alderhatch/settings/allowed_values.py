"""Says in a few words what may stand at a key, from the JSON schema of its type."""

from __future__ import annotations

import difflib
from collections.abc import Sequence
from typing import Any

from .key_lines import KeyPath

_NAME_PATTERN = r"^[a-z0-9][a-z0-9._-]{0,62}$"
_PLAIN_TYPES = {
    "boolean": "true or false",
    "integer": "a whole number",
    "number": "a number",
    "string": "text",
    "null": "nothing",
}


class AllowedValues:
    """What a schema allows at each of its keys."""

    def __init__(self, schema: dict[str, Any]) -> None:
        self._schema = schema

    def describe(self, path: KeyPath) -> str:
        """Return what may stand at a key, or an empty text where the schema has no such key."""
        nodes = [self._schema]
        for part in path:
            nodes = [child for node in nodes for child in self._children(node, part)]
        texts = dict.fromkeys(text for node in nodes if (text := self._words(node)))
        return " or ".join(texts)

    def keys(self, path: KeyPath) -> list[str]:
        """Return the keys that a table may have, over all forms that it can take."""
        return list(dict.fromkeys(name for form in self.forms(path) for name in form))

    def forms(self, path: KeyPath) -> list[list[str]]:
        """Return the keys of each form that a table can take."""
        nodes = [self._schema]
        for part in path:
            nodes = [child for node in nodes for child in self._children(node, part)]
        options = [option for node in nodes for option in self._resolve(node)]
        return [list(option["properties"]) for option in options if "properties" in option]

    def _resolve(self, node: dict[str, Any]) -> list[dict[str, Any]]:
        if "$ref" in node:
            name = node["$ref"].rsplit("/", 1)[-1]
            return self._resolve(self._schema["$defs"][name])
        if "anyOf" in node:
            return [found for option in node["anyOf"] for found in self._resolve(option)]
        return [node]

    def _properties(self, node: dict[str, Any]) -> dict[str, Any]:
        found: dict[str, Any] = {}
        for option in self._resolve(node):
            found.update(option.get("properties", {}))
        return found

    def _children(self, node: dict[str, Any], part: str | int) -> list[dict[str, Any]]:
        found: list[dict[str, Any]] = []
        for option in self._resolve(node):
            child = option.get("properties", {}).get(part)
            if isinstance(part, int):
                child = option.get("items")
            if isinstance(child, dict):
                found.append(child)
        return found

    def _words(self, node: dict[str, Any]) -> str:
        options = [option for option in self._resolve(node) if option.get("type") != "null"]
        return " or ".join(dict.fromkeys(self._option_words(option) for option in options))

    def _option_words(self, node: dict[str, Any]) -> str:
        if "enum" in node:
            return "one of " + ", ".join(str(value) for value in node["enum"])
        match node.get("type"):
            case "array":
                least = node.get("minItems", 0)
                few = f"at least {least} of them, " if least else ""
                most = f"at most {node['maxItems']}, " if "maxItems" in node else ""
                return f"a list, {few}{most}each {self._words(node.get('items', {})) or 'anything'}"
            case "object":
                return "a table with the keys " + ", ".join(self._properties(node))
            case "integer" | "number" as kind:
                return " ".join([_PLAIN_TYPES[kind], *_bounds(node)])
            case "string":
                return _text_words(node)
            case kind:
                return _PLAIN_TYPES.get(str(kind), "")


def nearest(word: str, known: Sequence[str]) -> str | None:
    """Return the known word that a mistyped one most likely stands for, if any is close."""
    close = difflib.get_close_matches(word, known, n=1)
    return close[0] if close else None


def _bounds(node: dict[str, Any]) -> list[str]:
    words = []
    if "minimum" in node:
        words.append(f"from {node['minimum']:g}")
    if "exclusiveMinimum" in node:
        words.append(f"over {node['exclusiveMinimum']:g}")
    if "maximum" in node:
        words.append(f"to {node['maximum']:.15g}")
    return words


def _text_words(node: dict[str, Any]) -> str:
    if node.get("pattern") == _NAME_PATTERN:
        return "1 to 63 of a-z, 0-9, '.', '_' and '-', starting with a letter or digit"
    match node.get("format"):
        case "ip":
            return "an IPv4 or IPv6 address"
        case "path":
            return "a path"
    if "maxLength" in node:
        return f"text of {node.get('minLength', 0)} to {node['maxLength']} characters"
    return _PLAIN_TYPES["string"]
