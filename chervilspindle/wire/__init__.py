"""Messages and transports between peers, callers and endpoints."""
