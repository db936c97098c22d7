"""Newest configuration of the operators and announced weight versions."""
