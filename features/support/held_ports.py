"""Ports that are known before the processes start that listen on them.

A port that was only looked up and let go can be given to any other process before it is used; the
test then talks to a stranger. A socket that is bound and does not listen keeps the kernel from
giving the port away, and, as both set SO_REUSEADDR, lets a listener bind to it.
"""

from __future__ import annotations

import socket

_HELD = []
LOOPBACK = "127.0.0.1"


def held_ports(count):
    """Return ports chosen by the kernel, kept from others until this process ends."""
    ports = []
    for _ in range(count):
        one = socket.socket()
        one.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        one.bind((LOOPBACK, 0))
        _HELD.append(one)
        ports.append(one.getsockname()[1])
    return ports
