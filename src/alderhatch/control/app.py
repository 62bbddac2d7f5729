"""The control program: data folder, replicated log, sockets and signals."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import suppress

import trio

from ..clock import SECOND, Millis
from ..codec import Codec
from ..core.control.lease_messages import CONTROL_MESSAGES
from ..core.raft.raft_config import RaftConfig
from ..errors import AlderhatchError, ErrorKind, Failure
from ..settings.models import ControlSettings
from ..settings.secret import read_secret
from ..signal import Signal
from ..stop_signal import STOP_SIGNALS, wait_for_stop
from ..storage.data_folder import DataFolder
from ..storage.data_folder_error import DataFolderError
from ..storage.files import DiskFiles
from .control_server import ControlAddresses, ControlServer
from .log_messages import PEER_MESSAGE_TYPES
from .log_node import LogNode
from .log_node_config import LogNodeConfig
from .observed_state import ObservedState
from .operator_keys import KeyFileError, OperatorKeys, load_keys

LEADERSHIP_TRANSFER_TIMEOUT: Millis = 2 * SECOND


async def run_control(
    cfg: ControlSettings,
    *,
    task_status: trio.TaskStatus[ControlAddresses] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Run a control host until SIGTERM or SIGINT.

    A leader transfers leadership before it exits, and operators get answers to their requests.

    Args:
        cfg: The settings.
        task_status: Started with the ports once the host listens.

    Raises:
        AlderhatchError: ``storage_failed`` if the data folder is in use, damaged or belongs to
            another host, ``bad_request`` if the operators' key file has an error.
        OSError: If an address can't be bound or the data folder can't be used.
        SettingsFaultsError: If the secret can't be read or is invalid.
    """
    secret = read_secret(cfg.secret_file)
    keys = _load_keys(cfg)
    observed = ObservedState()
    storage = _open_folder(cfg)
    raft = RaftConfig(heartbeat=cfg.heartbeat_ms, election_timeout=cfg.election_timeout_ms)
    role_changed = Signal()
    node = LogNode(
        cfg.name,
        cfg.peers,
        storage,
        observed,
        secret,
        LogNodeConfig(raft=raft),
        on_role=lambda *_: role_changed.notify(),
    )
    codec = Codec(*CONTROL_MESSAGES, *PEER_MESSAGE_TYPES)
    server = ControlServer(cfg, node, observed, secret, keys, codec, role_changed)
    async with trio.open_nursery() as nursery:
        with trio.open_signal_receiver(*STOP_SIGNALS) as signals:
            await nursery.start(node.run)
            task_status.started(await nursery.start(server.run))
            await _planned_stop(signals, node, server)
            nursery.cancel_scope.cancel()


def _load_keys(cfg: ControlSettings) -> OperatorKeys:
    try:
        return load_keys(cfg.keys_file)
    except KeyFileError as exc:
        failure = Failure(ErrorKind.BAD_REQUEST, str(exc), "keys_file")
        raise AlderhatchError(failure) from exc


def _open_folder(cfg: ControlSettings) -> DataFolder:
    try:
        return DataFolder(DiskFiles(cfg.data_folder), cfg.name)
    except DataFolderError as exc:
        failure = Failure(ErrorKind.STORAGE_FAILED, str(exc), "data_folder")
        raise AlderhatchError(failure) from exc


async def _planned_stop(signals: AsyncIterator[int], node: LogNode, server: ControlServer) -> None:
    await wait_for_stop(signals)
    if node.is_leader:
        # Without the transfer, each planned restart of the leader would delay all changes and
        # claims by an election timeout, after which the other hosts notice the missing leader.
        with trio.move_on_after(LEADERSHIP_TRANSFER_TIMEOUT / SECOND), suppress(AlderhatchError):
            await node.transfer_leadership()
    await server.operator_requests.complete()
