"""What lives for one connection: streams, engines, plain services."""
