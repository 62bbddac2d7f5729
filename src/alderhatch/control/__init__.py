"""The control process: rules, host plans, leases and the run ledger on a replicated log."""
