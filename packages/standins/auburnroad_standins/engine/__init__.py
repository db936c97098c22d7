"""Stand-in of a model engine: batch, caches, orders and events."""
