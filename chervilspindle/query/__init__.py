"""Queries and commands of an entry VM, and dispatch to owned endpoints."""
