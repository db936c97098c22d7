"""Asks another daemon for one message, over a stream of its own."""

import asyncio
import typing

from auburnroad_core.wire import codec
from auburnroad_core.wire import messages

TIMEOUT_SECONDS = 1.0
READ_BYTES = 65536

Wanted = typing.TypeVar('Wanted', bound=messages.Message)


class NoMessageError(codec.WireError):
    """The peer closed the stream without the message."""


async def ask(
    address: str, wanted: type[Wanted], hello: messages.Hello | None = None
) -> Wanted:
    """Connect to a daemon and wait for a message of one type.

    Args:
      address: 'IP number:port' of its streams.
      wanted: Type of the message.
      hello: Introduction of this daemon, for what isn't told to everyone.

    Returns:
      The first message of that type.

    Raises:
      OSError: If it can't be reached.
      TimeoutError: If the message does not come.
      WireError: If what comes is no stream of messages.
    """
    host, _, port = address.rpartition(':')
    async with asyncio.timeout(TIMEOUT_SECONDS):
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            if hello is not None:
                writer.write(codec.encode_message(hello))
            return await _find(reader, wanted)
        finally:
            writer.close()


async def _find(reader, wanted):
    decoder = codec.Decoder()
    while data := await reader.read(READ_BYTES):
        for message in decoder.feed(data):
            if isinstance(message, wanted):
                return message
    raise NoMessageError(f'closed without {wanted.__name__}')
