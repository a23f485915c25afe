"""Data types and small services that all other packages use."""
