"""Query tier between callers and the search endpoints of many shards."""

__version__ = "0.1.0"
