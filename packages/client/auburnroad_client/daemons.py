"""Asks daemons over HTTP what they know.

A daemon that doesn't answer is reported as such and never fails a command on
its own. Members that a daemon leaves out are taken as empty, so that client
and daemons of different versions work together.
"""

import asyncio
import typing

import msgspec

from auburnroad_client.questionnaire import answers as answer_types
from auburnroad_client.questionnaire import generate
from auburnroad_core.http import client

TIMEOUT_SECONDS = 3.0
ASKED_AT_ONCE = 32

Rows = list[dict[str, typing.Any]]


class Place(msgspec.Struct, frozen=True):
    """Where a daemon answers.

    Attributes:
      address: Its HTTP address.
      host: Host's name, or empty when it is not known.
      role: 'entry' or 'side', or empty.
      failure_domain: Failure domain, or empty.
    """

    address: str
    host: str = ''
    role: str = ''
    failure_domain: str = ''


class Status(msgspec.Struct):
    """Answer of GET /status."""

    daemon: str = ''
    role: str = ''
    host: str = ''
    failure_domain: str = ''
    incarnation: str = ''
    revision: int = -1
    leaving: bool = False
    hosts: typing.Any = None
    replicas: typing.Any = None
    trainers: typing.Any = None
    versions: typing.Any = None


class Reply(msgspec.Struct):
    """What came of asking one daemon.

    Attributes:
      place: Whom was asked.
      status: HTTP status, zero when there was no answer.
      body: Body of the answer in bytes.
      error: Why there was no answer, or empty.
    """

    place: Place
    status: int = 0
    body: bytes = b''
    error: str = ''


def list_places(answers: answer_types.Answers) -> list[Place]:
    """List where all daemons of a deployment answer.

    Args:
      answers: Checked answers.

    Returns:
      Entries first, then sides.
    """
    return [
        Place(
            settings.http_address,
            settings.host,
            settings.role,
            settings.failure_domain,
        )
        for settings in generate.build_daemons(answers)
    ]


async def ask(places: list[Place], target: str) -> list[Reply]:
    """Ask daemons the same question, several at once.

    Args:
      places: Whom to ask.
      target: Path with its query.

    Returns:
      One reply for each place, in order.
    """
    http_client = client.HttpClient()
    limit = asyncio.Semaphore(ASKED_AT_ONCE)

    async def ask_one(place: Place) -> Reply:
        async with limit:
            return await _fetch(http_client, place, target)

    try:
        return await asyncio.gather(*[ask_one(place) for place in places])
    finally:
        http_client.close()


async def _fetch(http_client, place: Place, target: str) -> Reply:
    request = client.json_request('GET', target)
    try:
        response = await http_client.fetch(
            place.address, request, TIMEOUT_SECONDS
        )
    except client.HttpError as error:
        return Reply(place, error=str(error))
    return Reply(place, response.status, response.body)


def parse_status(reply: Reply) -> Status | None:
    """Parse the answer of GET /status.

    Args:
      reply: What came of asking.

    Returns:
      The status, or None when there is none.
    """
    if reply.status != 200:
        return None
    try:
        return msgspec.json.decode(reply.body, type=Status)
    except msgspec.DecodeError:
        return None


def build_rows(value: typing.Any) -> Rows:
    """Bring a member of a status into rows.

    Args:
      value: A list of objects, an object of objects or of plain values by
        name, or nothing.

    Returns:
      One row for each.
    """
    if isinstance(value, list):
        return [
            row if isinstance(row, dict) else {'name': row} for row in value
        ]
    if not isinstance(value, dict):
        return []
    return [
        {'name': name, **row}
        if isinstance(row, dict)
        else {'name': name, 'value': row}
        for name, row in value.items()
    ]
