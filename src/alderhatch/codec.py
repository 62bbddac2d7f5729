"""CBOR encoding of the messages between alderhatch processes.

A message is a ``NamedTuple``; on the wire it is the array ``[name, [field, ...]]``. Decoded
messages are checked against the annotations of their type.
"""

from __future__ import annotations

from typing import Any

import cbor2

from .errors import AlderhatchError, ErrorKind, Failure
from .message_check import MessageError, build_check

MAX_MESSAGE_BYTES = 4 * 1024 * 1024
"""Size limit of a message; larger data is sent in chunks."""


class Codec:
    """Encodes and decodes the messages of one protocol."""

    def __init__(self, *message_types: type[Any]) -> None:
        self._checks = {
            message_type.__name__: build_check(message_type) for message_type in message_types
        }

    def encode(self, message: tuple[Any, ...]) -> bytes:
        """Encode a message.

        Raises:
            TypeError: If the type of the message does not belong to the protocol.
        """
        name = type(message).__name__
        if name not in self._checks:
            raise TypeError(f"message type {name} does not belong to this protocol")
        return cbor2.dumps([name, message])

    def decode(self, data: bytes) -> Any:
        """Decode and check a message.

        Raises:
            AlderhatchError: With kind ``bad_request`` and the invalid field, if the bytes are not a
                valid message of the protocol.
        """
        try:
            raw = cbor2.loads(data)
        except Exception as exc:
            # Tags, sizes and nesting of invalid CBOR raise errors of many types.
            raise _bad_request(f"not CBOR: {exc}") from exc
        if not (isinstance(raw, list) and len(raw) == 2 and isinstance(raw[0], str)):
            raise _bad_request("a message is an array of its name and its fields")
        check = self._checks.get(raw[0])
        if check is None:
            raise _bad_request(f"unknown message {raw[0][:40]!r}")
        try:
            return check(raw[1])
        except MessageError as exc:
            raise _bad_request(f"{raw[0]}: {exc.message}", f"{raw[0]}.{exc.field_path}") from exc


def _bad_request(message: str, field: str | None = None) -> AlderhatchError:
    return AlderhatchError(Failure(ErrorKind.BAD_REQUEST, message, field))
