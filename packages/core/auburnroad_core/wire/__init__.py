"""Typed msgpack streams between the processes of the system."""
