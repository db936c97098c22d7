"""Compares two values field by field.

Members of lists are matched by name, so that a host inserted at the front of
a list is one addition and not a change of every host.
"""

import typing

import msgspec

MAX_SHOWN_CHARACTERS = 60


class Change(msgspec.Struct, frozen=True):
    """One field that differs.

    Attributes:
      field: Path such as 'services[drafter-llm].slots'.
      old: Plain value before, None if the field is added.
      new: Plain value after, None if the field is removed.
    """

    field: str
    old: typing.Any
    new: typing.Any

    def __str__(self) -> str:
        if self.old is None:
            return f'{self.field}: added {_to_text(self.new)}'
        if self.new is None:
            return f'{self.field}: removed {_to_text(self.old)}'
        return f'{self.field}: {_to_text(self.old)} -> {_to_text(self.new)}'


def _to_text(value: typing.Any) -> str:
    """Format a value as short text; named members as their names."""
    if isinstance(value, dict) and 'name' in value:
        return str(value['name'])
    if value and _is_named(value):
        text = ', '.join(member['name'] for member in value)
    else:
        text = msgspec.json.encode(value).decode()
    if len(text) > MAX_SHOWN_CHARACTERS:
        return text[:MAX_SHOWN_CHARACTERS] + '...'
    return text


def compare_values(old: typing.Any, new: typing.Any) -> list[Change]:
    """Find all fields that differ.

    Args:
      old: Struct or plain value before; None for nothing.
      new: Struct or plain value after.

    Returns:
      The changes in the order of the fields.
    """
    return list(_compare(_to_plain(old), _to_plain(new), ''))


def _to_plain(value: typing.Any) -> typing.Any:
    """Convert a value to the plain value that its JSON decodes to."""
    return msgspec.json.decode(msgspec.json.encode(value))


def _compare(old, new, path):
    if isinstance(old, dict) and isinstance(new, dict):
        yield from _compare_members(old, new, path, '{}.{}')
    elif _is_named(old) and _is_named(new):
        yield from _compare_members(
            _index_by_name(old), _index_by_name(new), path, '{}[{}]'
        )
    elif old != new:
        yield Change(path, old, new)


def _compare_members(old, new, path, template):
    for name in [*old, *(name for name in new if name not in old)]:
        inner = template.format(path, name).removeprefix('.')
        yield from _compare(old.get(name), new.get(name), inner)


def _is_named(value) -> bool:
    """Return whether a value is a list whose members have names."""
    return isinstance(value, list) and all(
        isinstance(member, dict) and 'name' in member for member in value
    )


def _index_by_name(members: list) -> dict:
    return {member['name']: member for member in members}
