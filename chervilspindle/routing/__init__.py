"""Data path of routed requests: from a caller to endpoints and back."""
