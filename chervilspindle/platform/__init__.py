"""Adapter to the platform that the users run: names, formats, addresses."""
