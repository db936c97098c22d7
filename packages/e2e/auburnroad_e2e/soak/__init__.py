"""A randomized soak of the real gateway processes under faults."""
