"""Replicated control state: log, election, leases, claims, placement."""
