"""The request path of an entry VM: gather, own endpoints, run commands."""
