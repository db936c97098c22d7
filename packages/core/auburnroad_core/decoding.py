"""Decodes data that other programs write.

Such data may be malformed in any way. msgspec reports some of these faults
with errors of other types, for example RecursionError for deeply nested
arrays, and an integer may be larger than any encoder accepts. Here each of
them is a msgspec.DecodeError, so that a caller that handles malformed data
handles all of it.
"""

import functools
import ipaddress
import typing

import msgspec

# Largest integer that all JSON implementations agree on (RFC 8259, section 6).
MAX_INTEGER = 2**53 - 1
MAX_PORT = 65535
# Largest number of digits of an integer in a header or an event.
_MAX_DIGITS = len(str(MAX_INTEGER))

Count = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]
Duration = typing.Annotated[float, msgspec.Meta(ge=0, le=MAX_INTEGER)]


def decode_json(data: bytes, data_type):
    """Decode JSON as a type.

    Args:
      data: Bytes that another program wrote.
      data_type: Type of the value, for example a msgspec.Struct.

    Returns:
      The value.

    Raises:
      msgspec.DecodeError: If the data is not a valid value of the type.
    """
    return _decode(_find_json_decoder(data_type), data)


def decode_msgpack(data: bytes, data_type):
    """Decode msgpack as a type; see decode_json."""
    return _decode(_find_msgpack_decoder(data_type), data)


def parse_count(text: str) -> int | None:
    """Parse a count of at most MAX_INTEGER.

    Args:
      text: Decimal digits.

    Returns:
      The count; None if the text is anything else.
    """
    if not text.isascii() or not text.isdecimal() or len(text) > _MAX_DIGITS:
        return None
    count = int(text)
    return count if count <= MAX_INTEGER else None


def is_host_address(address: str) -> bool:
    """Tell whether a text is the address of a port on a host.

    Args:
      address: Text such as '10.1.0.10:8263'.

    Returns:
      Whether it consists of an IPv4 address of one host and a port number.
    """
    host, _, port = address.rpartition(':')
    number = parse_count(port)
    if not number or number > MAX_PORT:
        return False
    try:
        ip = ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return not (ip.is_unspecified or ip.is_multicast or ip.is_reserved)


@functools.cache
def _find_json_decoder(data_type) -> msgspec.json.Decoder:
    return msgspec.json.Decoder(data_type)


@functools.cache
def _find_msgpack_decoder(data_type) -> msgspec.msgpack.Decoder:
    return msgspec.msgpack.Decoder(data_type)


def _decode(decoder, data: bytes):
    try:
        return decoder.decode(data)
    except msgspec.DecodeError:
        raise
    except (ValueError, OverflowError, RecursionError) as error:
        raise msgspec.DecodeError(str(error)) from error
