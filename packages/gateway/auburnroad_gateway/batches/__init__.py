"""Batches: acceptance, ownership, execution, results and reads."""
