"""What callers were told against what the targets ran."""

import collections

from auburnroad_e2e import book_types


def list_tries(
    callers: list[book_types.Event],
) -> list[tuple[book_types.Event, book_types.Event]]:
    """List every try of every request.

    Args:
      callers: Events of the callers' books.

    Returns:
      Pairs of request and try.
    """
    return [
        (event, one)
        for event in callers
        if event['event'] == 'answered'
        for one in event['tries']
    ]


def find_cut_off(
    callers: list[book_types.Event], excused: frozenset[str] = frozenset()
) -> list[str]:
    """Find requests whose answer came in part, or whose connection broke.

    Args:
      callers: Events of the callers' books.
      excused: Addresses of entries that were killed on purpose.

    Returns:
      A text for each such request.
    """
    found = []
    for event, one in list_tries(callers):
        partly = one['began'] and not one['whole']
        broken = one['outcome'] == 'broken' or partly
        if broken and one['entry'] not in excused:
            found.append(f'{event["id"]} at {one["entry"]}: {one["code"]}')
    return found


def find_unanswered(callers: list[book_types.Event]) -> list[str]:
    """Find requests that were never answered.

    Args:
      callers: Events of the callers' books.

    Returns:
      A text for each request whose caller still waits, or gave up at the
      last entry that it tried.
    """
    last = {
        event['id']: event['tries'][-1]['outcome']
        for event in callers
        if event['event'] == 'answered'
    }
    return [
        f'{event["id"]}: {last.get(event["id"], "waits")}'
        for event in callers
        if event['event'] == 'asked'
        and last.get(event['id'], 'given-up') == 'given-up'
    ]


def find_wrong(callers: list[book_types.Event]) -> list[str]:
    """Find whole answers that belong to another request.

    Args:
      callers: Events of the callers' books.

    Returns:
      A text for each.
    """
    return [
        f'{event["id"]} at {one["entry"]}'
        for event, one in list_tries(callers)
        if one['whole'] and not one['right']
    ]


def find_keys_run_twice(runs: list[book_types.PlainRun]) -> list[str]:
    """Find idempotency keys that a target ran more than once.

    Args:
      runs: Books of all plain services.

    Returns:
      The keys.
    """
    counts = collections.Counter(run.key for run in runs if run.key)
    return [key for key, count in counts.items() if count > 1]


def find_refused_but_run(books: book_types.Books) -> list[str]:
    """Find requests that were said not to be run and were run.

    Args:
      books: All books of one run.

    Returns:
      A text for each.
    """
    run_ids = {run.request_id for run in books.plain_runs}
    run_ids |= {run.request_id for run in books.engine_runs}
    run_keys = {run.key for run in books.plain_runs if run.key}
    found = [
        f'{event["id"]} as {one["request_id"]}'
        for event, one in list_tries(books.callers)
        if one['outcome'] == 'not-run' and one['request_id'] in run_ids
    ]
    for event in books.callers:
        if event['event'] != 'answered' or event['key'] not in run_keys:
            continue
        claims = {one['outcome'] for one in event['tries']}
        if claims <= {'not-run', 'unsent'}:
            found.append(f'{event["id"]} under {event["key"]}')
    return found
