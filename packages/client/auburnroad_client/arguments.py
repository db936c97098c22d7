"""Brings command lines into the form in which Fire takes them as they are."""

import typing

import fire

from auburnroad_client import exit_codes

BOOLEAN_FLAGS = ('--json', '--skip_silent')
LARGEST_NUMBER = 2**53


def parse_number(
    name: str, text: str, kind: typing.Callable[[str], typing.Any]
) -> typing.Any:
    """Parse the number of a flag.

    Args:
      name: Flag's name for the error.
      text: What was given.
      kind: int or float.

    Returns:
      The number, from -1 on.

    Raises:
      BadInputError: If it is none, or out of range.
    """
    try:
        number = kind(text)
    except ValueError:
        number = None
    # The bounds refuse infinity, and what compares with no number.
    if number is None or not -1 <= number <= LARGEST_NUMBER:
        raise exit_codes.BadInputError(f'{name}: {text!r} is no such number')
    return number


def normalize(words: list[str]) -> list[str]:
    """Bring words into the form in which Fire takes them as they are.

    A flag that stands alone gets a value, since Fire would read
    '--json status' as the value 'status' of --json. What Fire would evaluate,
    such as a host named 1e5, is quoted.

    Args:
      words: Words after the program's name.

    Returns:
      Words for Fire.
    """
    normal = []
    for word in words:
        name, equals, value = word.partition('=')
        if word in BOOLEAN_FLAGS:
            normal.append(f'{word}=True')
        elif word.startswith('--'):
            normal.append(name + equals + _quote(value))
        else:
            normal.append(_quote(word))
    return normal


def _quote(text: str) -> str:
    return text if fire.parser.DefaultParseValue(text) == text else repr(text)
