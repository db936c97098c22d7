"""What lives for a connection."""
