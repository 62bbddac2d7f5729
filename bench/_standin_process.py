"""Runs a stand-in upstream without service time; the arguments are its count of shards."""

from __future__ import annotations

import sys

import trio

from alderhatch.standin.app import UpstreamOptions, run_upstream
from alderhatch.standin.standin_server import ServiceTime, UpstreamShape


def main() -> None:
    """Run until killed."""
    shape = UpstreamShape("navigator", int(sys.argv[1]), 1, 4, 30, 0.0)
    service_time = ServiceTime(0.0, 0.0, 0.0)
    trio.run(run_upstream, UpstreamOptions(shape, ("austin-hall",), service_time=service_time))


if __name__ == "__main__":
    main()
