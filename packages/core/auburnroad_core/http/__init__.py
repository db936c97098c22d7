"""HTTP by h11, the same server and client for every process."""
