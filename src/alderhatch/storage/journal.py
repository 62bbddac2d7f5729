"""The journal: term, vote and entries, in segments of frames.

Each write is one frame, and the next one is begun only after the last is synced. So a crash can
spoil at most the last frame, which nobody was told about; it is cut off. A bad frame with a whole
one behind it had been synced, and may have been acknowledged; it stops the process.
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
"""A segment that has grown to this size is followed by a new one."""
ROLL_AT_SNAPSHOT_BYTES = 256 * 1024
"""A segment of this size is followed by a new one when a snapshot is taken, so that it can go."""


@dataclass(slots=True)
class _Segment:
    number: int
    size: int
    last_index: int = 0
    """The highest index of an entry in it; 0 without any."""

    @property
    def name(self) -> str:
        return segment_name(self.number)


def segment_name(number: int) -> str:
    """Return the file name of a segment."""
    return f"{PREFIX}{number:010d}"


class Journal:
    """The segments of one data folder."""

    def __init__(self, files: Files, member_id: str) -> None:
        """Read all segments.

        Args:
            files: The data folder.
            member_id: Whose journal this has to be.

        Raises:
            DataFolderError: If a segment is damaged, missing, foreign or of another format.
        """
        self._files = files
        self._member_id = member_id
        self._segments: list[_Segment] = []
        self._file: AppendFile | None = None
        self._batch: list[Record] = []
        self.hard_state = HardState()
        """Term and vote as of the last frame."""
        self.entries: list[LogEntry] = []
        """The entries read; emptied once they were taken over."""
        self.truncated_bytes = 0
        """How many bytes of an unfinished write were cut off."""
        self._load()

    @property
    def is_empty(self) -> bool:
        """Whether there is no segment yet."""
        return not self._segments

    # Reading

    def _load(self) -> None:
        names = [name for name in self._files.names() if name.startswith(PREFIX)]
        for place, name in enumerate(names):
            number = self._number_of(name)
            if self._segments and number != self._segments[-1].number + 1:
                missing = segment_name(self._segments[-1].number + 1)
                raise DataFolderError(missing, 0, "the segment is missing")
            self._load_segment(number, is_last=place == len(names) - 1)
        if self._segments:
            self._file = self._files.reopen(self._segments[-1].name)

    def _number_of(self, name: str) -> int:
        digits = name.removeprefix(PREFIX)
        if not digits.isdecimal() or segment_name(int(digits)) != name:
            raise DataFolderError(name, 0, "not the name of a segment")
        return int(digits)

    def _load_segment(self, number: int, is_last: bool) -> None:
        segment = _Segment(number, 0)
        data = self._files.read(segment.name)
        head = read_frame(data, number, 0)
        if head is None:
            self._drop_unfinished(segment, data, is_last)
            return
        self._take_head(segment, head)
        offset = head.end
        while offset < len(data):
            frame = read_frame(data, number, offset)
            if frame is None:
                self._cut_tail(segment, data, offset, is_last)
                break
            self._take_frame(segment, frame, offset)
            offset = frame.end
        segment.size = offset
        self._segments.append(segment)

    def _drop_unfinished(self, segment: _Segment, data: bytes, is_last: bool) -> None:
        if not is_last or find_frame(data, segment.number, 1) is not None:
            raise DataFolderError(segment.name, 0, "the head of the segment is damaged")
        self._files.remove(segment.name)
        self._files.sync_folder()
        self.truncated_bytes += len(data)

    def _take_head(self, segment: _Segment, frame: Frame) -> None:
        try:
            head: SegmentHead = decode_head(frame.payload, SegmentHead)
        except ValueError as exc:
            raise DataFolderError(segment.name, 0, str(exc)) from exc
        if head.member_id != self._member_id:
            why = f"the segment belongs to {head.member_id}, the folder to {self._member_id}"
            raise DataFolderError(segment.name, 0, why)
        self.hard_state = head.hard_state

    def _cut_tail(self, segment: _Segment, data: bytes, offset: int, is_last: bool) -> None:
        if not is_last:
            raise DataFolderError(segment.name, offset, "a frame is damaged in an older segment")
        behind = find_frame(data, segment.number, offset + 1)
        if behind is not None:
            why = f"a frame is damaged, with a whole one behind it at byte {behind}"
            raise DataFolderError(segment.name, offset, why)
        self._files.truncate(segment.name, offset)
        self.truncated_bytes += len(data) - offset

    def _take_frame(self, segment: _Segment, frame: Frame, offset: int) -> None:
        try:
            records = decode_records(frame.payload)
        except ValueError as exc:
            raise DataFolderError(segment.name, offset, str(exc)) from exc
        for record in records:
            match record:
                case HardState():
                    self.hard_state = record
                case LogEntry():
                    self._take_entry(segment, record, offset)
                case LogReset():
                    self.entries.clear()

    def _take_entry(self, segment: _Segment, entry: LogEntry, offset: int) -> None:
        segment.last_index = max(segment.last_index, entry.index)
        if not self.entries:
            self.entries.append(entry)
            return
        place = entry.index - self.entries[0].index
        if place < 0 or place > len(self.entries):
            why = f"entry {entry.index} follows on {self.entries[-1].index}"
            raise DataFolderError(segment.name, offset, why)
        del self.entries[place:]
        self.entries.append(entry)

    def entries_behind(self, snapshot: SnapshotMeta | None) -> tuple[LogEntry, ...] | None:
        """Return the entries that follow on a snapshot, or on nothing.

        Returns:
            The entries; None if the snapshot replaced them all, but the journal doesn't say so
            yet because the process was stopped in between.

        Raises:
            DataFolderError: If entries are missing in between.
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

    def begin(self, hard_state: HardState) -> None:
        """Begin the first segment."""
        self.hard_state = hard_state
        self._begin_segment(1)

    def add(self, *records: Record) -> None:
        """Put records into the next write."""
        self._batch += records

    def sync(self) -> None:
        """Write what was added as one frame and return once it is on disk.

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
            self._begin_segment(segment.number + 1)

    def drop_before(self, index: int) -> None:
        """Remove the segments with nothing but entries before an index.

        The entry at the index itself stays: its term shows on the next start that the entries
        behind it follow on the snapshot.
        """
        segment = self._segments[-1]
        if segment.size >= ROLL_AT_SNAPSHOT_BYTES:
            self._begin_segment(segment.number + 1)
        removed = False
        while len(self._segments) > 1 and self._segments[0].last_index < index:
            self._files.remove(self._segments.pop(0).name)
            removed = True
        if removed:
            self._files.sync_folder()

    def _begin_segment(self, number: int) -> None:
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
        """Close the open segment."""
        if self._file is not None:
            self._file.close()
            self._file = None
