"""HTTP server and client, built on h11, for every process."""
