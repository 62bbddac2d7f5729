"""Reserves ports for processes that start later.

A port that was chosen and released can be assigned to another process before it is used; the test
would then connect to that process. A socket that is bound but does not listen keeps the kernel from
assigning the port. As it and the later listener set SO_REUSEADDR, the listener can bind to it.
"""

from __future__ import annotations

import socket

_SOCKETS = []
LOOPBACK = "127.0.0.1"


def held_ports(count):
    """Return ports chosen by the kernel and reserved until this process ends."""
    ports = []
    for _ in range(count):
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((LOOPBACK, 0))
        _SOCKETS.append(sock)
        ports.append(sock.getsockname()[1])
    return ports
