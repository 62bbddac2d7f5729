"""The framing of everything in the data folder: length and checksum before the bytes."""

from __future__ import annotations

import struct
from typing import NamedTuple

from xxhash import xxh3_64_intdigest

_HEADER = struct.Struct("<4sIQ")
MARK = b"aLd\xa5"
"""What every frame starts with, so that frames behind a damaged one can be found."""
HEADER_BYTES = _HEADER.size
MAX_PAYLOAD_BYTES = 64 * 1024 * 1024


class Frame(NamedTuple):
    """A whole and undamaged frame."""

    payload: bytes
    end: int
    """The offset behind it."""


def _checksum(payload: bytes, file_number: int, offset: int) -> int:
    # File and offset belong to the checksum, so that neither a block that the disk put at the
    # wrong place nor a frame quoted within a command is taken for a frame.
    seed = (file_number << 32) ^ offset ^ (len(payload) << 16)
    return xxh3_64_intdigest(payload, seed & 0xFFFF_FFFF_FFFF_FFFF)


def encode_frame(payload: bytes, file_number: int, offset: int) -> bytes:
    """Return the bytes of a frame for one place in one file.

    Args:
        payload: What is framed; at most ``MAX_PAYLOAD_BYTES``.
        file_number: The file's number.
        offset: Where in the file the frame starts.
    """
    header = _HEADER.pack(MARK, len(payload), _checksum(payload, file_number, offset))
    return header + payload


def read_frame(data: bytes, file_number: int, offset: int) -> Frame | None:
    """Return the frame at an offset of a file's bytes, or None if there is no whole one."""
    start = offset + HEADER_BYTES
    if start > len(data):
        return None
    mark, length, checksum = _HEADER.unpack_from(data, offset)
    end = start + length
    if mark != MARK or length > MAX_PAYLOAD_BYTES or end > len(data):
        return None
    payload = data[start:end]
    if _checksum(payload, file_number, offset) != checksum:
        return None
    return Frame(payload, end)


def find_frame(data: bytes, file_number: int, offset: int) -> int | None:
    """Return the offset of the first whole frame at or behind an offset, or None."""
    at = data.find(MARK, offset)
    while at >= 0:
        if read_frame(data, file_number, at) is not None:
            return at
        at = data.find(MARK, at + 1)
    return None
