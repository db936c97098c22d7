"""One attempt of a request at one replica.

An attempt ends in one of three ways that retries must tell apart: an answer
of the replica's, the certainty that the request did not run, or not knowing.
"""

import enum
import time

import msgspec

from auburnroad_core.http import client
from auburnroad_core.http import messages
from auburnroad_gateway import adapter as adapters
from auburnroad_gateway.directory import replica
from auburnroad_gateway.model import call

MISDIRECTED = 421
FIRST_SERVER_ERROR = 500
# Another replica has the address now; the registry tells soon.
MISDIRECTED_SECONDS = 2.0

# Headers that concern one connection only.
HOP_HEADERS = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'content-length',
        'expect',
    )
)


class End(enum.Enum):
    """How an attempt ended."""

    ANSWERED = 'answered'
    NOT_RUN = 'not run'
    UNKNOWN = 'unknown'


class Outcome(msgspec.Struct, frozen=True):
    """What became of an attempt.

    Attributes:
      end: How it ended.
      reason: Why, for logs.
      response: The replica's answer, if there is one.
    """

    end: End
    reason: str
    response: messages.Response | None = None

    @property
    def succeeded(self) -> bool:
        """Whether the replica answered with success."""
        return (
            self.end is End.ANSWERED
            and self.response.status < FIRST_SERVER_ERROR
        )


class Opened(msgspec.Struct, frozen=True):
    """The head of a replica's answer, whose body is on its way.

    Attributes:
      reply: To read the body from.
      head: Its decoded head.
    """

    reply: client.Reply
    head: call.AnswerHead


def drop_hop_headers(headers: dict[str, str]) -> dict[str, str]:
    """Keep the headers that are meant for the far end.

    Args:
      headers: By lower-case name, as they came.

    Returns:
      Those to forward.
    """
    named = {
        name.strip().lower()
        for name in headers.get('connection', '').split(',')
    }
    return {
        name: value
        for name, value in headers.items()
        if name not in HOP_HEADERS and name not in named
    }


async def open_attempt(
    http_client: client.HttpClient,
    adapter: adapters.Adapter,
    target: replica.Replica,
    request: messages.Request,
    request_id: str,
    fresh: bool,
) -> Opened | Outcome:
    """Send a request to a replica and read the head of its answer.

    The replica's load and conduct are noted from what comes back.

    Args:
      http_client: Connections to replicas.
      adapter: Decodes heads.
      target: Where to send it.
      request: With all headers for this attempt.
      request_id: The id that the answer must bear.
      fresh: Whether to use a new connection.

    Returns:
      The opened answer; an outcome if there is none to read on.
    """

    def is_own(headers: dict[str, str]) -> bool:
        answered = adapter.decode_answer(headers).request_id
        return not answered or answered == request_id

    try:
        reply = await http_client.open(target.address, request, is_own, fresh)
    except client.ConnectError as error:
        target.note_failure(time.monotonic())
        return Outcome(End.NOT_RUN, str(error))
    except client.HttpError as error:
        target.note_failure(time.monotonic())
        return Outcome(End.UNKNOWN, str(error))
    head = adapter.decode_answer(reply.headers)
    now = time.monotonic()
    target.note_load(head.load, now)
    if reply.status == MISDIRECTED:
        reply.close()
        target.avoid_until = now + MISDIRECTED_SECONDS
        return Outcome(End.NOT_RUN, 'another replica has the address')
    if head.not_run:
        await _finish(reply)
        target.note_refusal(now)
        return Outcome(End.NOT_RUN, f'refused with {reply.status}')
    return Opened(reply, head)


async def send_whole(
    http_client: client.HttpClient,
    adapter: adapters.Adapter,
    target: replica.Replica,
    request: messages.Request,
    request_id: str,
    fresh: bool,
) -> Outcome:
    """Make an attempt and read its whole answer; see open_attempt.

    Returns:
      The outcome. An answer is whole, signed if it is a success, and the
      replica's own.
    """
    target.in_flight += 1
    try:
        opened = await open_attempt(
            http_client, adapter, target, request, request_id, fresh
        )
        if isinstance(opened, Outcome):
            return opened
        body = await opened.reply.read()
    except client.HttpError as error:
        target.note_failure(time.monotonic())
        return Outcome(End.UNKNOWN, str(error))
    finally:
        target.in_flight -= 1
    status = opened.reply.status
    if status < FIRST_SERVER_ERROR:
        if not opened.head.signed or opened.head.encoded:
            target.note_failure(time.monotonic())
            return Outcome(End.UNKNOWN, 'not an answer of the replica')
        target.note_success()
    headers = drop_hop_headers(opened.reply.headers)
    return Outcome(
        End.ANSWERED,
        f'status {status}',
        messages.Response(status, headers, body),
    )


async def _finish(reply: client.Reply) -> None:
    """Read a short body to its end, so that the connection stays usable."""
    try:
        await reply.read()
    except client.HttpError:
        # The status has said all; the connection is closed by now.
        return
