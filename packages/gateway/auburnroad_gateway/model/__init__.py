"""Plain data types of the gateway, without I/O."""
