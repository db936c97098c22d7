"""Promises on API keys and accounts; see promises.py."""

from auburnroad_e2e.soak import callers as all_callers
from auburnroad_e2e.soak import world as worlds
from auburnroad_standins import platform_calls

# A gateway refuses an unknown key for good only if it has read the operators'
# topic within so long before.
REFUSAL_SECONDS = 1.0


def check_keys_kept(world, callers):
    """Replicas see no key, and the account of the request's key only."""
    owners = {key.text: key.account for key in world.keys}
    expected = {
        request_id: owners.get(key, '')
        for request_id, key in callers.sent_keys.items()
    }
    for book in callers.batches:
        for item in book.items:
            expected[platform_calls.name_reward_call(item)] = ''
    default = owners.get(world.caller_key, '')
    for run in world.books.runs:
        account = expected.get(run.request_id, default)
        if run.has_key:
            yield f'{run.replica} got the key of {run.request_id}'
        if run.account != account:
            yield f'{run.request_id} ran for {run.account!r}, not {account!r}'


def check_unknown_keys(world, callers):
    """A request with a key that never existed does not run."""
    ran = {run.request_id for run in world.books.runs}
    for attempt in callers.attempts:
        if attempt.kind != 'key' or not attempt.key.startswith(
            all_callers.NEVER_KEY
        ):
            continue
        if attempt.request_id in ran:
            yield f'{attempt.request_id} ran with a key that never existed'
        if attempt.status not in (0, 401, 503):
            yield f'{attempt.request_id} got {attempt.status}'


def check_known_keys(world, callers):
    """A key in force is never refused for good, whatever else is wrong."""
    keys = {key.text: key for key in world.keys}
    for attempt in callers.attempts:
        key = keys.get(attempt.key)
        if key is None or attempt.status != 401:
            continue
        is_known = attempt.started > key.added + REFUSAL_SECONDS
        if is_known and attempt.ended < key.removed:
            yield f'{attempt.gateway} refused {key.text} for good'


def check_logs(world, callers):
    """No process prints a key."""
    for gateway in world.gateways:
        if worlds.KEY_PREFIX in gateway.read_log():
            yield f'{gateway.name} printed a key'
