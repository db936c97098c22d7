"""Data types of the gateway, without I/O."""
