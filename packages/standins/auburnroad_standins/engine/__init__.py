"""A model engine: batch, prefix cache, orders, KV cache and events."""
