"""Registered replicas, their load, and the choice of a replica for work."""
