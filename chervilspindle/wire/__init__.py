"""Messages and transports towards peers, callers and endpoints."""
