"""The decisions of control without I/O: state, run ledger, leases and connection shares."""
