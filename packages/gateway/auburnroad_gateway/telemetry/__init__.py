"""Structured log lines and metrics of a gateway."""
