"""Reads the structured logs of gateways, with no daemon running.

Directories and files of any number of processes go in; one story of a
request, batch, item, replica or host comes out, or a summary by cause.
"""
