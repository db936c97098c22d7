"""Gateway: accepts requests and batches, and runs them on replicas.

A gateway stores nothing on disk. Batches, results and ownership are records in
the log service, and every gateway folds the same records into the same state.

Packages:
  accounts: API keys of client accounts, and access to routes and batches.
  model: Data types.
  log: Records, and appending and reading them.
  members: Failure detection among the gateways.
  directory: Registered replicas and the choice of a replica.
  forwarding: Single requests.
  batches: Batches, from acceptance to the last read of their results.
  weights: Loading of weight versions on the replicas.
  configuration: Configuration in force.
  telemetry: Log lines and metrics.
  process: Wiring, start and stop.
"""
