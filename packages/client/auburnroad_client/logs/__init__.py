"""Analysis of the structured logs of gateways, without any daemon.

The log files of any number of processes are merged into the timeline of one
request, batch, item, replica or host, or into a summary by cause.
"""
