"""Whole sessions of a caller, an operator and a trainer, as text."""
