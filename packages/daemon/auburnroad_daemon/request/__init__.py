"""Request handling: routing, admission, ordering and execution."""
