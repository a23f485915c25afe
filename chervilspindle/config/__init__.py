"""Process settings and the operators' lists, with validation."""
