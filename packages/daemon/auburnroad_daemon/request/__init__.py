"""What lives for a request."""
