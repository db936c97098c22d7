"""The daemon auburnroadd: roles entry and side."""
