"""Reads the events of a replica's stream, whole ones only.

A replica may stop in the middle of an event; what is not whole is dropped,
and the stream can be resumed behind the last whole one.
"""

import typing

import msgspec

from auburnroad_core.http import client
from auburnroad_gateway import adapter as adapters


class Event(msgspec.Struct, frozen=True):
    """One event.

    Attributes:
      id: Its number, None if it has none.
      data: Its data, several lines joined by line feeds.
      version: Weight version from this event on, if it has changed.
      raw: Its bytes with the blank line that ends it.
    """

    id: int | None
    data: str
    version: int | None
    raw: bytes


async def iterate_events(
    reply: client.Reply, adapter: adapters.Adapter
) -> typing.AsyncIterator[Event]:
    """Yield events as they come.

    Args:
      reply: The opened stream.
      adapter: Finds a changed weight version.

    Yields:
      Whole events.

    Raises:
      client.BrokenError: If the stream doesn't reach its end.
    """
    rest = b''
    async for part in reply.iterate():
        rest += part.replace(b'\r\n', b'\n')
        *whole, rest = rest.split(b'\n\n')
        for raw in whole:
            yield parse_event(raw, adapter)
    if rest.strip():
        raise client.BrokenError('the stream ends within an event')


def parse_event(raw: bytes, adapter: adapters.Adapter) -> Event:
    """Parse one event.

    Args:
      raw: Its lines, without the blank one.
      adapter: Finds a changed weight version.

    Returns:
      The event.
    """
    version, text = adapter.split_event_version(raw.decode('utf-8', 'replace'))
    number = None
    data = []
    for line in text.split('\n'):
        name, _, value = line.partition(':')
        value = value.removeprefix(' ')
        if name == 'data':
            data.append(value)
        elif name == 'id' and value.isdecimal():
            number = int(value)
    return Event(number, '\n'.join(data), version, raw + b'\n\n')
