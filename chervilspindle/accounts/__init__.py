"""Client accounts: whose key a request has, and what that allows."""
