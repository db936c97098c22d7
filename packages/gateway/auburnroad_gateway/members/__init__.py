"""The other gateways: their heartbeats, and calls between them."""
