"""Plays of several trees of the project with the same seeds, compared."""
