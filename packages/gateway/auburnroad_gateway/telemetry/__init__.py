"""What operators see of a gateway: event lines and metrics."""
