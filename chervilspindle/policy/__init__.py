"""Pure policies: replica selection, fairness, limits, hedging, admission."""
