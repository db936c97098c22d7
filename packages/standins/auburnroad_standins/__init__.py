"""Stand-ins for the outside systems; never imported by the product."""
