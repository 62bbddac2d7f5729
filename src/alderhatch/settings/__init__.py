"""Reads and validates settings files and rule declarations in TOML."""
