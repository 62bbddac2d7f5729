"""Frame format of the files in the data folder: magic bytes, length and checksum, then payload."""

from __future__ import annotations

import struct
from typing import NamedTuple

from xxhash import xxh3_64_intdigest

_HEADER = struct.Struct("<4sIQ")
MAGIC = b"aLd\xa5"
"""Magic bytes at the start of each frame; used to find frames after a damaged one."""
HEADER_BYTES = _HEADER.size
MAX_PAYLOAD_BYTES = 64 * 1024 * 1024


class Frame(NamedTuple):
    """A complete frame with a valid checksum."""

    payload: bytes
    end: int
    """Offset of the first byte after the frame."""


def _checksum(payload: bytes, file_number: int, offset: int) -> int:
    # The seed contains the file number and the offset, so that neither a block that the disk wrote
    # to the wrong place nor a frame's bytes within the payload of another pass as a valid frame.
    seed = (file_number << 32) ^ offset ^ (len(payload) << 16)
    return xxh3_64_intdigest(payload, seed & 0xFFFF_FFFF_FFFF_FFFF)


def encode_frame(payload: bytes, file_number: int, offset: int) -> bytes:
    """Encode a frame for a given offset of a given file.

    Args:
        payload: Content of the frame; at most ``MAX_PAYLOAD_BYTES``.
        file_number: Number of the journal segment; 0 for other files.
        offset: Offset in the file at which the frame starts.
    """
    header = _HEADER.pack(MAGIC, len(payload), _checksum(payload, file_number, offset))
    return header + payload


def read_frame(data: bytes, file_number: int, offset: int) -> Frame | None:
    """Return the frame at an offset of a file's bytes, or None if there is no valid one."""
    start = offset + HEADER_BYTES
    if start > len(data):
        return None
    magic, length, checksum = _HEADER.unpack_from(data, offset)
    end = start + length
    if magic != MAGIC or length > MAX_PAYLOAD_BYTES or end > len(data):
        return None
    payload = data[start:end]
    if _checksum(payload, file_number, offset) != checksum:
        return None
    return Frame(payload, end)


def find_frame(data: bytes, file_number: int, offset: int) -> int | None:
    """Return the offset of the first valid frame at or after an offset, or None."""
    position = data.find(MAGIC, offset)
    while position >= 0:
        if read_frame(data, file_number, position) is not None:
            return position
        position = data.find(MAGIC, position + 1)
    return None
