"""Requests that an entry sends to endpoints directly, or through relays.

Endpoints are shared by all entries; see `query` for endpoints with an owner.
"""
