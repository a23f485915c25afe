"""Settings of a process and the operators' two lists, with validation."""
