"""Decisions without input or output: no sockets, files, timers, clock reads or global random."""
