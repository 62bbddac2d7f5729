"""The journal: term, vote and entries, stored as frames in a sequence of segment files.

Each write is one frame, and a frame is written only after the previous one is synced. A crash can
therefore damage at most the last frame, which was not acknowledged; it is truncated. A damaged
frame that is followed by an intact one had been synced and may have been acknowledged; it is an
error that keeps the process from starting.
"""

from __future__ import annotations

from dataclasses import dataclass

from ..core.raft.log_entry import HardState, LogEntry, SnapshotMeta
from ._frame import Frame, encode_frame, find_frame, read_frame
from ._records import (
    FORMAT,
    LogReset,
    Record,
    SegmentHead,
    decode_head,
    decode_records,
    encode_head,
    encode_records,
)
from .data_folder_error import DataFolderError
from .files import AppendFile, Files

PREFIX = "journal-"
SEGMENT_BYTES = 4 * 1024 * 1024
"""Size at which a new segment is started."""
ROLL_AT_SNAPSHOT_BYTES = 256 * 1024
"""Size from which a snapshot starts a new segment, so that the old one can be removed later."""


@dataclass(slots=True)
class _Segment:
    number: int
    size: int
    last_index: int = 0
    """Highest index of the entries in the segment; 0 if it has none."""

    @property
    def name(self) -> str:
        return segment_name(self.number)


def segment_name(number: int) -> str:
    """Return the file name of a segment."""
    return f"{PREFIX}{number:010d}"


class Journal:
    """The journal of one data folder."""

    def __init__(self, files: Files, member_id: str) -> None:
        """Read all segments.

        Args:
            files: Files of the data folder.
            member_id: Member that the journal must belong to.

        Raises:
            DataFolderError: If a segment is damaged, missing, or of another member or format.
        """
        self._files = files
        self._member_id = member_id
        self._segments: list[_Segment] = []
        self._file: AppendFile | None = None
        self._batch: list[Record] = []
        self.hard_state = HardState()
        """Term and vote after the last frame."""
        self.entries: list[LogEntry] = []
        """Entries that were read; the data folder clears them once it has loaded the log."""
        self.truncated_bytes = 0
        """Bytes of an incomplete write that were truncated."""
        self._load()

    @property
    def is_empty(self) -> bool:
        """Whether there is no segment yet."""
        return not self._segments

    # Reading

    def _load(self) -> None:
        names = [name for name in self._files.names() if name.startswith(PREFIX)]
        for position, name in enumerate(names):
            number = self._number_of(name)
            if self._segments and number != self._segments[-1].number + 1:
                missing = segment_name(self._segments[-1].number + 1)
                raise DataFolderError(missing, 0, "the segment is missing")
            self._load_segment(number, is_last=position == len(names) - 1)
        if self._segments:
            self._file = self._files.reopen(self._segments[-1].name)

    def _number_of(self, name: str) -> int:
        digits = name.removeprefix(PREFIX)
        if not digits.isdecimal() or segment_name(int(digits)) != name:
            raise DataFolderError(name, 0, "not a valid segment name")
        return int(digits)

    def _load_segment(self, number: int, is_last: bool) -> None:
        segment = _Segment(number, 0)
        data = self._files.read(segment.name)
        head = read_frame(data, number, 0)
        if head is None:
            self._discard_incomplete(segment, data, is_last)
            return
        self._apply_head(segment, head)
        offset = head.end
        while offset < len(data):
            frame = read_frame(data, number, offset)
            if frame is None:
                self._truncate_tail(segment, data, offset, is_last)
                break
            self._apply_frame(segment, frame, offset)
            offset = frame.end
        segment.size = offset
        self._segments.append(segment)

    def _discard_incomplete(self, segment: _Segment, data: bytes, is_last: bool) -> None:
        if not is_last or find_frame(data, segment.number, 1) is not None:
            raise DataFolderError(segment.name, 0, "the segment header is damaged")
        self._files.remove(segment.name)
        self._files.sync_folder()
        self.truncated_bytes += len(data)

    def _apply_head(self, segment: _Segment, frame: Frame) -> None:
        try:
            head: SegmentHead = decode_head(frame.payload, SegmentHead)
        except ValueError as exc:
            raise DataFolderError(segment.name, 0, str(exc)) from exc
        if head.member_id != self._member_id:
            reason = f"the segment belongs to {head.member_id}, the folder to {self._member_id}"
            raise DataFolderError(segment.name, 0, reason)
        self.hard_state = head.hard_state

    def _truncate_tail(self, segment: _Segment, data: bytes, offset: int, is_last: bool) -> None:
        if not is_last:
            raise DataFolderError(
                segment.name, offset, "damaged frame in a segment that is not the last"
            )
        intact_frame_offset = find_frame(data, segment.number, offset + 1)
        if intact_frame_offset is not None:
            reason = f"damaged frame, followed by an intact frame at byte {intact_frame_offset}"
            raise DataFolderError(segment.name, offset, reason)
        self._files.truncate(segment.name, offset)
        self.truncated_bytes += len(data) - offset

    def _apply_frame(self, segment: _Segment, frame: Frame, offset: int) -> None:
        try:
            records = decode_records(frame.payload)
        except ValueError as exc:
            raise DataFolderError(segment.name, offset, str(exc)) from exc
        for record in records:
            match record:
                case HardState():
                    self.hard_state = record
                case LogEntry():
                    self._apply_entry(segment, record, offset)
                case LogReset():
                    self.entries.clear()

    def _apply_entry(self, segment: _Segment, entry: LogEntry, offset: int) -> None:
        segment.last_index = max(segment.last_index, entry.index)
        if not self.entries:
            self.entries.append(entry)
            return
        position = entry.index - self.entries[0].index
        if position < 0 or position > len(self.entries):
            reason = f"entry {entry.index} can't follow entry {self.entries[-1].index}"
            raise DataFolderError(segment.name, offset, reason)
        del self.entries[position:]
        self.entries.append(entry)

    def entries_after(self, snapshot: SnapshotMeta | None) -> tuple[LogEntry, ...] | None:
        """Return the entries after a snapshot, or all entries if there is no snapshot.

        Returns:
            The entries; None if the snapshot replaces all of them but the journal has no record of
            that, because the process ended between the two writes.

        Raises:
            DataFolderError: If entries between the snapshot and the first entry are missing.
        """
        base = snapshot.index if snapshot else 0
        if not self.entries or self.entries[0].index == base + 1:
            return tuple(self.entries)
        first = self.entries[0].index
        if first > base:
            name = self._segments[0].name
            raise DataFolderError(name, 0, f"entries {base + 1} to {first - 1} are missing")
        if snapshot is None or self.entries[-1].index < base:
            return None
        if self.entries[base - first].term != snapshot.term:
            return None
        return tuple(self.entries[base - first + 1 :])

    # Writing

    def start(self, hard_state: HardState) -> None:
        """Create the first segment."""
        self.hard_state = hard_state
        self._start_segment(1)

    def add(self, *records: Record) -> None:
        """Add records to the next frame."""
        self._batch += records

    def sync(self) -> None:
        """Write the added records as one frame and wait until it is on disk.

        Raises:
            OSError: If the disk is full or failed.
        """
        if not self._batch or self._file is None:
            return
        segment = self._segments[-1]
        frame = encode_frame(encode_records(self._batch), segment.number, segment.size)
        self._file.write(frame)
        self._file.sync()
        segment.size += len(frame)
        for record in self._batch:
            match record:
                case HardState():
                    self.hard_state = record
                case LogEntry():
                    segment.last_index = max(segment.last_index, record.index)
        self._batch.clear()
        if segment.size >= SEGMENT_BYTES:
            self._start_segment(segment.number + 1)

    def remove_segments_before(self, index: int) -> None:
        """Remove the segments that only hold entries before an index.

        The entry at the index itself is kept: on the next start its term shows that the entries
        after it continue the log of the snapshot.
        """
        segment = self._segments[-1]
        if segment.size >= ROLL_AT_SNAPSHOT_BYTES:
            self._start_segment(segment.number + 1)
        removed = False
        while len(self._segments) > 1 and self._segments[0].last_index < index:
            self._files.remove(self._segments.pop(0).name)
            removed = True
        if removed:
            self._files.sync_folder()

    def _start_segment(self, number: int) -> None:
        if self._file is not None:
            self._file.close()
            self._file = None
        segment = _Segment(number, 0)
        head = SegmentHead(FORMAT, self._member_id, self.hard_state)
        frame = encode_frame(encode_head(head), number, 0)
        self._file = self._files.create(segment.name)
        self._file.write(frame)
        self._file.sync()
        self._files.sync_folder()
        segment.size = len(frame)
        self._segments.append(segment)

    def close(self) -> None:
        """Close the segment that is open for appending."""
        if self._file is not None:
            self._file.close()
            self._file = None
