"""Client side of the log service: interface, appender, tails, failover."""
