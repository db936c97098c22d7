"""The role gateway: takes callers and batches, and talks to replicas.

A gateway keeps nothing on disk. Batches, results and ownership lie in the log
service; every gateway folds the same records into the same state. Directories
by task: model (plain data), log (records and how they get there), members
(which gateways live), directory (replicas), forwarding (single requests),
batches (their life from acceptance to the last read), weights (versions on
replicas), process (wiring, metrics, start and stop).
"""
