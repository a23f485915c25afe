"""Queries and commands that reach each endpoint through the entry owning it.

See `routing` for requests that entries send to shared endpoints directly.
"""
