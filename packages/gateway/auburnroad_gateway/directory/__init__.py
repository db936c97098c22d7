"""Replicas: who is registered, how loaded, which one to choose."""
