"""Adapter to the platform: decodes its names, formats and addresses."""
