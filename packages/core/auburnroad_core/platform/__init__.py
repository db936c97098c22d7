"""Interfaces and HTTP clients of the platform's services."""
