"""alderhatch: a query tier over many index shards."""

from __future__ import annotations

__version__ = "0.1.0"
