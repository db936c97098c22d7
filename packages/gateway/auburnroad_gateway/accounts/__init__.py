"""Client accounts: look-up of API keys and access to routes and batches."""
