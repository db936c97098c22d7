"""Membership of the gateways by heartbeat, and relayed log calls."""
