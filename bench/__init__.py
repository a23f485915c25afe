"""Measurements: experiments on real processes, and slopes for capacity."""
