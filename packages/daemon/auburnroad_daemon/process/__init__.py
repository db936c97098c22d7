"""Daemon processes: roles, host membership, monitoring, start and stop."""
