"""Control plane logic without I/O: replicated state, run ledger, leases, connection shares."""
