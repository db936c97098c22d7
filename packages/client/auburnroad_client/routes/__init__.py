"""Overview, checks and comparison of the routes of a configuration."""
