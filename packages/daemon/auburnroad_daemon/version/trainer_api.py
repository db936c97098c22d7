"""Parses trainers' HTTP requests into typed actions; see docs/API.md."""

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
    """Body of PUT /version."""

    version: NonNegative


class GroupsBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of PUT /steps/STEP/groups."""

    version: NonNegative
    groups: typing.Annotated[list[ledgers.Prompt], msgspec.Meta(min_length=1)]
    generation: NonNegative = 0


class VoidBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of POST /steps/STEP/void."""

    generation: NonNegative


class ShowState(msgspec.Struct):
    """Show the trainer's state."""


class SetVersion(msgspec.Struct):
    """Set the trainer's weight version."""

    version: int


class SubmitGroups(msgspec.Struct):
    """Submit groups of a step."""

    version: int
    change: ledgers.AddGroups


class FetchStep(msgspec.Struct):
    """Fetch a step."""

    step: int
    generation: int
    version: int
    wait_seconds: float


class VoidStep(msgspec.Struct):
    """Void a sealed step."""

    step: int
    generation: int


Action = ShowState | SetVersion | SubmitGroups | FetchStep | VoidStep


def parse_trainer(target: str) -> str:
    """Parse the trainer's name from the path of a request.

    Args:
      target: Path of the request.

    Returns:
      Trainer's name.

    Raises:
      BadRequestError: If the path is not part of the interface.
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
      The requested action.

    Raises:
      BadRequestError: If the method, the path or a field is invalid.
    """
    match = _TARGET.match(request.path)
    if match is None:
        parse_trainer(request.path)
    if match['version'] and request.method == 'PUT':
        body = answers.parse_body(request.body, VersionBody)
        return SetVersion(body.version)
    if match['step'] is None and request.method == 'GET':
        return ShowState()
    if match['step'] is not None:
        return _parse_step_action(request, int(match['step']), match['act'])
    raise answers.BadRequestError(
        'unknown_method', f'{request.method} is not served', status=405
    )


def _parse_step_action(request, step: int, operation: str | None) -> Action:
    if operation == 'groups' and request.method == 'PUT':
        body = answers.parse_body(request.body, GroupsBody)
        names = [prompt.name for prompt in body.groups]
        if len(set(names)) < len(names):
            raise answers.BadRequestError(
                'bad_field', 'a group stands twice', 'groups'
            )
        change = ledgers.AddGroups(step, body.generation, body.groups)
        return SubmitGroups(body.version, change)
    if operation == 'void' and request.method == 'POST':
        body = answers.parse_body(request.body, VoidBody)
        return VoidStep(step, body.generation)
    if operation is None and request.method == 'GET':
        return _parse_fetch(request, step)
    raise answers.BadRequestError(
        'unknown_method', f'{request.method} is not served', status=405
    )


def _parse_fetch(request: messages.Request, step: int) -> FetchStep:
    query = request.query
    return FetchStep(
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
