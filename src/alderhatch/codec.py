"""CBOR for the messages between our own processes.

A message is a ``NamedTuple``; on the wire it is the array ``[name, [field, ...]]``. Whatever comes
in is checked against the type's annotations before any code sees it.
"""

from __future__ import annotations

from typing import Any

import cbor2

from .errors import AlderhatchError, ErrorKind, Failure
from .message_check import MessageError, build_check

MAX_MESSAGE_BYTES = 4 * 1024 * 1024
"""Nothing larger is sent or accepted; larger things go in chunks."""


class Codec:
    """Turns the messages of one protocol into bytes and back."""

    def __init__(self, *message_types: type[Any]) -> None:
        self._checks = {one.__name__: build_check(one) for one in message_types}

    def encode(self, message: tuple[Any, ...]) -> bytes:
        """Return the bytes of one message.

        Raises:
            TypeError: If the message's type is not one of this codec's.
        """
        name = type(message).__name__
        if name not in self._checks:
            raise TypeError(f"not a message of this protocol: {name}")
        return cbor2.dumps([name, message])

    def decode(self, data: bytes) -> Any:
        """Return the checked message that the bytes stand for.

        Raises:
            AlderhatchError: With kind ``bad_request``, naming the field, if it is no such message.
        """
        try:
            raw = cbor2.loads(data)
        except (cbor2.CBORError, ValueError, RecursionError) as exc:
            raise _refused(f"not CBOR: {exc}") from exc
        if not (isinstance(raw, list) and len(raw) == 2 and isinstance(raw[0], str)):
            raise _refused("a message is an array of its name and its fields")
        check = self._checks.get(raw[0])
        if check is None:
            raise _refused(f"unknown message {raw[0][:40]!r}")
        try:
            return check(raw[1])
        except MessageError as exc:
            raise _refused(f"{raw[0]}: {exc.message}", f"{raw[0]}.{exc.field_path}") from exc


def _refused(message: str, field: str | None = None) -> AlderhatchError:
    return AlderhatchError(Failure(ErrorKind.BAD_REQUEST, message, field))
