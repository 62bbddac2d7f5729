"""Callers whose requests are proper, and whose connections are used in unusual ways."""

from __future__ import annotations

import socket
import threading
import time
from contextlib import suppress
from http.client import HTTPException, HTTPResponse
from random import Random

from features.support.platform_tier import HOST

HABITS = ("half-closes", "pipelines", "reads slowly", "reads nothing")
READ_TIMEOUT_S = 10.0
SLOW_READ_BYTES = 64
SLOW_READ_PAUSE_S = 0.02
UNREAD_S = 1.0
RECEIVE_BUFFER_BYTES = 2048


class HabitCaller(threading.Thread):
    """Sends requests in a loop, each time on a new connection and with one of the habits.

    Args:
        soak: Records answers and cut requests.
        number: Seeds the caller, with the seed of the soak.
    """

    def __init__(self, soak, number):
        super().__init__()
        self._soak = soak
        self._rng = Random(f"{soak.seed} habits {number}")
        self._number = number
        self._count = 0

    def run(self):
        while not self._soak.stopped:
            index = self._rng.choice(self._soak.all_hosts)
            habit = self._rng.choice(HABITS)
            with suppress(OSError), self._connect(index) as conn:
                self._use(conn, index, habit)
            time.sleep(0.05)

    def _connect(self, index):
        conn = socket.socket()
        conn.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        conn.settimeout(READ_TIMEOUT_S)
        try:
            conn.connect((self._soak.tier.addresses[index], self._soak.tier.ports[0]))
        except OSError:
            conn.close()
            raise
        return conn

    def _use(self, conn, index, habit):
        count = self._rng.randrange(2, 5) if habit == "pipelines" else 1
        requests = [self._request() for _ in range(count)]
        started_at = time.monotonic()
        conn.sendall(b"".join(data for _, _, data in requests))
        if habit == "half-closes":
            conn.shutdown(socket.SHUT_WR)
        if habit == "reads nothing":
            time.sleep(UNREAD_S)
            return
        for request_id, is_order, _ in requests:
            if not self._read(conn, habit, request_id, is_order):
                self._soak.record_cut(index, request_id, started_at, time.monotonic())
                return

    def _request(self):
        self._count += 1
        request_id = f"h{self._number}-{self._count:08}"
        is_order = self._rng.random() < 0.3
        method, path = ("POST", "/orders/1") if is_order else ("GET", "/paths/1")
        length = "Content-Length: 1\r\n" if is_order else ""
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {request_id}\r\n"
            f"Time-Budget-Ms: 4000\r\n{length}\r\n"
        )
        return request_id, is_order, (head + ("x" if is_order else "")).encode()

    def _read(self, conn, habit, request_id, is_order):
        """Read one answer and record it; return whether it is whole."""
        source = _SlowSocket(conn) if habit == "reads slowly" else conn
        answer = HTTPResponse(_Unbuffered(source))
        try:
            answer.begin()
            data = answer.read()
        except (OSError, HTTPException):
            return False
        self._soak.record_answer(request_id, is_order, answer, data)
        return True


class _SlowSocket:
    """Receives a few bytes at a time."""

    def __init__(self, conn):
        self._conn = conn

    def recv(self, size):
        time.sleep(SLOW_READ_PAUSE_S)
        return self._conn.recv(min(size, SLOW_READ_BYTES))


class _Unbuffered:
    """Gives ``HTTPResponse`` no byte beyond the answer, as the next answer may follow it."""

    def __init__(self, source):
        self._source = source

    def makefile(self, mode):
        return self

    def read(self, size):
        data = b""
        while len(data) < size and (more := self._source.recv(size - len(data))):
            data += more
        return data

    def readline(self, limit):
        line = b""
        while len(line) < limit and not line.endswith(b"\n"):
            byte = self._source.recv(1)
            if not byte:
                break
            line += byte
        return line

    def flush(self):
        pass

    def close(self):
        pass
