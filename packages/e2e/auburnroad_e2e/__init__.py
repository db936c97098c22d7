"""Launches whole deployments: demo, scenarios and measurements."""
