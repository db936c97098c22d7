"""Promises on texts and streams, from the runs that made their events.

Each event of a model engine tells the software version and the run that made
it, and after which event this run was asked to go on; see promises.py.
"""

from auburnroad_standins import platform_replica


def check_texts_whole(world, callers):
    """A text that succeeded is whole, and no two runs are joined in it."""
    for book in callers.batches:
        for result in book.results.values():
            if result['state'] != 'succeeded':
                continue
            lines = result['text'].split('\n')
            fault = find_fault(result['id'], lines)
            if len(lines) != platform_replica.count_events(result['id']):
                fault = fault or f'has {len(lines)} events'
            if fault:
                yield f'{result["id"]} {fault}'


def check_streams(world, callers):
    """A stream has each event once, and no two runs are joined in it."""
    for book in callers.streams:
        numbers = [number for number, _ in book.events]
        fault = find_fault(book.text_id, [data for _, data in book.events])
        if numbers != list(range(len(numbers))):
            fault = fault or f'has events {numbers}'
        if fault:
            yield f'{book.text_id} {fault}'


def find_fault(text_id: str, lines: list[str]) -> str:
    """Find what is wrong with the first events of a text.

    Args:
      text_id: Id of the text.
      lines: Data of its events, in order.

    Returns:
      What is wrong; empty if nothing is.
    """
    software, run = None, None
    for number, line in enumerate(lines):
        event = platform_replica.parse_event_data(line)
        if event is None or (event.text_id, event.number) != (text_id, number):
            return f'has {line!r} as event {number}'
        if software not in (None, event.software):
            return f'has event {number} of another software version'
        software = event.software
        # A run goes on in its own events, or after the one it was asked for.
        if event.run != run and event.first != number:
            return (
                f'has event {number} of {event.run}, which was asked to'
                f' begin at event {event.first}'
            )
        run = event.run
    return ''
