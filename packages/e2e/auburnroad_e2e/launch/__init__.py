"""Starts and ends the processes of a deployment on loopback."""
