"""What lives for one request: admission, order, the run itself."""
