"""What must hold in a soak run, checked on the books of both ends.

A promise is a function of the world and its callers that yields one line for
each breach. Times are the deployment's own promises, not measured ones. One
with a time bound judges nothing while the soak's own event loop stood still.
"""

from auburnroad_core import registry
from auburnroad_e2e.soak import callers as all_callers
from auburnroad_e2e.soak import crash_promises
from auburnroad_e2e.soak import faults
from auburnroad_e2e.soak import key_promises
from auburnroad_e2e.soak import supervision
from auburnroad_e2e.soak import text_promises
from auburnroad_e2e.soak import world as worlds
from auburnroad_gateway.model import settings as gateway_settings
from auburnroad_standins import platform_calls
from auburnroad_standins import platform_replica

PROMISES: registry.Registry = registry.Registry('promise')
# Promises with a time bound: on a machine that is busy with other work a
# breach may be its fault, so CI leaves them to runs by hand.
TIMED = frozenset(
    (
        'configuration-in-time',
        'crashing-kept-away',
        'crashing-spares-half',
        'drained-left-alone',
        'leaving-left-alone',
        'removed-keys-refused',
        'streams-go-on',
        'stops-cut-nothing',
    )
)
REFUSALS = (429, 503)
CONFIGURATION_SECONDS = 2.0
# Error code of a gateway that may not know the configuration in force.
UNREAD_CODE = 'configuration_unread'
# Until a key that was removed is refused by gateways that are in touch.
KEY_SECONDS = 3.0
# Of so many streams that are taken up, the share that goes on is at least this
# part of the share of new streams that begin.
MIN_TAKEN_UP = 12
GO_ON_RATIO = 0.5
# From so long after a replica first named its rate limit, it gets no more
# requests in a window than the ratio of what the limit allows, and a few.
LIMIT_SECONDS = 3.0
LIMIT_WINDOW_SECONDS = 4.0
LIMIT_RATIO = 1.5
LIMIT_EXTRA = 5
LEASE_SECONDS = gateway_settings.Bounds().lease_ms / 1000


PROMISES.register('crashing-kept-away')(crash_promises.check_kept_away)
PROMISES.register('crashing-spares-half')(crash_promises.check_spared)
PROMISES.register('harmless-not-refused')(crash_promises.check_harmless)
PROMISES.register('keys-kept')(key_promises.check_keys_kept)
PROMISES.register('keys-not-printed')(key_promises.check_logs)
PROMISES.register('known-keys-served')(key_promises.check_known_keys)
PROMISES.register('processes-stay')(supervision.check_ends)
PROMISES.register('streams-fit')(text_promises.check_streams)
PROMISES.register('texts-whole')(text_promises.check_texts_whole)
PROMISES.register('unknown-keys-refused')(key_promises.check_unknown_keys)


def check_all(
    world: worlds.World, callers: all_callers.Callers, timed: bool
) -> list[str]:
    """Check the promises.

    Args:
      world: The deployment.
      callers: Its callers.
      timed: Whether to check those with a time bound, too.

    Returns:
      A line for each breach, that begins with the promise's name.
    """
    return [
        f'{name}: {breach}'
        for name in PROMISES.names
        if timed or name not in TIMED
        for breach in PROMISES.get(name)(world, callers)
    ]


@PROMISES.register('batches-stay')
def check_batches_stay(world, callers):
    """What was accepted is known, and tells everybody the same."""
    for book in callers.batches:
        if book.accepted_at is not None:
            yield from book.faults


@PROMISES.register('items-once')
def check_items_once(world, callers):
    """An item has one result; positions have no gaps."""
    for book in callers.batches:
        items = [result['id'] for result in book.results.values()]
        if len(set(items)) != len(items):
            yield f'{book.id} lists an item twice'
        if not set(items) <= set(book.items):
            yield f'{book.id} lists an item of another batch'


@PROMISES.register('streams-go-on')
def check_streams_go_on(world, callers):
    """Where nothing is wrong, streams are taken up about as they begin."""
    begun, taken_up = [], []
    for book in callers.streams:
        for number, attempt in enumerate(book.attempts):
            gateway = faults.find_gateway(world, attempt.gateway)
            begin = attempt.started - faults.AFTERMATH_SECONDS
            if (
                world.is_calm(gateway, begin, attempt.ended)
                and _are_calm(world.engines, world, begin, attempt.ended)
                and not world.loop_trace.leave_out(
                    attempt.started, attempt.ended
                )
            ):
                (taken_up if number else begun).append(attempt.status == 200)
    if len(taken_up) < MIN_TAKEN_UP or not begun:
        return
    share = sum(taken_up) / len(taken_up)
    if share < GO_ON_RATIO * sum(begun) / len(begun):
        yield f'{share:.2f} of {len(taken_up)} streams went on'


@PROMISES.register('versions-true')
def check_versions(world, callers):
    """Versions are those that generated the text, and new enough."""
    generated: dict[str, set[int]] = {}
    for (item, _), versions in world.books.generated.items():
        generated.setdefault(item, set()).update(versions)
    for book in callers.batches:
        for result in book.results.values():
            if result['state'] != 'succeeded':
                continue
            item, told = result['id'], set(result['versions'])
            if not told or not told <= generated.get(item, set()):
                yield f'{item} names {sorted(told)}, which did not run it'
            if told and min(told) < book.minimum_version:
                yield f'{item} is of version {min(told)}, which is too old'
            for number in range(platform_replica.count_events(item)):
                made = world.books.generated.get((item, number), set())
                if not made & told:
                    yield f'no version told has made event {number} of {item}'


@PROMISES.register('given-up-truly')
def check_terminated(world, callers):
    """Only what failed often enough, or was ended, is given up."""
    for book in callers.batches:
        for result in book.results.values():
            if result['state'] == 'terminated' and book.ended_at is None:
                runs = [
                    run
                    for run in world.books.runs
                    if run.request_id == result['id']
                ]
                if len(runs) < 3:
                    yield f'{result["id"]} after {len(runs)} runs'


@PROMISES.register('refused-not-run')
def check_refused(world, callers):
    """What was only ever refused has not run."""
    ran = {run.request_id for run in world.books.runs}
    for book in callers.batches:
        if book.answers and all(s in REFUSALS for s in book.answers):
            for item in ran & set(book.items):
                yield f'{item} ran, though {book.id} was refused'
    for attempt in callers.attempts:
        if attempt.status in REFUSALS and attempt.kind != 'plain':
            if attempt.request_id in ran:
                yield f'{attempt.request_id} ran, though it was refused'


@PROMISES.register('run-once')
def check_run_once(world, callers):
    """A request that must not be repeated runs at most once."""
    counts: dict[str, int] = {}
    for run in world.books.runs:
        counts[run.request_id] = counts.get(run.request_id, 0) + 1
    for attempt in callers.attempts:
        if attempt.kind == 'once' and counts.get(attempt.request_id, 0) > 1:
            times = counts[attempt.request_id]
            yield f'{attempt.request_id} ran {times} times'


@PROMISES.register('answers-own')
def check_answers(world, callers):
    """A success is the whole answer of a replica to this very request."""
    for attempt in callers.attempts:
        if attempt.status == 200 and not attempt.whole:
            yield f'{attempt.request_id} got something else'


@PROMISES.register('one-holder')
def check_one_holder(world, callers):
    """Fencing numbers rise at all replicas together, each with one holder.

    Whatever arrives counts, but for what a replica refused by its fence. A
    holder comes back after others, if at all, once its lease has expired.
    """
    last: platform_replica.Order | None = None
    left_at: dict[str, float] = {}
    holders: dict[int, str] = {}
    for order in world.books.orders:
        if order.status == 412:
            continue
        last = last or order
        if order.fence < last.fence:
            yield (
                f'{order.replica} got fence {order.fence} of {order.holder},'
                f' {last.replica} had {last.fence} of {last.holder}'
                f' {order.at - last.at:.1f} s before'
            )
        if order.holder != last.holder:
            left_at[last.holder] = last.at
            since = left_at.get(order.holder, float('-inf'))
            if order.at < since + LEASE_SECONDS:
                yield f'{order.holder} is back at {order.replica} too soon'
        last = order
        if holders.setdefault(order.fence, order.holder) != order.holder:
            yield f'fence {order.fence} has two holders'


@PROMISES.register('drained-left-alone')
def check_drained(world, callers):
    """A replica that drains gets no new work from calm gateways."""
    for run in world.books.runs:
        drained = world.books.drained.get(run.replica)
        if drained is None or run.started < drained + worlds.DRAIN_SECONDS:
            continue
        if all(
            world.is_calm(
                gateway, drained - faults.AFTERMATH_SECONDS, run.started
            )
            for gateway in world.gateways
        ) and not world.loop_trace.leave_out(
            run.started - worlds.DRAIN_SECONDS, run.started
        ):
            yield f'{run.request_id} began at {run.replica}'


@PROMISES.register('scores-own')
def check_scores(world, callers):
    """A score is of the item's own reward call, made after its last event."""
    runs = {
        (run.request_id, run.replica): run.started for run in world.books.runs
    }
    for book in callers.batches:
        for result in book.results.values():
            if not book.scored or result['state'] != 'succeeded':
                continue
            item, score = result['id'], result.get('score', '')
            replica, _, request_id = score.partition('.')
            if request_id != platform_calls.name_reward_call(item):
                yield f'{item} has the score {score!r}'
                continue
            started = runs.get((request_id, replica), float('-inf'))
            if started < world.books.last_events.get(item, float('inf')):
                yield f'{item} was scored before its last event'


@PROMISES.register('leaving-left-alone')
def check_leaving(world, callers):
    """A gateway that passed on that a replica leaves sends it no more.

    Its restart or pause since then excuses it, as in the users' rule. A
    request that came before the replica's next start may run after it.
    """
    for entry in world.disturbances:
        if entry.kind != faults.LEAVING:
            continue
        runs = {
            (run.request_id, run.replica)
            for run in world.books.runs
            if run.started < entry.end
        }
        told: dict[tuple[str, int], float] = {}
        for attempt in callers.attempts:
            process = (attempt.gateway, attempt.gateway_start)
            if attempt.ended <= entry.start or attempt.started >= entry.end:
                continue
            if attempt.leaving and attempt.replica == entry.subject:
                told.setdefault(process, attempt.ended)
            late = attempt.started > (
                told.get(process, float('inf')) + worlds.DRAIN_SECONDS
            )
            if not late or _was_paused(world, attempt, told[process]):
                continue
            if (
                attempt.request_id,
                entry.subject,
            ) in runs and not world.loop_trace.leave_out(
                attempt.started - worlds.DRAIN_SECONDS, attempt.started
            ):
                yield (
                    f'{attempt.request_id} reached {entry.subject} '
                    f'by {attempt.gateway}'
                )


@PROMISES.register('limit-kept')
def check_limits(world, callers):
    """A replica gets no more than its rate limit from all gateways."""
    for limit in world.books.limits:
        allowed = (
            LIMIT_RATIO * LIMIT_WINDOW_SECONDS * limit.per_second + LIMIT_EXTRA
        )
        starts = [
            run.started
            for run in world.books.runs
            if run.replica == limit.replica
            and limit.start + LIMIT_SECONDS <= run.started < limit.end
        ]
        for start in starts:
            count = sum(
                start <= other < start + LIMIT_WINDOW_SECONDS
                for other in starts
            )
            if count > allowed:
                yield (
                    f'{limit.replica} got {count} requests where '
                    f'{allowed:g} are allowed'
                )
                break


@PROMISES.register('memory-bounded')
def check_memory(world, callers):
    """No gateway takes more memory than its host has."""
    for gateway in world.gateways:
        if gateway.process.running:
            peak_mb = gateway.find_peak_mb()
            if peak_mb > worlds.MEMORY_MB:
                yield f'{gateway.name} took {peak_mb:.0f} MB'


@PROMISES.register('stops-cut-nothing')
def check_answered(world, callers):
    """Where nothing is wrong, a request that was sent has an answer."""
    for attempt in callers.attempts:
        if attempt.status:
            continue
        gateway = faults.find_gateway(world, attempt.gateway)
        begin = attempt.started - faults.AFTERMATH_SECONDS
        if not gateway.process.running or attempt.gateway_start != (
            gateway.starts
        ):
            # It was started anew meanwhile: only a planned stop lets callers
            # find it gone, and then nothing was cut while it answered.
            continue
        if (
            world.is_calm(gateway, begin, attempt.ended)
            and _are_calm(world.plain, world, begin, attempt.ended)
            and not world.loop_trace.leave_out(attempt.started, attempt.ended)
        ):
            yield f'{attempt.request_id} got no answer of {gateway.name}'


@PROMISES.register('configuration-in-time')
def check_configuration_in_time(world, callers):
    """A route that was added is known in time where nothing is wrong.

    A disturbance excuses a gateway until its aftermath has passed, however
    long ago the route was added.
    """
    added = dict(world.routes_added)
    for attempt in callers.attempts:
        if attempt.kind != 'added' or not _is_unknown(attempt):
            continue
        gateway = faults.find_gateway(world, attempt.gateway)
        since = added[_find_prefix(attempt)]
        late = attempt.started > since + CONFIGURATION_SECONDS
        calm_from = max(since, attempt.started - CONFIGURATION_SECONDS)
        if (
            late
            and world.is_calm(
                gateway, calm_from - faults.AFTERMATH_SECONDS, attempt.ended
            )
            and not world.loop_trace.leave_out(calm_from, attempt.ended)
        ):
            yield f'{gateway.name} does not know {attempt.path}'


def _is_unknown(attempt: all_callers.Attempt) -> bool:
    """Tell whether a gateway had no route for a request."""
    return attempt.status == 404 or attempt.refused_as == UNREAD_CODE


@PROMISES.register('routes-not-denied')
def check_routes_not_denied(world, callers):
    """A route that was added is never denied for good, whatever is wrong.

    A gateway that may not know of it says that callers are to come again.
    """
    added = dict(world.routes_added)
    for attempt in callers.attempts:
        if attempt.kind != 'added' or attempt.status != 404:
            continue
        age = attempt.started - added[_find_prefix(attempt)]
        if age > CONFIGURATION_SECONDS:
            yield (
                f'{attempt.gateway} denied {attempt.path} {age:.1f} s after '
                'it was added'
            )


@PROMISES.register('configuration-stays')
def check_configuration_stays(world, callers):
    """A process that has served a route that was added goes on with it."""
    served: set[tuple[str, int, str]] = set()
    for attempt in callers.attempts:
        key = (attempt.gateway, attempt.gateway_start, attempt.path)
        if attempt.kind != 'added':
            continue
        if attempt.status == 200:
            served.add(key)
        elif attempt.status == 404 and key in served:
            yield f'{attempt.gateway} went back behind {attempt.path}'


@PROMISES.register('removed-keys-refused')
def check_removed_keys(world, callers):
    """A key that was removed is refused in time where nothing is wrong."""
    removed = {key.text: key.removed for key in world.keys}
    for attempt in callers.attempts:
        since = removed.get(attempt.key, float('inf'))
        if attempt.status != 200 or attempt.started <= since + KEY_SECONDS:
            continue
        calm_from = attempt.started - KEY_SECONDS - faults.AFTERMATH_SECONDS
        gateway = faults.find_gateway(world, attempt.gateway)
        if world.is_calm(gateway, calm_from, attempt.ended):
            yield f'{attempt.gateway} accepts {attempt.key}, which is removed'


def _was_paused(world: worlds.World, attempt, since: float) -> bool:
    return any(
        entry.kind == faults.PAUSED
        and entry.subject == attempt.gateway
        and entry.end > since
        and entry.start < attempt.ended
        for entry in world.disturbances
    )


def _find_prefix(attempt: all_callers.Attempt) -> str:
    return f'/{attempt.path.split("/")[1]}/'


def _are_calm(replicas, world: worlds.World, start, end) -> bool:
    names = {replica.id for replica in replicas}
    return not any(
        entry.start < end and entry.end > start
        for entry in world.disturbances
        if entry.subject in names
    )
