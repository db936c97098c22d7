"""Single requests: attempts at replicas and what the caller gets."""
