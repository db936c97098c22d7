"""What lives for the process: roles, health, metrics, start and stop."""
