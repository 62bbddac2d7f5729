"""Checks decoded messages against the annotations of their types.

A message is a ``NamedTuple`` and comes in as an array. Only the types that messages are made of are
known here; every process holds the checks of all its messages, so they are kept small.
"""

from __future__ import annotations

import types
from collections.abc import Callable
from enum import Enum
from typing import Any, TypeAlias, Union, get_args, get_origin, get_type_hints

Check: TypeAlias = Callable[[Any], Any]
"""Takes a decoded value and returns it as the annotated type; raises ``MessageError``."""


class MessageError(Exception):
    """A value is not of the annotated type."""

    def __init__(self, message: str, field_path: str = "") -> None:
        super().__init__(message)
        self.message = message
        self.field_path = field_path
        """The dotted path of the field, from the message on."""

    def inside(self, name: str | int) -> MessageError:
        """Return the same error as seen from one level further out."""
        field_path = f"{name}.{self.field_path}" if self.field_path else str(name)
        return MessageError(self.message, field_path)


_PLAIN: dict[Any, tuple[type, ...]] = {
    int: (int,),
    float: (float, int),
    str: (str,),
    bytes: (bytes,),
    bool: (bool,),
}


def build_check(annotation: Any) -> Check:
    """Return the check for a type.

    Raises:
        TypeError: If messages can't be made of such a type.
    """
    if annotation is Any:
        return lambda value: value
    if annotation in _PLAIN:
        return _plain(annotation)
    if annotation in (None, types.NoneType):
        return _none
    origin = get_origin(annotation)
    if origin in (Union, types.UnionType):
        return _either([build_check(one) for one in get_args(annotation)])
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
    raise TypeError(f"no check for {annotation!r}")


def _plain(wanted: type) -> Check:
    allowed = _PLAIN[wanted]

    def check(value: Any) -> Any:
        if not isinstance(value, allowed) or (isinstance(value, bool) and wanted is not bool):
            raise MessageError(f"{wanted.__name__} is wanted")
        return value

    return check


def _none(value: Any) -> None:
    if value is not None:
        raise MessageError("nothing is wanted")


def _either(checks: list[Check]) -> Check:
    def check(value: Any) -> Any:
        error: MessageError | None = None
        for one in checks:
            try:
                return one(value)
            except MessageError as exc:
                # The error of the type that got furthest tells most.
                if error is None or len(exc.field_path) > len(error.field_path):
                    error = exc
        raise error or MessageError("no type fits")

    return check


def _sequence(item: Check, make: type[Any]) -> Check:
    def check(value: Any) -> Any:
        if not isinstance(value, (list, tuple)):
            raise MessageError("an array is wanted")
        items = []
        for index, one in enumerate(value):
            try:
                items.append(item(one))
            except MessageError as exc:
                raise exc.inside(index) from exc
        return make(items)

    return check


def _mapping(key: Check, item: Check) -> Check:
    def check(value: Any) -> Any:
        if not isinstance(value, dict):
            raise MessageError("a map is wanted")
        return {key(name): item(one) for name, one in value.items()}

    return check


def _enum(wanted: type[Enum]) -> Check:
    def check(value: Any) -> Any:
        try:
            return wanted(value)
        except ValueError as exc:
            raise MessageError(f"no {wanted.__name__}") from exc

    return check


def _named_tuple(wanted: type[Any]) -> Check:
    hints = get_type_hints(wanted)
    fields = [(name, build_check(hints[name])) for name in wanted._fields]
    needed = len(fields) - len(wanted._field_defaults)

    def check(value: Any) -> Any:
        if not isinstance(value, (list, tuple)):
            raise MessageError("an array is wanted")
        if len(value) > len(fields):
            raise MessageError(f"at most {len(fields)} fields are wanted")
        if len(value) < needed:
            raise MessageError("the field is missing", fields[len(value)][0])
        items = []
        for (name, field), one in zip(fields, value, strict=False):
            try:
                items.append(field(one))
            except MessageError as exc:
                raise exc.inside(name) from exc
        return wanted(*items)

    return check
