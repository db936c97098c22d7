"""Prepares command-line arguments so that Fire does not reinterpret them."""

import typing

import fire

from auburnroad_client import exit_codes

BOOLEAN_FLAGS = ('--json', '--skip_silent')
MAX_NUMBER = 2**53


def parse_number(
    name: str, text: str, kind: typing.Callable[[str], typing.Any]
) -> typing.Any:
    """Parse the value of a numeric flag.

    Args:
      name: Name of the flag, for the error message.
      text: Value of the flag.
      kind: int or float.

    Returns:
      The number, between -1 and MAX_NUMBER.

    Raises:
      BadInputError: If the text is not a number or out of range.
    """
    try:
        number = kind(text)
    except ValueError:
        number = None
    # This comparison also refuses infinity and NaN.
    if number is None or not -1 <= number <= MAX_NUMBER:
        raise exit_codes.BadInputError(
            f'{name}: {text!r} is not a valid number'
        )
    return number


def normalize(words: list[str]) -> list[str]:
    """Rewrite arguments so that Fire passes them on unchanged.

    A boolean flag gets an explicit value, since Fire would read
    '--json status' as the value 'status' of --json. An argument that Fire
    would evaluate, such as a host named 1e5, is quoted.

    Args:
      words: Arguments after the program's name.

    Returns:
      Arguments for Fire.
    """
    normal = []
    for word in words:
        name, equals, value = word.partition('=')
        if word in BOOLEAN_FLAGS:
            normal.append(f'{word}=True')
        elif word.startswith('--'):
            normal.append(name + equals + _quote_for_fire(value))
        else:
            normal.append(_quote_for_fire(word))
    return normal


def _quote_for_fire(text: str) -> str:
    return text if fire.parser.DefaultParseValue(text) == text else repr(text)
