"""HTTP API for completions, streamed or unstreamed.

The response headers of a streamed answer are sent with its first token, so
that a failure before the first token has its own HTTP status. Values that are
known only at the end, such as the weight versions, are sent in the last event.
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
FAILURE_STATUS = 503
DEADLINE_STATUS = 504

_STATUS_BY_CODE = {'deadline_passed': DEADLINE_STATUS}


class CompletionBody(msgspec.Struct):
    """Fields of a completions request that the entry reads.

    Other fields are passed to the engine unchanged.
    """

    model: str
    prompt: str
    max_tokens: typing.Annotated[int, msgspec.Meta(ge=1, le=1_000_000)] = 64
    stream: bool = False


class _Stream:
    """Queue of a streamed answer from the dispatcher to the connection.

    Attributes:
      events: Text and version spans of each chunk, then None as end marker.
      result: The result of the call, or None until the call has ended.
    """

    __slots__ = ('events', 'result')

    def __init__(self):
        self.events: asyncio.Queue[tuple | None] = asyncio.Queue(maxsize=64)
        self.result: dispatch.Result | None = None

    async def put_chunk(self, text: str, spans) -> None:
        """Add a chunk to the queue."""
        await self.events.put((text, spans))


async def complete(
    request: messages.Request,
    current: deployment.Deployment,
    dispatcher: dispatch.Dispatcher,
) -> messages.Response:
    """Handle POST /v1/completions.

    Args:
      request: The request.
      current: Current configuration.
      dispatcher: Sends calls to sides.

    Returns:
      The response, streamed if the caller asked for it.

    Raises:
      BadRequestError: If the body is invalid or the model is unknown.
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
    """Build the unstreamed response to a completions request.

    Args:
      result: The result of the call.
      model: Name of the requested model.

    Returns:
      The response.
    """
    if result.code:
        return build_failure_answer(result)
    answer = _build_completion(
        result.request_id, model, result.text, result.finish_reason
    )
    answer['usage'] = {'completion_tokens': _count_tokens(result.spans)}
    answer['auburnroad'] = _build_result_details(result)
    return messages.build_json_response(
        result.status, answer, build_headers(result)
    )


def build_failure_answer(result: dispatch.Result) -> messages.Response:
    """Build the response to a call that no target answered."""
    return answers.build_refusal(
        _STATUS_BY_CODE.get(result.code, FAILURE_STATUS),
        result.code,
        'the request was given up',
        result.outcome,
        result.retry_at_ms,
        headers=build_headers(result),
    )


def build_headers(result: dispatch.Result) -> dict[str, str]:
    """Build the headers that describe the result of a call."""
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
            stream.result = await dispatcher.run(call, stream.put_chunk)
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
            return build_failure_answer(stream.result)
    headers = {
        'content-type': messages.SSE_TYPE,
        answers.REQUEST_ID_HEADER: call.submit.request_id,
    }
    chunks = _iterate_events(
        stream, first, task, call.submit.request_id, body.model
    )
    return messages.Response(200, headers, chunks=chunks)


async def _iterate_events(stream, first, task, request_id, model):
    """Yield the events of a streamed answer; cancel the call on close."""
    try:
        event = first
        while event is not None:
            answer = _build_completion(request_id, model, event[0], None)
            yield messages.build_server_sent_event(msgspec.json.encode(answer))
            event = await stream.events.get()
        await task
        yield _build_last_event(stream.result, request_id, model)
        yield messages.build_server_sent_event(DONE_EVENT)
    finally:
        task.cancel()


def _build_last_event(
    result: dispatch.Result, request_id: str, model: str
) -> bytes:
    reason = result.finish_reason if not result.code else 'error'
    # The result contains text only if the target sent no chunk.
    answer = _build_completion(request_id, model, result.text, reason)
    answer['usage'] = {'completion_tokens': _count_tokens(result.spans)}
    answer['auburnroad'] = _build_result_details(result)
    if result.code:
        answer['error'] = {
            'code': result.code,
            'message': 'the request was given up',
            'retry_at_ms': result.retry_at_ms,
        }
    return messages.build_server_sent_event(msgspec.json.encode(answer))


def _build_completion(request_id, model, text, finish_reason) -> dict:
    return {
        'id': request_id,
        'object': 'text_completion',
        'model': model,
        'choices': [
            {'index': 0, 'text': text, 'finish_reason': finish_reason}
        ],
    }


def _build_result_details(result: dispatch.Result) -> dict:
    return {
        'outcome': result.outcome,
        'attempts': result.attempts,
        'replica': result.replica,
        'versions': result.spans,
    }


def _count_tokens(spans: list[types.VersionSpan]) -> int:
    return spans[-1].end if spans else 0
