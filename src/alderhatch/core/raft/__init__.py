"""Raft consensus for the replicated log of the control hosts, as a state machine without I/O."""
