"""Parses the event stream of a replica into complete events.

A replica may fail in the middle of an event. The incomplete event is dropped,
so that the stream can be resumed after the last complete event. A replica may
also send bytes without end that are no events.
"""

import typing

import msgspec

from auburnroad_core import decoding
from auburnroad_core.http import client
from auburnroad_gateway import adapter as adapters


# Names of fields without data (HTML standard, section 9.2.6); a comment has an
# empty name.
FIELD_NAMES = (b'', b'event', b'id', b'retry', b'data')
# Size of one event, with the bytes before it that are no events.
MAX_EVENT_BYTES = 1 << 20


class Event(msgspec.Struct, frozen=True):
    """One event of a stream.

    Attributes:
      id: Number of the event; None if the event has none.
      data: Data of the event; several data lines are joined by line feeds.
      version: Weight version from this event on; None if it is unchanged.
      raw: Bytes of the event, including the blank line that ends it.
    """

    id: int | None
    data: str
    version: int | None
    raw: bytes


async def iterate_events(
    reply: client.Reply, adapter: adapters.Adapter
) -> typing.AsyncIterator[Event]:
    """Yield the events of a stream as they arrive.

    Args:
      reply: Open reply whose body is the stream.
      adapter: Splits a changed weight version from an event.

    Yields:
      Complete events.

    Raises:
      client.BrokenError: If the stream breaks before its end, or has bytes
        that belong to no event stream, or too many without an event.
    """
    buffer = b''
    skipped_bytes = 0
    async for chunk in reply.iterate():
        buffer += chunk.replace(b'\r\n', b'\n')
        *complete, buffer = buffer.split(b'\n\n')
        for raw in complete:
            event = parse_event(raw, adapter)
            if event.id is None and not event.data:
                if event.version is None:
                    _check_fields(raw)
                skipped_bytes += len(event.raw)
                continue
            skipped_bytes = 0
            yield event
        if skipped_bytes + len(buffer) > MAX_EVENT_BYTES:
            raise client.BrokenError('too many bytes without an event')
    if buffer.strip():
        raise client.BrokenError(
            'event stream ended in the middle of an event'
        )


def _check_fields(raw: bytes) -> None:
    """Check that lines without data may be part of an event stream.

    Raises:
      client.BrokenError: A line is neither a comment nor a field.
    """
    for line in raw.splitlines():
        name = line.partition(b':')[0]
        if line and name not in FIELD_NAMES:
            raise client.BrokenError(f'no line of an event: {line[:60]!a}')


def parse_event(raw: bytes, adapter: adapters.Adapter) -> Event:
    """Parse one event.

    Args:
      raw: Lines of the event, without the blank line that ends it.
      adapter: Splits a changed weight version from the event.

    Returns:
      The event; its data is empty if it has no data line.
    """
    version, text = adapter.split_event_version(raw.decode('utf-8', 'replace'))
    event_id = None
    data = []
    for line in text.split('\n'):
        name, _, value = line.partition(':')
        value = value.removeprefix(' ')
        if name == 'data':
            data.append(value)
        elif name == 'id':
            event_id = decoding.parse_count(value)
    return Event(event_id, '\n'.join(data), version, raw + b'\n\n')
