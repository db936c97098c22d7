"""Numbers of replicas that the platform is to run of each service."""
