"""One attempt to run a request on one replica.

Retries depend on how an attempt ended: the replica responded, the request
certainly did not run, or it is unknown whether the request ran.
"""

import enum
import time
import typing

import msgspec

from auburnroad_core.http import client
from auburnroad_core.http import messages
from auburnroad_gateway import adapter as adapters
from auburnroad_gateway.directory import replica
from auburnroad_gateway.model import call

MISDIRECTED_STATUS = 421
# A replica without a free slot; other refusals are about the request.
UNAVAILABLE_STATUSES = (429, 503)
FIRST_SERVER_ERROR_STATUS = 500
INTERNAL_ERROR_STATUS = 500
# Covers the time until the registry shows that the address was reassigned.
MISDIRECTED_AVOID_SECONDS = 2.0

# Headers that apply to a single connection and are not forwarded.
HOP_BY_HOP_HEADERS = frozenset(
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


class AttemptOutcomeKind(enum.Enum):
    """How an attempt ended."""

    ANSWERED = 'answered'
    NOT_RUN = 'not run'
    UNKNOWN = 'unknown'


class Outcome(msgspec.Struct, frozen=True):
    """Outcome of an attempt.

    Attributes:
      end: How the attempt ended.
      reason: Cause of the end, for logs.
      response: The replica's response if the end is ANSWERED, else None.
      broken: Whether the connection failed after sending began.
      unmet: Whether the replica may not meet a condition of the request.
    """

    end: AttemptOutcomeKind
    reason: str
    response: messages.Response | None = None
    broken: bool = False
    unmet: bool = False

    @property
    def succeeded(self) -> bool:
        """Whether the replica responded with a status below 500."""
        return (
            self.end is AttemptOutcomeKind.ANSWERED
            and self.response.status < FIRST_SERVER_ERROR_STATUS
        )

    @property
    def is_server_error(self) -> bool:
        """Whether the replica ran the request and responded with 500."""
        return (
            self.end is AttemptOutcomeKind.ANSWERED
            and self.response.status == INTERNAL_ERROR_STATUS
        )


class OpenResponse(msgspec.Struct, frozen=True):
    """A replica's response whose head was read and whose body was not.

    Attributes:
      reply: The connection's reply, from which the body is read.
      head: Decoded head of the response.
    """

    reply: client.Reply
    head: call.AnswerHead


def drop_hop_by_hop_headers(headers: dict[str, str]) -> dict[str, str]:
    """Drop the headers that apply to a single connection only.

    Args:
      headers: Received headers by lower-case name.

    Returns:
      The headers to forward.
    """
    connection_headers = {
        name.strip().lower()
        for name in headers.get('connection', '').split(',')
    }
    return {
        name: value
        for name, value in headers.items()
        if name not in HOP_BY_HOP_HEADERS and name not in connection_headers
    }


async def send_attempt(
    http_client: client.HttpClient,
    adapter: adapters.Adapter,
    target: replica.Replica,
    request: messages.Request,
    request_id: str,
    new_connection: bool,
    on_send: typing.Callable[[], None] | None = None,
) -> OpenResponse | Outcome:
    """Send a request to a replica and read the head of its response.

    Updates the replica's load, its record of failures and refusals, and
    whether it is leaving.

    Args:
      http_client: Connections to replicas.
      adapter: Decodes response heads.
      target: Replica to send the request to.
      request: Request with all headers for this attempt.
      request_id: Request id expected in the response; a response without an
        id is accepted.
      new_connection: Whether to open a new connection instead of reusing one.
      on_send: Called right before the first byte is sent; not called if no
        connection can be opened.

    Returns:
      The response with its body unread, or an outcome if the replica did not
      respond, refused the request, or no longer has the address.
    """

    def is_own_response(headers: dict[str, str]) -> bool:
        response_id = adapter.decode_response_head(headers).request_id
        return not response_id or response_id == request_id

    def note_sent() -> bool:
        if on_send is not None:
            on_send()
        return True

    try:
        reply = await http_client.open(
            target.address, request, is_own_response, new_connection, note_sent
        )
    except client.ConnectError as error:
        target.note_failure(time.monotonic())
        return Outcome(AttemptOutcomeKind.NOT_RUN, str(error))
    except client.HttpError as error:
        target.note_failure(time.monotonic())
        return _build_broken(error)
    head = adapter.decode_response_head(reply.headers)
    if reply.status == MISDIRECTED_STATUS:
        target.note_load(head.load, time.monotonic())
        return await _classify_misdirected(
            reply, target, adapter.has_version_condition(request.headers)
        )
    return await _classify(reply, head, target)


async def _classify_misdirected(
    reply: client.Reply, target: replica.Replica, has_condition: bool
) -> Outcome:
    """Record that a replica refused what a request states of its receiver.

    Each request states the id of the replica. If it also asks for a weight
    version, the refusal tells nothing of the address: other requests will.
    """
    if has_condition:
        await reply.discard()
    else:
        reply.close()
        target.avoid_until = time.monotonic() + MISDIRECTED_AVOID_SECONDS
    return Outcome(
        AttemptOutcomeKind.NOT_RUN,
        'status 421: other weights, or another replica has the address'
        if has_condition
        else 'status 421: another replica has the address',
        unmet=has_condition,
    )


async def _classify(
    reply: client.Reply, head: call.AnswerHead, target: replica.Replica
) -> OpenResponse | Outcome:
    """Record what the head of a response states, and tell whether it ran."""
    now = time.monotonic()
    target.note_load(head.load, now)
    target.note_rate_limit(head.rate_limit)
    if head.leaving:
        target.note_leaving()
    if head.not_run:
        await reply.discard()
        if reply.status in UNAVAILABLE_STATUSES:
            target.note_refusal(now)
        return Outcome(
            AttemptOutcomeKind.NOT_RUN,
            f'replica refused the request with status {reply.status}',
        )
    return OpenResponse(reply, head)


async def fetch_response(
    http_client: client.HttpClient,
    adapter: adapters.Adapter,
    target: replica.Replica,
    request: messages.Request,
    request_id: str,
    new_connection: bool,
    on_send: typing.Callable[[], None] | None = None,
) -> Outcome:
    """Send a request and read the whole response; see send_attempt.

    Returns:
      The outcome. A response in it has a complete body and belongs to this
      request; a response with a status below 500 also has the replica's
      signature and an unencoded body, so no proxy produced or changed it.
    """
    try:
        opened = await send_attempt(
            http_client,
            adapter,
            target,
            request,
            request_id,
            new_connection,
            on_send,
        )
        if isinstance(opened, Outcome):
            return opened
        body = await opened.reply.read()
    except client.HttpError as error:
        target.note_failure(time.monotonic())
        return _build_broken(error)
    status = opened.reply.status
    if status < FIRST_SERVER_ERROR_STATUS:
        if not opened.head.signed or opened.head.encoded:
            target.note_failure(time.monotonic())
            return Outcome(
                AttemptOutcomeKind.UNKNOWN, 'unsigned or re-encoded response'
            )
        target.note_success()
    headers = drop_hop_by_hop_headers(opened.reply.headers)
    return Outcome(
        AttemptOutcomeKind.ANSWERED,
        f'status {status}',
        messages.Response(status, headers, body),
    )


def _build_broken(error: client.HttpError) -> Outcome:
    return Outcome(AttemptOutcomeKind.UNKNOWN, str(error), broken=True)
