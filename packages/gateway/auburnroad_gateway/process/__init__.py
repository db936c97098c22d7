"""Assembles a gateway process, starts and stops it."""
