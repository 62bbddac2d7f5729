"""The node: one process on every host that serves callers and takes part in control.

Sockets, files and timers round ``core.forwarding`` and the replicated log.
"""
