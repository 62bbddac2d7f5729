"""The data folder of a control host: journal, snapshots and identity."""
