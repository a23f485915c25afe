"""Control plane: replicated log and state, leases, claims and placement."""
