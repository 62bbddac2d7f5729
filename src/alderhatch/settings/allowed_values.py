"""Describes the values that a key may have, from the JSON schema of its type."""

from __future__ import annotations

import difflib
from collections.abc import Sequence
from typing import Any

from .key_lines import KeyPath

_NAME_PATTERN = r"^[a-z0-9][a-z0-9._-]{0,62}$"
_TYPE_DESCRIPTIONS = {
    "boolean": "true or false",
    "integer": "a whole number",
    "number": "a number",
    "string": "a string",
    "null": "null",
}


class AllowedValues:
    """The values that a schema allows at each of its keys."""

    def __init__(self, schema: dict[str, Any]) -> None:
        self._schema = schema

    def describe(self, path: KeyPath) -> str:
        """Return the allowed values of a key, or an empty string if the schema has no such key."""
        nodes = [self._schema]
        for part in path:
            nodes = [child for node in nodes for child in self._children(node, part)]
        texts = dict.fromkeys(text for node in nodes if (text := self._describe_node(node)))
        return " or ".join(texts)

    def keys(self, path: KeyPath) -> list[str]:
        """Return the keys that a table may have, over all variants of the table."""
        return list(dict.fromkeys(name for variant in self.variants(path) for name in variant))

    def variants(self, path: KeyPath) -> list[list[str]]:
        """Return the keys of each variant of a table."""
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

    def _describe_node(self, node: dict[str, Any]) -> str:
        options = [option for option in self._resolve(node) if option.get("type") != "null"]
        return " or ".join(dict.fromkeys(self._describe_option(option) for option in options))

    def _describe_option(self, node: dict[str, Any]) -> str:
        if "enum" in node:
            return "one of " + ", ".join(str(value) for value in node["enum"])
        match node.get("type"):
            case "array":
                min_count = node.get("minItems", 0)
                min_items = f"minimum length {min_count}, " if min_count else ""
                max_items = f"maximum length {node['maxItems']}, " if "maxItems" in node else ""
                return (
                    f"a list, {min_items}{max_items}"
                    f"each item {self._describe_node(node.get('items', {})) or 'anything'}"
                )
            case "object":
                return "a table with the keys " + ", ".join(self._properties(node))
            case "integer" | "number" as kind:
                return " ".join([_TYPE_DESCRIPTIONS[kind], *_describe_bounds(node)])
            case "string":
                return _describe_string(node)
            case kind:
                return _TYPE_DESCRIPTIONS.get(str(kind), "")


def closest_match(key: str, known_keys: Sequence[str]) -> str | None:
    """Return the known key that is most similar to a mistyped one, or None if none is close."""
    matches = difflib.get_close_matches(key, known_keys, n=1)
    return matches[0] if matches else None


def _describe_bounds(node: dict[str, Any]) -> list[str]:
    bounds = []
    if "minimum" in node:
        bounds.append(f"from {node['minimum']:g}")
    if "exclusiveMinimum" in node:
        bounds.append(f"over {node['exclusiveMinimum']:g}")
    if "maximum" in node:
        bounds.append(f"to {node['maximum']:.15g}")
    return bounds


def _describe_string(node: dict[str, Any]) -> str:
    if node.get("pattern") == _NAME_PATTERN:
        return "1 to 63 characters of a-z, 0-9, '.', '_' and '-', starting with a letter or digit"
    match node.get("format"):
        case "ip":
            return "an IPv4 or IPv6 address"
        case "path":
            return "a path"
    if "maxLength" in node:
        return f"a string of {node.get('minLength', 0)} to {node['maxLength']} characters"
    return _TYPE_DESCRIPTIONS["string"]
