"""Idempotency keys: UUIDs of version 7, which hold the time they were made.

A key that tells its own age can be refused when it is too old for the log to
still hold its record, with nothing to remember.
"""

import uuid

_TIME_SHIFT_BITS = 80
_VERSION = 7
_VERSION_SHIFT_BITS = 76
_VARIANT = 2
_VARIANT_SHIFT_BITS = 62
_HIGH_RANDOM_BITS = 12
_LOW_RANDOM_MASK = (1 << _VARIANT_SHIFT_BITS) - 1


def parse_key(text: str) -> str | None:
    """Parse a caller's key into the one form that is compared and recorded.

    Args:
      text: A UUID in any of its usual forms.

    Returns:
      The key in canonical form, or None when it is no UUID of version 7.
    """
    try:
        parsed = uuid.UUID(text)
    except ValueError:
        return None
    if parsed.variant != uuid.RFC_4122 or parsed.version != _VERSION:
        return None
    return str(parsed)


def read_time_ms(key: str) -> int:
    """Read when a key was made.

    Args:
      key: A key in canonical form.

    Returns:
      Unix milliseconds by the clock of whoever made it.
    """
    return uuid.UUID(key).int >> _TIME_SHIFT_BITS


def build_key(now_ms: int) -> str:
    """Build a key for a request that came without one.

    Args:
      now_ms: Unix milliseconds.

    Returns:
      The key in canonical form.
    """
    random = uuid.uuid4().int
    high = random >> (128 - _HIGH_RANDOM_BITS)
    return str(
        uuid.UUID(
            int=now_ms << _TIME_SHIFT_BITS
            | _VERSION << _VERSION_SHIFT_BITS
            | high << (_VERSION_SHIFT_BITS - _HIGH_RANDOM_BITS)
            | _VARIANT << _VARIANT_SHIFT_BITS
            | random & _LOW_RANDOM_MASK
        )
    )
