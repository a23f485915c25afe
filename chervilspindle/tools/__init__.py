"""Stand-in endpoint, load generator and embedded demonstration."""
