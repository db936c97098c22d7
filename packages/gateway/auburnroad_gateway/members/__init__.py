"""Failure detection among gateways, and relaying of log calls."""
