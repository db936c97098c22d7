"""What lives for a version."""
