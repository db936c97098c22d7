"""Codes of refusals that say a request was not run.

A refused request never reached a target, so whoever reads one of these may
try it elsewhere, whatever kind of request it is.
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
