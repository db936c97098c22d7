"""Idempotency keys: UUIDs of version 7, which contain their creation time.

Because the age of a key follows from the key itself, a key whose records may
have expired from the log can be rejected without any stored state.
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
    """Parse a caller's key into the canonical form.

    Only the canonical form is compared and stored.

    Args:
      text: A UUID in any of its usual forms.

    Returns:
      The key in canonical form, or None when it is not a UUID of version 7.
    """
    try:
        parsed = uuid.UUID(text)
    except ValueError:
        return None
    if parsed.variant != uuid.RFC_4122 or parsed.version != _VERSION:
        return None
    return str(parsed)


def read_time_ms(key: str) -> int:
    """Read the creation time of a key.

    Args:
      key: A key in canonical form.

    Returns:
      Unix milliseconds, by the clock of the key's creator.
    """
    return uuid.UUID(key).int >> _TIME_SHIFT_BITS


def build_key(now_ms: int) -> str:
    """Build a new key for a request without a key.

    Args:
      now_ms: Current time in Unix milliseconds.

    Returns:
      The key in canonical form.
    """
    random_bits = uuid.uuid4().int
    high_bits = random_bits >> (128 - _HIGH_RANDOM_BITS)
    return str(
        uuid.UUID(
            int=now_ms << _TIME_SHIFT_BITS
            | _VERSION << _VERSION_SHIFT_BITS
            | high_bits << (_VERSION_SHIFT_BITS - _HIGH_RANDOM_BITS)
            | _VARIANT << _VARIANT_SHIFT_BITS
            | random_bits & _LOW_RANDOM_MASK
        )
    )
