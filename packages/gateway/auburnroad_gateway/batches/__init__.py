"""Batches: acceptance, ownership, running, results, reading."""
