"""Scenarios and fault matrix: what must always hold, under failure."""
