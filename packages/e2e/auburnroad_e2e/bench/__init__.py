"""Measures the decisions under load and faults, beside simple baselines."""
