"""Query tier over many shards, between callers and search endpoints."""

__version__ = "0.1.0"
