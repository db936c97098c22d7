"""Client accounts: API keys, access to routes, and shares of the slots."""
