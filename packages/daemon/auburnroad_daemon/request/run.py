"""Runs one request once on one replica and reports its outcome."""

import asyncio

import msgspec

from auburnroad_core import clock
from auburnroad_core import decoding
from auburnroad_core.http import client
from auburnroad_core.http import messages as http_messages
from auburnroad_core import refusals
from auburnroad_core import types
from auburnroad_core.wire import messages
from auburnroad_daemon.connection import engine
from auburnroad_daemon.connection import replica as replica_module
from auburnroad_daemon.connection import silence
from auburnroad_daemon.request import pace
from auburnroad_daemon.request import side_attempt
from auburnroad_daemon.request import token_writer

ENGINE_SILENCE_SECONDS = 5.0
REQUEST_ID_HEADER = 'auburnroad-request-id'


class CompletionBody(msgspec.Struct):
    """Fields of a completion body that the side reads.

    All other fields are ignored.

    Attributes:
      prompt: Text of the prompt.
      max_tokens: Maximum number of tokens of the answer.
      resume_at: Index of the first token to return; greater than zero if an
        earlier attempt delivered the preceding tokens.
    """

    prompt: str
    max_tokens: int = 16
    resume_at: int = 0


class Result(msgspec.Struct):
    """The result of a run.

    Attributes:
      answer: The final answer, without the host's load.
      target_failed: Whether the target caused the failure.
    """

    answer: side_attempt.Answer
    target_failed: bool = False


async def run_completion(
    attempt: side_attempt.Attempt, replica: replica_module.Replica
) -> Result:
    """Run a completion on a model engine.

    Args:
      attempt: The request.
      replica: Replica that runs the request.

    Returns:
      The result of the run.
    """
    submit = attempt.submit
    try:
        body = decoding.decode_json(submit.body, CompletionBody)
    except msgspec.DecodeError:
        return Result(_refuse(submit, refusals.BAD_REQUEST))
    completion = engine.Completion(
        submit.request_id,
        submit.model,
        body.prompt,
        body.max_tokens,
        body.resume_at,
    )
    writer = token_writer.TokenWriter(attempt)
    try:
        reason = await _read_tokens(attempt, replica, completion, writer)
    except engine.EngineUnreachableError:
        return Result(_refuse(submit, refusals.NO_REPLICA), True)
    except engine.EngineRejectedError as error:
        return _build_rejection(attempt, replica, error)
    except engine.EngineCancelledError as error:
        outcome = types.Outcome.UNKNOWN
        return Result(_build_done(attempt, writer, outcome, str(error)))
    except engine.EngineBrokenError as error:
        outcome = types.Outcome.UNKNOWN
        return Result(_build_done(attempt, writer, outcome, str(error)), True)
    answer = _build_done(attempt, writer, types.Outcome.RUN)
    answer.status = 200
    answer.finish_reason = reason
    return Result(answer)


async def _read_tokens(attempt, replica, completion, writer) -> str:
    """Read the engine's stream to its end; return the finish reason."""
    loop = asyncio.get_running_loop()
    model = attempt.submit.model
    pacer = pace.ReadPacer(
        completion.max_tokens - completion.resume_at, attempt.submit.streamed
    )
    reason = None
    try:
        async with silence.IdleTimeout(ENGINE_SILENCE_SECONDS) as limit:
            async for events in replica.engine.complete(completion):
                limit.renew()
                for event in events:
                    writer.add(event)
                    reason = event.finish_reason or reason
                now_ms = clock.time_now_ms()
                replica.record_version(model, events[-1].version, now_ms)
                pause = pacer.compute_pause(writer.tokens, loop.time())
                if pause:
                    await asyncio.sleep(pause)
    except TimeoutError as error:
        raise engine.EngineBrokenError('the engine fell silent') from error
    except engine.EngineBrokenError:
        # The finish reason is sent last, so the answer is complete.
        if reason is None:
            raise
    if reason is None:
        raise engine.EngineBrokenError('the stream ended early')
    if reason == engine.CANCELLED_REASON:
        # Another client cancelled the request, so the answer is incomplete.
        raise engine.EngineCancelledError('the engine cancelled it')
    return reason


def _build_rejection(attempt, replica, error) -> Result:
    """Build the result of a request that the engine rejected."""
    if error.status == 404:
        replica.remove_version(attempt.submit.model)
        return Result(_refuse(attempt.submit, refusals.MODEL_MISSING))
    answer = build_unknown_answer(attempt, str(error))
    answer.status = error.status
    if error.status < 500:
        answer.outcome = types.Outcome.NOT_RUN
    return Result(answer, error.status >= 500)


def _build_done(attempt, writer, outcome, error='') -> messages.Done:
    text = writer.close()
    return messages.Done(
        attempt.request_id,
        outcome,
        0,
        text=text,
        spans=writer.spans,
        replica=attempt.replica,
        chunks=len(attempt.chunks),
        error=error,
    )


async def run_call(
    attempt: side_attempt.Attempt, replica: replica_module.Replica
) -> Result:
    """Send a request to a plain service, once.

    Args:
      attempt: The request.
      replica: Replica that runs the request.

    Returns:
      The result of the run.
    """
    submit = attempt.submit
    headers = {REQUEST_ID_HEADER: submit.request_id, **submit.headers}
    request = http_messages.Request(
        submit.method, submit.target, headers, submit.body
    )
    try:
        response = await replica.plain.call(request)
    except client.ConnectError:
        return Result(_refuse(submit, refusals.NO_REPLICA), True)
    except client.BrokenError as error:
        answer = build_unknown_answer(attempt, str(error))
        return Result(answer, True)
    answer = messages.Done(
        submit.request_id,
        types.Outcome.RUN,
        response.status,
        headers=response.headers,
        body=response.body,
        replica=replica.name,
    )
    return Result(answer)


def build_unknown_answer(
    attempt: side_attempt.Attempt, error: str
) -> messages.Done:
    """Build the answer to a request that a target may have run.

    Args:
      attempt: The request.
      error: Description of the error.

    Returns:
      The answer with an unknown outcome.
    """
    return messages.Done(
        attempt.request_id,
        types.Outcome.UNKNOWN,
        0,
        replica=attempt.replica,
        chunks=len(attempt.chunks),
        error=error,
    )


def _refuse(submit: messages.Submit, code: str) -> messages.Refused:
    return messages.Refused(submit.request_id, code, clock.time_now_ms())
