"""Parses the trainers' HTTP interface into typed calls; see docs/API.md."""

import re
import typing

import msgspec

from auburnroad_core.http import messages
from auburnroad_daemon.request import answers
from auburnroad_daemon.version import ledger as ledgers

PREFIX = '/v1/trainers/'
MAX_WAIT_SECONDS = 30.0

NonNegative = typing.Annotated[int, msgspec.Meta(ge=0)]

_TARGET = re.compile(
    r'^/v1/trainers/(?P<trainer>[a-z0-9-]+)'
    r'(/(?P<version>version)|/steps/(?P<step>\d{1,12})(/(?P<act>\w+))?)?$'
)


class VersionBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of PUT version."""

    version: NonNegative


class GroupsBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of PUT groups."""

    version: NonNegative
    groups: typing.Annotated[list[ledgers.Prompt], msgspec.Meta(min_length=1)]
    generation: NonNegative = 0


class VoidBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of POST void."""

    generation: NonNegative


class Show(msgspec.Struct):
    """Ask for the trainer's state."""


class SetVersion(msgspec.Struct):
    """Tell the trainer's version."""

    version: int


class Submit(msgspec.Struct):
    """Submit groups."""

    version: int
    change: ledgers.AddGroups


class Take(msgspec.Struct):
    """Take a step."""

    step: int
    generation: int
    version: int
    wait_seconds: float


class Void(msgspec.Struct):
    """Give a sealed step up."""

    step: int
    generation: int


Action = Show | SetVersion | Submit | Take | Void


def parse_trainer(target: str) -> str:
    """Find which trainer a request is about.

    Args:
      target: Path of the request.

    Returns:
      Trainer's name.

    Raises:
      BadRequestError: If the path is none of the interface.
    """
    match = _TARGET.match(target)
    if match is None:
        raise answers.BadRequestError(
            'unknown_path', 'see docs/API.md for the paths', status=404
        )
    return match['trainer']


def parse_action(request: messages.Request) -> Action:
    """Parse a trainer's request.

    Args:
      request: The request.

    Returns:
      What the trainer wants.

    Raises:
      BadRequestError: If the method, the path or a field is wrong.
    """
    match = _TARGET.match(request.path)
    if match is None:
        parse_trainer(request.path)
    if match['version'] and request.method == 'PUT':
        body = answers.parse_body(request.body, VersionBody)
        return SetVersion(body.version)
    if match['step'] is None and request.method == 'GET':
        return Show()
    if match['step'] is not None:
        return _parse_step_action(request, int(match['step']), match['act'])
    raise answers.BadRequestError(
        'unknown_method', f'{request.method} is not served', status=405
    )


def _parse_step_action(request, step: int, act: str | None) -> Action:
    if act == 'groups' and request.method == 'PUT':
        body = answers.parse_body(request.body, GroupsBody)
        names = [prompt.name for prompt in body.groups]
        if len(set(names)) < len(names):
            raise answers.BadRequestError(
                'bad_field', 'a group stands twice', 'groups'
            )
        change = ledgers.AddGroups(step, body.generation, body.groups)
        return Submit(body.version, change)
    if act == 'void' and request.method == 'POST':
        body = answers.parse_body(request.body, VoidBody)
        return Void(step, body.generation)
    if act is None and request.method == 'GET':
        return _parse_take(request, step)
    raise answers.BadRequestError(
        'unknown_method', f'{request.method} is not served', status=405
    )


def _parse_take(request: messages.Request, step: int) -> Take:
    query = request.query
    return Take(
        step,
        _parse_number(query, 'generation', '0'),
        _parse_number(query, 'version', None),
        _parse_wait(request.headers.get('prefer', '')),
    )


def _parse_number(query: dict[str, str], name: str, default) -> int:
    text = query.get(name, default)
    if text is None or not text.isdecimal():
        raise answers.BadRequestError(
            'bad_field', 'a whole number is needed', name
        )
    return int(text)


def _parse_wait(prefer: str) -> float:
    match = re.search(r'\bwait=(\d{1,6})\b', prefer)
    return min(float(match[1]), MAX_WAIT_SECONDS) if match else 0.0
