"""Compresses answers for the log service.

Each publication contains all answers, and a process that starts reads the
publications of a whole day. Since answers are repetitive, they are stored as a
JSON string of compressed, base64-encoded JSON. Plain JSON is read as well.
"""

import base64
import typing
import zlib

import msgspec

MAX_ANSWERS_BYTES = 64 * 1024 * 1024


class PackError(ValueError):
    """The text is neither packed answers nor plain JSON."""


def pack_answers(answers: msgspec.Struct) -> msgspec.Raw:
    """Pack answers as a JSON string of compressed JSON.

    Args:
      answers: The answers.

    Returns:
      A JSON string.
    """
    packed = base64.b64encode(zlib.compress(msgspec.json.encode(answers)))
    return msgspec.Raw(msgspec.json.encode(packed.decode()))


def unpack_answers(raw: msgspec.Raw) -> typing.Any:
    """Unpack answers that were read from the log.

    Args:
      raw: A JSON string, or plain JSON.

    Returns:
      The answers as plain values; None if there are none.

    Raises:
      PackError: If the text is neither, or the answers are too large.
    """
    try:
        value = msgspec.json.decode(raw)
        if not isinstance(value, str):
            return value
        unpacker = zlib.decompressobj()
        data = base64.b64decode(value, validate=True)
        text = unpacker.decompress(data, MAX_ANSWERS_BYTES)
        if not unpacker.eof:
            raise PackError('the answers are truncated or too large')
        return msgspec.json.decode(text)
    except (msgspec.MsgspecError, ValueError, zlib.error) as error:
        raise PackError(str(error)) from error
