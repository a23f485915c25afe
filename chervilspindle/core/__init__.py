"""Plain data types and small services that every other package uses."""
