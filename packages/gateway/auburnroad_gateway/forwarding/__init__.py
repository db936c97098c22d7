"""Forwards single requests and event streams to replicas."""
