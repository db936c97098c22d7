"""Packs answers for the log service.

Each publication carries all answers, and whoever starts reads those of a
whole day. They repeat themselves, so they travel as a JSON string that holds
compressed JSON; plain JSON is read as well.
"""

import base64
import typing
import zlib

import msgspec

MAX_ANSWERS_BYTES = 64 * 1024 * 1024


class PackError(ValueError):
    """What stands in the log is no packed JSON."""


def pack_answers(answers: msgspec.Struct) -> msgspec.Raw:
    """Pack answers.

    Args:
      answers: The answers.

    Returns:
      A JSON string.
    """
    packed = base64.b64encode(zlib.compress(msgspec.json.encode(answers)))
    return msgspec.Raw(msgspec.json.encode(packed.decode()))


def unpack_answers(raw: msgspec.Raw) -> typing.Any:
    """Unpack answers that stand in the log.

    Args:
      raw: A JSON string, or plain JSON.

    Returns:
      The answers as plain values; None when there are none.

    Raises:
      PackError: If it is neither, or too large.
    """
    try:
        value = msgspec.json.decode(raw)
        if not isinstance(value, str):
            return value
        unpacker = zlib.decompressobj()
        data = base64.b64decode(value, validate=True)
        text = unpacker.decompress(data, MAX_ANSWERS_BYTES)
        if not unpacker.eof:
            raise PackError('the answers are cut off or too large')
        return msgspec.json.decode(text)
    except (msgspec.MsgspecError, ValueError, zlib.error) as error:
        raise PackError(str(error)) from error
