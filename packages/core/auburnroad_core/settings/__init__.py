"""Settings and configuration: JSON with comments, checked by type."""
