"""Requests one message from another daemon over a short-lived stream.

It serves exchanges with daemons to which no permanent link is open.
"""

import asyncio
import typing

from auburnroad_core.wire import codec
from auburnroad_core.wire import messages

TIMEOUT_SECONDS = 1.0
READ_BYTES = 65536

MessageT = typing.TypeVar('MessageT', bound=messages.Message)


class NoMessageError(codec.WireError):
    """The peer closed the stream before it sent the expected message."""


async def ask(
    address: str,
    message_type: type[MessageT],
    hello: messages.Hello | None = None,
) -> MessageT:
    """Connect to a daemon and wait for a message of one type.

    Args:
      address: Stream address of the daemon, 'IP address:port'.
      message_type: Type of the message.
      hello: Hello message of this daemon; required for messages that the
        peer sends only to daemons that introduced themselves.

    Returns:
      The first message of that type.

    Raises:
      OSError: If the connection can't be opened.
      TimeoutError: If the message doesn't arrive within TIMEOUT_SECONDS.
      WireError: If the received bytes are not valid messages, or the peer
        closes the stream before it sends the message.
    """
    host, _, port = address.rpartition(':')
    async with asyncio.timeout(TIMEOUT_SECONDS):
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            if hello is not None:
                writer.write(codec.encode_message(hello))
            return await _read_until(reader, message_type)
        finally:
            writer.close()


async def _read_until(reader, message_type):
    decoder = codec.Decoder()
    while data := await reader.read(READ_BYTES):
        for message in decoder.feed(data):
            if isinstance(message, message_type):
                return message
    raise NoMessageError(
        f'peer closed the stream before sending {message_type.__name__}'
    )
