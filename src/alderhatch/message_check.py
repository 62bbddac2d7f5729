"""Checks decoded messages against the annotations of their types.

A message is a ``NamedTuple`` and is received as an array. Only the types that messages use are
supported. Every process keeps the checks of all its messages in memory, so they are small closures.
"""

from __future__ import annotations

import types
from collections.abc import Callable
from enum import Enum
from math import inf
from typing import Any, TypeAlias, Union, get_args, get_origin, get_type_hints

MAX_NUMBER = 10**300
"""Limit of numbers in messages, apart from infinity; sums of some of them still fit a float."""

Check: TypeAlias = Callable[[Any], Any]
"""Converts a decoded value to the annotated type; raises ``MessageError`` if it does not match."""


class MessageError(Exception):
    """A value does not match the annotated type."""

    def __init__(self, message: str, field_path: str = "") -> None:
        super().__init__(message)
        self.message = message
        self.field_path = field_path
        """Dotted path of the field within the message."""

    def nested_in(self, name: str | int) -> MessageError:
        """Return the same error with a path that starts at the enclosing field."""
        field_path = f"{name}.{self.field_path}" if self.field_path else str(name)
        return MessageError(self.message, field_path)


_SCALAR_TYPES: dict[Any, tuple[type, ...]] = {
    int: (int,),
    float: (float,),
    str: (str,),
    bytes: (bytes,),
    bool: (bool,),
}


def build_check(annotation: Any) -> Check:
    """Build the check for a type.

    Raises:
        TypeError: If the type is not supported in messages.
    """
    if annotation is Any:
        return lambda value: value
    if annotation in _SCALAR_TYPES:
        return _scalar(annotation)
    if annotation in (None, types.NoneType):
        return _none
    origin = get_origin(annotation)
    if origin in (Union, types.UnionType):
        return _union([build_check(argument) for argument in get_args(annotation)])
    if origin is list:
        return _sequence(build_check(get_args(annotation)[0]), list)
    if origin is tuple and get_args(annotation)[1:] == (...,):
        return _sequence(build_check(get_args(annotation)[0]), tuple)
    if origin is dict:
        key, value = get_args(annotation)
        return _mapping(build_check(key), build_check(value))
    if isinstance(annotation, type) and issubclass(annotation, Enum):
        return _enum(annotation)
    if isinstance(annotation, type) and hasattr(annotation, "_fields"):
        return _named_tuple(annotation)
    raise TypeError(f"unsupported type in a message: {annotation!r}")


def _scalar(expected: type) -> Check:
    if expected in (int, float):
        return _number(expected)
    allowed = _SCALAR_TYPES[expected]

    def check(value: Any) -> Any:
        if not isinstance(value, allowed) or (isinstance(value, bool) and expected is not bool):
            raise MessageError(f"{expected.__name__} is wanted")
        return value

    return check


def _number(expected: type) -> Check:
    def check(value: Any) -> Any:
        if not isinstance(value, (int, float)) or isinstance(value, bool):
            raise MessageError(f"{expected.__name__} is wanted")
        if expected is int and not isinstance(value, int):
            raise MessageError(f"{expected.__name__} is wanted")
        # A NaN passes each comparison as false, and a longer integer overflows a float. Either
        # would fail only where it is used, maybe in what belongs to others.
        if not -MAX_NUMBER <= value <= MAX_NUMBER and value not in (inf, -inf):
            raise MessageError(f"{expected.__name__} is out of range")
        return value

    return check


def _none(value: Any) -> None:
    if value is not None:
        raise MessageError("nothing is wanted")


def _union(checks: list[Check]) -> Check:
    def check(value: Any) -> Any:
        error: MessageError | None = None
        for candidate in checks:
            try:
                return candidate(value)
            except MessageError as exc:
                # Report the error with the longest path: its type matched the most.
                if error is None or len(exc.field_path) > len(error.field_path):
                    error = exc
        raise error or MessageError("no type fits")

    return check


def _sequence(item: Check, container: type[Any]) -> Check:
    def check(value: Any) -> Any:
        if not isinstance(value, (list, tuple)):
            raise MessageError("an array is wanted")
        items = []
        for index, element in enumerate(value):
            try:
                items.append(item(element))
            except MessageError as exc:
                raise exc.nested_in(index) from exc
        return container(items)

    return check


def _mapping(key: Check, item: Check) -> Check:
    def check(value: Any) -> Any:
        if not isinstance(value, dict):
            raise MessageError("a map is wanted")
        return {key(name): item(element) for name, element in value.items()}

    return check


def _enum(expected: type[Enum]) -> Check:
    def check(value: Any) -> Any:
        try:
            return expected(value)
        except ValueError as exc:
            raise MessageError(f"no {expected.__name__}") from exc

    return check


def _named_tuple(expected: type[Any]) -> Check:
    hints = get_type_hints(expected)
    fields = [(name, build_check(hints[name])) for name in expected._fields]
    required_count = len(fields) - len(expected._field_defaults)

    def check(value: Any) -> Any:
        if not isinstance(value, (list, tuple)):
            raise MessageError("an array is wanted")
        if len(value) > len(fields):
            raise MessageError(f"at most {len(fields)} fields are wanted")
        if len(value) < required_count:
            raise MessageError("the field is missing", fields[len(value)][0])
        items = []
        for (name, field), element in zip(fields, value, strict=False):
            try:
                items.append(field(element))
            except MessageError as exc:
                raise exc.nested_in(name) from exc
        return expected(*items)

    return check
