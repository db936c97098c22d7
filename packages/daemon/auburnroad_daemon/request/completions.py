"""The completions interface for callers, whole and streamed.

A streamed answer begins with its first token: until then a refusal can still
have its own status. What is only known at the end, such as the weight
versions, stands in the last event.
"""

import asyncio
import typing
import uuid

import msgspec

from auburnroad_core import clock
from auburnroad_core.http import messages
from auburnroad_core.settings import deployment
from auburnroad_core import types
from auburnroad_core.wire import messages as wire
from auburnroad_daemon.request import answers
from auburnroad_daemon.request import dispatch

DONE_EVENT = b'[DONE]'
GIVEN_UP_STATUS = 503
OVERDUE_STATUS = 504

_STATUSES = {'deadline_passed': OVERDUE_STATUS}


class CompletionBody(msgspec.Struct):
    """Body of a completions request.

    Members that other clients send and that nothing here depends on are
    passed on to the engine unread.
    """

    model: str
    prompt: str
    max_tokens: typing.Annotated[int, msgspec.Meta(ge=1, le=1_000_000)] = 64
    stream: bool = False


class _Stream:
    """A streamed answer between the dispatcher and the connection."""

    __slots__ = ('events', 'result')

    def __init__(self):
        self.events: asyncio.Queue[tuple | None] = asyncio.Queue(maxsize=64)
        self.result: dispatch.Result | None = None

    async def take_chunk(self, text: str, spans) -> None:
        """Queue a part of the text."""
        await self.events.put((text, spans))


async def complete(
    request: messages.Request,
    current: deployment.Deployment,
    dispatcher: dispatch.Dispatcher,
) -> messages.Response:
    """Answer POST /v1/completions.

    Args:
      request: The request.
      current: Configuration in force.
      dispatcher: Sends calls to sides.

    Returns:
      The response, streamed if the caller asked for it.

    Raises:
      BadRequestError: If the request can't be run as it stands.
    """
    body = answers.parse_body(request.body, CompletionBody)
    service = current.find_model(body.model)
    if service is None:
        raise answers.BadRequestError(
            'unknown_model', f'no model {body.model!r}', 'model', 404
        )
    call = _build_call(request, body, service)
    if body.stream:
        return await _stream(call, body, dispatcher)
    result = await dispatcher.run(call)
    return build_answer(result, body.model)


def build_answer(result: dispatch.Result, model: str) -> messages.Response:
    """Build the whole answer to a completions request.

    Args:
      result: What became of it.
      model: Model that was asked for.

    Returns:
      The response.
    """
    if result.code:
        return refuse_result(result)
    answer = _describe(
        result.request_id, model, result.text, result.finish_reason
    )
    answer['usage'] = {'completion_tokens': _count_tokens(result.spans)}
    answer['auburnroad'] = _describe_result(result)
    return messages.json_response(result.status, answer, build_headers(result))


def refuse_result(result: dispatch.Result) -> messages.Response:
    """Build the answer to a request that got none from a target."""
    return answers.build_refusal(
        _STATUSES.get(result.code, GIVEN_UP_STATUS),
        result.code,
        'the request was given up',
        result.outcome,
        result.retry_at_ms,
        headers=build_headers(result),
    )


def build_headers(result: dispatch.Result) -> dict[str, str]:
    """Build the headers that tell what became of a request."""
    headers = {
        answers.OUTCOME_HEADER: str(result.outcome),
        answers.ATTEMPTS_HEADER: str(result.attempts),
        answers.REQUEST_ID_HEADER: result.request_id,
    }
    if result.spans:
        headers[answers.VERSIONS_HEADER] = answers.format_versions(
            result.spans
        )
    return headers


def _build_call(request, body, service) -> dispatch.Call:
    now_ms = clock.time_now_ms()
    deadline_ms = answers.parse_deadline(
        request, now_ms + service.call_timeout_ms
    )
    submit = wire.Submit(
        uuid.uuid4().hex,
        service.name,
        types.RequestClass.INTERACTIVE,
        deadline_ms,
        True,
        body.stream,
        'POST',
        '/v1/completions',
        {},
        request.body,
        body.model,
    )
    return dispatch.Call(submit, body.prompt.encode())


async def _stream(call, body, dispatcher) -> messages.Response:
    stream = _Stream()

    async def run():
        try:
            stream.result = await dispatcher.run(call, stream.take_chunk)
        finally:
            await stream.events.put(None)

    task = asyncio.ensure_future(run())
    try:
        first = await stream.events.get()
    except asyncio.CancelledError:
        task.cancel()
        raise
    if first is None:
        await task
        if stream.result.code:
            return refuse_result(stream.result)
    headers = {
        'content-type': messages.SSE_TYPE,
        answers.REQUEST_ID_HEADER: call.submit.request_id,
    }
    chunks = _iterate(stream, first, task, call.submit.request_id, body.model)
    return messages.Response(200, headers, chunks=chunks)


async def _iterate(stream, first, task, request_id, model):
    """Yield the events of a streamed answer; its end cancels the call."""
    try:
        event = first
        while event is not None:
            answer = _describe(request_id, model, event[0], None)
            yield messages.server_sent_event(msgspec.json.encode(answer))
            event = await stream.events.get()
        await task
        yield _build_last_event(stream.result, request_id, model)
        yield messages.server_sent_event(DONE_EVENT)
    finally:
        task.cancel()


def _build_last_event(
    result: dispatch.Result, request_id: str, model: str
) -> bytes:
    reason = result.finish_reason if not result.code else 'error'
    # An unstreamed remainder can only come from a target that sent no chunk.
    answer = _describe(request_id, model, result.text, reason)
    answer['usage'] = {'completion_tokens': _count_tokens(result.spans)}
    answer['auburnroad'] = _describe_result(result)
    if result.code:
        answer['error'] = {
            'code': result.code,
            'message': 'the request was given up',
            'retry_at_ms': result.retry_at_ms,
        }
    return messages.server_sent_event(msgspec.json.encode(answer))


def _describe(request_id, model, text, finish_reason) -> dict:
    return {
        'id': request_id,
        'object': 'text_completion',
        'model': model,
        'choices': [
            {'index': 0, 'text': text, 'finish_reason': finish_reason}
        ],
    }


def _describe_result(result: dispatch.Result) -> dict:
    return {
        'outcome': result.outcome,
        'attempts': result.attempts,
        'replica': result.replica,
        'versions': result.spans,
    }


def _count_tokens(spans: list[types.VersionSpan]) -> int:
    return spans[-1].end if spans else 0
