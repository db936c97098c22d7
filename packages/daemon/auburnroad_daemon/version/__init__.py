"""Trainers' steps, weight versions and configurations in a daemon."""
