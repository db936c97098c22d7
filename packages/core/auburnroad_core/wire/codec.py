"""Messages to msgpack bytes and back, checked against their types.

The unpacker's limits keep a hostile or truncated stream from taking memory;
msgspec then checks every field, so that nothing behind this module meets an
unexpected type.
"""

import typing

import msgpack
import msgspec

from auburnroad_core import errors
from auburnroad_core.wire import messages

MAX_MESSAGE_BYTES = 64 * 1024 * 1024

_ENCODER = msgspec.msgpack.Encoder()
# By tag, since msgspec prepares a union anew at each conversion to it.
_SHAPES = {
    shape.__struct_config__.tag: shape
    for shape in typing.get_args(messages.AnyMessage)
}


class WireError(errors.AuburnroadError):
    """Bytes on a stream that are no message of ours."""


def encode_message(message: messages.Message) -> bytes:
    """Encode one message.

    Args:
      message: The message.

    Returns:
      Its msgpack form in bytes.
    """
    return _ENCODER.encode(message)


class Decoder:
    """Splits the bytes of one stream into messages."""

    __slots__ = ('_unpacker',)

    def __init__(self, max_message_bytes: int = MAX_MESSAGE_BYTES):
        self._unpacker = msgpack.Unpacker(
            raw=False, max_buffer_size=max_message_bytes
        )

    def feed(self, data: bytes) -> list[messages.Message]:
        """Take bytes in and return the messages that they complete.

        Args:
          data: Bytes as they came from the socket.

        Returns:
          Messages in the order of the stream.

        Raises:
          WireError: If the bytes are no message or exceed the limit.
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
            raise WireError(f'hostile or truncated frame: {error}') from error


def _convert(value: object) -> messages.Message:
    """Check an unpacked value against the type that its tag names."""
    tag = value[0] if isinstance(value, list) and value else None
    shape = _SHAPES.get(tag) if type(tag) is int else None
    if shape is None:
        raise msgspec.ValidationError('unknown kind of message')
    return msgspec.convert(value, shape)
