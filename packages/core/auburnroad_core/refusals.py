"""Error codes of rejected requests that were not run.

A request that was rejected with one of these codes never reached a target, so
it may be retried on another daemon even if it is not idempotent.
"""

OVERLOADED = 'overloaded'
DEADLINE_PASSED = 'deadline_passed'
DEADLINE_TOO_NEAR = 'deadline_too_near'
LEAVING = 'leaving'
NO_REPLICA = 'no_replica'
NO_CONFIGURATION = 'no_configuration'
UNKNOWN_SERVICE = 'unknown_service'
MODEL_MISSING = 'model_missing'
VERSION_BEHIND = 'version_behind'
BAD_REQUEST = 'bad_request'
CANCELLED = 'cancelled'
