"""Measures the slopes from which docs/CAPACITY.md works the size out."""
