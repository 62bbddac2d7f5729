from __future__ import annotations

import errno
import tempfile
from pathlib import Path

from behave import given, then, when
from xxhash import xxh3_128_hexdigest

from alderhatch.core.raft.log_entry import EntryKind, HardState, LogEntry, SnapshotMeta
from alderhatch.core.raft.membership import Member, Membership
from alderhatch.storage import journal as journal_module
from alderhatch.storage._frame import encode_frame, read_frame
from alderhatch.storage._records import Identity, decode_head, encode_head
from alderhatch.storage.data_folder import DataFolder, LogWrite
from alderhatch.storage.data_folder_error import DataFolderError
from alderhatch.storage.files import DiskFiles
from features.support.faulty_files import CrashError, FaultyFiles

NAME = "control-1"
MEMBERSHIP = Membership((Member("control-1.x", NAME, "127.0.0.1", 1),))
SEGMENT_BYTES = 600


def _entry(index, term=1, text=b"command"):
    return LogEntry(index, term, EntryKind.COMMAND, text + b" %d" % index)


def _small_segments(context):
    saved = journal_module.SEGMENT_BYTES, journal_module.ROLL_AT_SNAPSHOT_BYTES
    journal_module.SEGMENT_BYTES = SEGMENT_BYTES
    journal_module.ROLL_AT_SNAPSHOT_BYTES = 200

    def restore():
        journal_module.SEGMENT_BYTES, journal_module.ROLL_AT_SNAPSHOT_BYTES = saved

    context.add_cleanup(restore)


class _Acknowledged:
    """The data that a folder has acknowledged, and the data of the write in progress."""

    def __init__(self):
        self.hard_state = HardState()
        self.next_hard_state = HardState()
        self.entries = {}
        self.next_entries = {}
        self.snapshot_index = 0
        self.cluster_id = ""


def _write(folder, acknowledged, hard_state, entries):
    acknowledged.next_hard_state = hard_state
    acknowledged.next_entries = dict(acknowledged.entries)
    for entry in entries:
        for index in [one for one in acknowledged.next_entries if one >= entry.index]:
            del acknowledged.next_entries[index]
        acknowledged.next_entries[entry.index] = entry
    folder.write(LogWrite(hard_state, tuple(entries)))
    acknowledged.hard_state, acknowledged.entries = hard_state, dict(acknowledged.next_entries)


def _workload(files, acknowledged):
    """Use the folder as a host does: entries, votes, snapshots, an installed snapshot."""
    folder = DataFolder(files, NAME)
    folder.join("cluster")
    acknowledged.cluster_id = "cluster"
    for index in range(1, 9):
        _write(folder, acknowledged, HardState(1, "a"), [_entry(index)])
    folder.save_snapshot(5, 1, MEMBERSHIP, b"state 5")
    acknowledged.snapshot_index = 5
    _write(folder, acknowledged, HardState(2, "b"), [_entry(7, 2), _entry(8, 2), _entry(9, 2)])
    for index in range(10, 16):
        _write(folder, acknowledged, HardState(3, ""), [_entry(index, 3)])
    folder.save_snapshot(12, 3, MEMBERSHIP, b"state 12")
    acknowledged.snapshot_index = 12
    state = b"state 30"
    meta = SnapshotMeta(30, 4, MEMBERSHIP, len(state), xxh3_128_hexdigest(state))
    folder.store_chunk(0, state[:4])
    folder.store_chunk(4, state[4:])
    acknowledged.next_entries = {}
    folder.install_snapshot(meta)
    acknowledged.entries, acknowledged.snapshot_index = {}, 30
    _write(folder, acknowledged, HardState(5, "c"), [_entry(31, 5), _entry(32, 5)])
    folder.close()


def _check(folder, acknowledged):
    states = (acknowledged.hard_state, acknowledged.next_hard_state)
    assert folder.hard_state in states, (folder.hard_state, states)
    assert folder.cluster_id == "cluster" or not acknowledged.cluster_id
    log = folder.log
    snapshot_index = log.snapshot.index if log.snapshot else 0
    assert snapshot_index >= acknowledged.snapshot_index
    if log.snapshot:
        text = folder.read_snapshot(log.snapshot)
        assert text == b"state %d" % snapshot_index, text
    found = {
        entry.index: entry for entry in log.entries_between(log.base_index + 1, log.last_index)
    }
    for entries in (acknowledged.entries, acknowledged.next_entries):
        expected = {index: one for index, one in entries.items() if index > snapshot_index}
        if found == expected:
            return
    raise AssertionError(
        f"{sorted(found)} after {snapshot_index}, not {sorted(acknowledged.entries)}"
    )


def _crash_and_reopen(context, outcomes, crash_recovery):
    _small_segments(context)
    files = FaultyFiles()
    _workload(files, _Acknowledged())
    total = files.operations
    context.storage_total = total
    context.storage_recoveries = 0
    for crash_at in range(1, total + 1):
        for seed in range(outcomes):
            files = FaultyFiles(seed * 1000 + crash_at)
            acknowledged = _Acknowledged()
            files.crash_at = crash_at
            try:
                _workload(files, acknowledged)
                raise AssertionError("the workload ended without a crash")
            except CrashError:
                files.crash()
            if crash_recovery:
                _crash_recovery(files, seed)
            folder = DataFolder(files, NAME)
            _check(folder, acknowledged)
            folder.close()
            context.storage_recoveries += 1


def _crash_recovery(files, seed):
    for step in range(1 + seed, 12, 3):
        before = files.operations
        files.crash_at = before + step
        try:
            DataFolder(files, NAME).close()
        except CrashError:
            files.crash()
        files.crash_at = -1
        files.unlock()


@when("the storage is killed at each of its file operations, with {count:d} outcomes each")
def step_kill_everywhere(context, count):
    _crash_and_reopen(context, count, crash_recovery=False)


@when("the storage is killed at each file operation and again at each of the recovery")
def step_kill_twice(context):
    _crash_and_reopen(context, 3, crash_recovery=True)


@then("after each restart the storage has all acknowledged data")
def step_all_recovered(context):
    assert context.storage_total > 60, context.storage_total
    assert context.storage_recoveries >= 3 * context.storage_total


@then("the storage never has data that was not written")
def step_nothing_else(context):
    # The check after each recovery allows the acknowledged state or the one being written.
    assert context.storage_recoveries == 6 * context.storage_total


def _create_folder(files, cluster="cluster", name=NAME):
    folder = DataFolder(files, name)
    folder.join(cluster)
    for index in range(1, 41):
        folder.write(LogWrite(HardState(3, "a"), (_entry(index),)))
        if index == 20:
            folder.save_snapshot(20, 1, MEMBERSHIP, b"state of 20")
    folder.close()


@given("a storage folder with 40 synced entries in several segments and a snapshot")
def step_filled(context):
    _small_segments(context)
    context.files = FaultyFiles()
    context.storage_name = NAME
    _create_folder(context.files)
    assert len(_journals(context.files)) >= 3


def _journals(files):
    return [name for name in files.names() if name.startswith("journal-")]


def _snapshot(files):
    return next(name for name in files.names() if name.startswith("snapshot-"))


def _flip_bit(files, name, offset):
    data = bytearray(files.data(name))
    data[offset] ^= 0x10
    files.replace(name, bytes(data))


def _second_frame(files, name):
    number = int(name.removeprefix("journal-"))
    return read_frame(files.data(name), number, 0).end


@when("a byte of an early frame is flipped in the storage folder")
def step_flip_early(context):
    name = _journals(context.files)[-1]
    _flip_bit(context.files, name, _second_frame(context.files, name) + 20)


@when("a byte of an older segment is flipped in the storage folder")
def step_flip_older(context):
    name = _journals(context.files)[-2]
    _flip_bit(context.files, name, len(context.files.data(name)) - 1)


@when("the header of the last segment is flipped in the storage folder")
def step_flip_head(context):
    _flip_bit(context.files, _journals(context.files)[-1], 18)


@when("a frame is moved within the last segment in the storage folder")
def step_move(context):
    folder = DataFolder(context.files, NAME)
    last = _journals(context.files)[-1]
    index = 41
    while _journals(context.files)[-1] == last:
        folder.write(LogWrite(None, (_entry(index),)))
        index += 1
    for later_index in range(index, index + 3):
        folder.write(LogWrite(None, (_entry(later_index),)))
    folder.close()
    name = _journals(context.files)[-1]
    data = context.files.data(name)
    start = _second_frame(context.files, name)
    number = int(name.removeprefix("journal-"))
    end = read_frame(data, number, start).end
    later_end = read_frame(data, number, end).end
    swapped = data[:start] + data[end:later_end] + data[start:end] + data[later_end:]
    context.files.replace(name, swapped)


@when("a middle segment is deleted in the storage folder")
def step_delete_middle(context):
    context.files.delete(_journals(context.files)[1])


@when("all segments are deleted in the storage folder")
def step_delete_all(context):
    for name in _journals(context.files):
        context.files.delete(name)


@when("the snapshot is deleted in the storage folder")
def step_delete_snapshot(context):
    context.files.delete(_snapshot(context.files))


@when("a byte of the snapshot is flipped in the storage folder")
def step_flip_snapshot(context):
    name = _snapshot(context.files)
    _flip_bit(context.files, name, len(context.files.data(name)) - 3)


@when("the header of the snapshot is flipped in the storage folder")
def step_flip_snapshot_head(context):
    _flip_bit(context.files, _snapshot(context.files), 25)


@when("the snapshot comes from another cluster in the storage folder")
def step_foreign_snapshot(context):
    other = FaultyFiles()
    _create_folder(other, cluster="another")
    context.files.replace(_snapshot(context.files), other.data(_snapshot(other)))


@when("a segment comes from another folder in the storage folder")
def step_foreign_segment(context):
    other = FaultyFiles()
    _create_folder(other)
    name = _journals(context.files)[-1]
    context.files.replace(name, other.data(name))


@when("the identity is deleted in the storage folder")
def step_delete_identity(context):
    context.files.delete("identity")


@when("the identity is flipped in the storage folder")
def step_flip_identity(context):
    _flip_bit(context.files, "identity", 30)


@when("the identity is of a later format in the storage folder")
def step_later_format(context):
    frame = read_frame(context.files.data("identity"), 0, 0)
    identity = decode_head(frame.payload, Identity)._replace(format=2)
    context.files.replace("identity", encode_frame(encode_head(identity), 0, 0))


@when("the folder is opened for another host in the storage folder")
def step_other_host(context):
    context.storage_name = "control-2"


@when("the folder is opened twice in the storage folder")
def step_twice(context):
    DataFolder(context.files, NAME)


@then('the storage refuses to open, naming "{file}" and saying "{why}"')
def step_refuses(context, file, why):
    before = {name: context.files.data(name) for name in context.files.names()}
    try:
        DataFolder(context.files, context.storage_name)
    except DataFolderError as exc:
        assert exc.name.startswith(file), exc
        assert why in str(exc) and f"at byte {exc.offset}" in str(exc), exc
    else:
        raise AssertionError("the storage opened a damaged folder")
    # A refused folder is left unchanged, so that it can be examined.
    assert before == {name: context.files.data(name) for name in context.files.names()}


def _append(context, data):
    name = _journals(context.files)[-1]
    context.files.replace(name, context.files.data(name) + data)


@when("half a frame at the end of the storage journal")
def step_half_frame(context):
    name = _journals(context.files)[-1]
    size = len(context.files.data(name))
    frame = encode_frame(b"x" * 100, int(name.removeprefix("journal-")), size)
    _append(context, frame[:60])


@when("a frame full of zeros at the end of the storage journal")
def step_zeros(context):
    _append(context, bytes(100))


@when("an overlong frame at the end of the storage journal")
def step_overlong_frame(context):
    _append(context, b"aLd\xa5\xff\xff\xff\x01" + bytes(20))


@when("an empty new segment at the end of the storage journal")
def step_empty_segment(context):
    last = int(_journals(context.files)[-1].removeprefix("journal-"))
    context.files.replace(journal_module.segment_name(last + 1), b"aLd\xa5")


def _open_with_40_entries(files):
    folder = DataFolder(files, NAME)
    log = folder.log
    assert (log.base_index, log.last_index) == (20, 40)
    assert folder.hard_state == HardState(3, "a")
    return folder


@then("the storage opens with 40 entries and has truncated bytes")
def step_truncated(context):
    folder = _open_with_40_entries(context.files)
    assert folder.truncated_bytes > 0
    folder.write(LogWrite(None, (_entry(41),)))
    folder.close()
    reopened = DataFolder(context.files, NAME)
    assert reopened.log.last_index == 41 and reopened.truncated_bytes == 0


@when('the storage gets "{error}" from each "{operation}" from now on')
def step_disk_errors(context, error, operation):
    context.folder = DataFolder(context.files, NAME)
    context.files.error = getattr(errno, error)
    context.files.fail_kind = operation
    context.files.fail_at = 0


def _run_operation(folder, what):
    match what:
        case "new entries":
            folder.write(LogWrite(None, (_entry(41),)))
        case "a vote":
            folder.write(LogWrite(HardState(4, "b"), ()))
        case "a snapshot":
            folder.save_snapshot(30, 1, MEMBERSHIP, b"state of 30")
        case "a received chunk":
            folder.store_chunk(0, b"part")
        case _:
            raise AssertionError(what)


def _expect_error(folder, what, number):
    try:
        _run_operation(folder, what)
    except OSError as exc:
        assert exc.errno == number
        return
    raise AssertionError("expected an OSError")


@then("the storage raises the error for {what}")
def step_raises(context, what):
    _expect_error(context.folder, what, context.files.error)


@then("the storage writes nothing more after the disk has recovered")
def step_no_more(context):
    context.files.fail_at = -1
    before = context.files.operations
    for what in ("new entries", "a vote", "a snapshot", "a received chunk"):
        _expect_error(context.folder, what, context.files.error)
    assert context.files.operations == before


@then("the reopened storage has 40 entries")
def step_reopened(context):
    context.folder.close()
    context.files.crash()
    folder = DataFolder(context.files, NAME)
    # The failed write was not acknowledged; it may be on disk or not.
    assert folder.log.last_index in (40, 41)
    assert folder.hard_state in (HardState(3, "a"), HardState(4, "b"))


@when("the storage receives a snapshot with a wrong checksum")
def step_corrupted_snapshot(context):
    folder = DataFolder(context.files, NAME)
    folder.store_chunk(0, b"spoilt")
    meta = SnapshotMeta(90, 9, MEMBERSHIP, 6, xxh3_128_hexdigest(b"intact"))
    context.storage_installed = folder.install_snapshot(meta)
    folder.close()


@then("the storage discards it and opens with 40 entries")
def step_discarded(context):
    assert context.storage_installed is False
    _open_with_40_entries(context.files)


@when("two storages open one folder on the real disk")
def step_two(context):
    context.storage_folder = tempfile.TemporaryDirectory()
    context.add_cleanup(context.storage_folder.cleanup)
    path = Path(context.storage_folder.name)
    context.first = DataFolder(DiskFiles(path), NAME)
    context.second_error = None
    try:
        DataFolder(DiskFiles(path), NAME)
    except DataFolderError as exc:
        context.second_error = exc


@then("the second storage is refused until the first is closed")
def step_second(context):
    assert context.second_error is not None and context.second_error.name == "lock"
    context.first.close()
    DataFolder(DiskFiles(Path(context.storage_folder.name)), NAME).close()


@when("a storage on the real disk takes {count:d} entries with a snapshot every {each:d}")
def step_real_disk(context, count, each):
    _small_segments(context)
    context.storage_folder = tempfile.TemporaryDirectory()
    context.add_cleanup(context.storage_folder.cleanup)
    context.path = Path(context.storage_folder.name)
    folder = DataFolder(DiskFiles(context.path), NAME)
    folder.join("cluster")
    for index in range(1, count + 1):
        folder.write(LogWrite(HardState(index, "a"), (_entry(index),)))
        if index % each == 5:
            folder.save_snapshot(index, 1, MEMBERSHIP, b"state %d" % index)
    folder.close()
    context.folder = DataFolder(DiskFiles(context.path), NAME)
    context.count = count
    context.snapshot_index = count - each + 5


@then("the storage has the same entries, term, vote and snapshot")
def step_same(context):
    folder = context.folder
    log = folder.log
    assert folder.hard_state == HardState(context.count, "a")
    assert log.snapshot.index == context.snapshot_index
    assert folder.read_snapshot(log.snapshot) == b"state %d" % context.snapshot_index
    assert log.last_index == context.count
    assert log.entries_between(context.count, context.count) == (_entry(context.count),)


@then("the storage folder holds 1 snapshot and at most {count:d} segments")
def step_files(context, count):
    files = DiskFiles(context.path)
    assert sum(name.startswith("snapshot-") for name in files.names()) == 1
    # The entries since the last snapshot fill further segments of 600 bytes.
    assert len(_journals(files)) <= count + 45 * 130 // SEGMENT_BYTES
    context.folder.close()
