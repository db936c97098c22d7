"""Rollout of weight versions to replicas, and election of its gateway."""
