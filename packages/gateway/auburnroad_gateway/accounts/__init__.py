"""Client accounts: who may send requests, and their shares of the slots."""
