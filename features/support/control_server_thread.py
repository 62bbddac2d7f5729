"""A control server with a log in memory, and the control clients of some entries."""

from __future__ import annotations

import threading

import trio

from alderhatch.control.control_server import ControlServer
from alderhatch.control.observed_state import ObservedState
from alderhatch.control.operator_keys import parse_keys
from alderhatch.core.control.entry_lease import EntryIdentity
from alderhatch.entry.control_client import ControlClient
from alderhatch.settings.models import ControlSettings, Endpoint, NamedEndpoint
from features.support.memory_log import MemoryLog

LOOPBACK = "127.0.0.1"
SECRET = b"the shared secret of these tests"
CHANGE_KEY = "change-key-of-the-tests-0123456789"
READ_KEY = "read-key-of-the-tests-0123456789"
KEYS = f"anna change {CHANGE_KEY}\nmonitor read {READ_KEY}\n"
START_TIMEOUT_S = 30


class ControlServerThread:
    """Runs the server in an event loop of its own thread, so that tests can run commands."""

    def __init__(self, folder, entries):
        self._entries = entries
        self._folder = folder
        self._ready = threading.Event()
        self._thread = threading.Thread(target=trio.run, args=(self._main,), daemon=True)
        self.operator_port = 0

    def start(self):
        self._thread.start()
        assert self._ready.wait(START_TIMEOUT_S), "the control server did not start"

    def stop(self):
        trio.from_thread.run_sync(self._scope.cancel, trio_token=self._token)
        self._thread.join(START_TIMEOUT_S)

    def _settings(self):
        any_port = Endpoint(address=LOOPBACK, port=0)
        peer = NamedEndpoint(name="control-1", address=LOOPBACK, port=0)
        return ControlSettings(
            name="control-1",
            zone="waco-hall",
            data_folder=self._folder,
            links=any_port,
            operators=any_port,
            peers=(peer,),
            secret_file=self._folder / "secret",
            keys_file=self._folder / "keys",
        )

    async def _main(self):
        self._token = trio.lowlevel.current_trio_token()
        observed = ObservedState()
        log = MemoryLog("control-1", observed)
        server = ControlServer(self._settings(), log, observed, SECRET, parse_keys(KEYS))
        async with trio.open_nursery() as nursery:
            self._scope = nursery.cancel_scope
            ports = await nursery.start(server.run)
            self.operator_port = ports.operator_port
            for name, zone in self._entries.items():
                await nursery.start(self._entry, name, zone, ports.link_port)
            self._ready.set()

    async def _entry(self, name, zone, port, task_status):
        endpoint = NamedEndpoint(name="control-1", address=LOOPBACK, port=port)
        identity = EntryIdentity(name, f"{name}-first", zone, LOOPBACK, 7000 + len(name))
        client = ControlClient(identity, [endpoint], SECRET)
        async with trio.open_nursery() as nursery:
            await nursery.start(client.run)
            while not client.may_serve():
                await client.changed.wait()
                client.confirm_shares()
            task_status.started()
            while True:
                await client.changed.wait()
                client.confirm_shares()
