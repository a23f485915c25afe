"""Limits of numbers that come as JSON."""

MAX_EXACT_INTEGER = 1 << 53  # each reader of JSON has it exactly
