"""Builds, starts and stops a gateway process."""
