"""Connections of a daemon to other daemons and to its targets."""
