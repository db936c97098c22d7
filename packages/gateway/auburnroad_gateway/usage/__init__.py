"""The usage report: counts of requests by account, reported per window."""
