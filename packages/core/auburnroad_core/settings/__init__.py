"""Settings and configuration: JSON with comments, checked whole."""
