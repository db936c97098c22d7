"""The log service: interface, appends in groups, tails, detours."""
