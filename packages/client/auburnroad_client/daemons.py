"""Queries the HTTP interface of daemons.

A daemon that doesn't answer yields a reply with an error and fails no command
on its own. Missing members of an answer read as empty, so that client and
daemons of different versions work together.
"""

import asyncio
import typing

import msgspec

from auburnroad_client.questionnaire import answers as answer_types
from auburnroad_client.questionnaire import generate
from auburnroad_core import decoding
from auburnroad_core.http import client

REQUEST_TIMEOUT_SECONDS = 3.0
MAX_CONCURRENT_REQUESTS = 32

Rows = list[dict[str, typing.Any]]


class Place(msgspec.Struct, frozen=True):
    """HTTP address of a daemon and its host, role and failure domain.

    Attributes:
      address: HTTP address.
      host: Host's name, or empty if unknown.
      role: 'entry' or 'side', or empty if unknown.
      failure_domain: Failure domain, or empty if unknown.
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
    """Result of a request to one daemon.

    Attributes:
      place: Address, host, role and failure domain of the daemon.
      status: HTTP status, zero without an answer.
      body: Body of the answer in bytes.
      error: Reason why there is no answer, or empty.
    """

    place: Place
    status: int = 0
    body: bytes = b''
    error: str = ''


def list_places(answers: answer_types.Answers) -> list[Place]:
    """List the address, host and role of all daemons of a deployment.

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


async def fetch_all(places: list[Place], path: str) -> list[Reply]:
    """Send the same GET request to daemons, several at once.

    Args:
      places: Addresses of the daemons.
      path: Path of the URL, with the query.

    Returns:
      One reply for each place, in order.
    """
    http_client = client.HttpClient()
    limit = asyncio.Semaphore(MAX_CONCURRENT_REQUESTS)

    async def fetch_one(place: Place) -> Reply:
        async with limit:
            return await _fetch(http_client, place, path)

    try:
        return await asyncio.gather(*[fetch_one(place) for place in places])
    finally:
        http_client.close()


async def _fetch(http_client, place: Place, path: str) -> Reply:
    request = client.build_json_request('GET', path)
    try:
        response = await http_client.fetch(
            place.address, request, REQUEST_TIMEOUT_SECONDS
        )
    except client.HttpError as error:
        return Reply(place, error=str(error))
    return Reply(place, response.status, response.body)


def parse_status(reply: Reply) -> Status | None:
    """Parse the answer of GET /status.

    Args:
      reply: Reply of a daemon.

    Returns:
      The status, or None if the reply is not a valid status.
    """
    if reply.status != 200:
        return None
    try:
        return decoding.decode_json(reply.body, Status)
    except msgspec.DecodeError:
        return None


def build_rows(value: typing.Any) -> Rows:
    """Convert a member of a status to rows.

    Args:
      value: A list of objects, an object of objects or of plain values by
        name, or nothing.

    Returns:
      One row per object or value.
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
