"""Pure decisions: replica choice, fairness, limits, hedges, admission."""
