"""Commands of the operators' client, one module per group."""
