"""Encodes messages to msgpack and decodes them with type checks.

The unpacker's limits bound the memory that a malicious or truncated stream
can use. msgspec then checks every field, so that other modules never receive
a value of an unexpected type.
"""

import typing

import msgpack
import msgspec

from auburnroad_core import errors
from auburnroad_core.wire import messages

MAX_MESSAGE_BYTES = 64 * 1024 * 1024

_ENCODER = msgspec.msgpack.Encoder()
# Message types by tag. A value is converted to the type of its tag instead of
# the union, because msgspec prepares a union again for each conversion.
_MESSAGE_TYPES = {
    message_type.__struct_config__.tag: message_type
    for message_type in typing.get_args(messages.AnyMessage)
}


class WireError(errors.AuburnroadError):
    """Bytes on a stream that are not a valid message."""


def encode_message(message: messages.Message) -> bytes:
    """Encode one message as msgpack.

    Args:
      message: Message to encode.

    Returns:
      The encoded message.
    """
    return _ENCODER.encode(message)


class Decoder:
    """Incremental decoder for the messages of one stream."""

    __slots__ = ('_unpacker',)

    def __init__(self, max_message_bytes: int = MAX_MESSAGE_BYTES):
        self._unpacker = msgpack.Unpacker(
            raw=False, max_buffer_size=max_message_bytes
        )

    def feed(self, data: bytes) -> list[messages.Message]:
        """Add received bytes and return the messages that are now complete.

        Args:
          data: Bytes read from the socket, split at any position.

        Returns:
          Messages in the order of the stream.

        Raises:
          WireError: If the bytes are not a valid message or exceed the size
            limit.
        """
        try:
            self._unpacker.feed(data)
            return [_convert(value) for value in self._unpacker]
        except (
            msgpack.UnpackException,
            msgspec.ValidationError,
            ValueError,
            RecursionError,
        ) as error:
            raise WireError(f'invalid message: {error}') from error


def _convert(value: object) -> messages.Message:
    """Convert an unpacked value to the message type of its tag."""
    tag = value[0] if isinstance(value, list) and value else None
    message_type = _MESSAGE_TYPES.get(tag) if type(tag) is int else None
    if message_type is None:
        raise msgspec.ValidationError('unknown message type')
    return msgspec.convert(value, message_type)
