"""HTTP API for plain services, whose requests are forwarded to a replica.

Requests with a method that is configured as idempotent may be retried.
Requests with another method run at most once: the entry acquires the request's
idempotency key in the log before it sends the request, and sends it only once.
"""

import uuid

import xxhash

from auburnroad_core import clock
from auburnroad_core.http import messages
from auburnroad_core.settings import deployment
from auburnroad_core import types
from auburnroad_core.wire import messages as wire
from auburnroad_daemon.request import answers
from auburnroad_daemon.request import completions
from auburnroad_daemon.request import dispatch
from auburnroad_daemon.request import intents

PREFIX = '/services/'
KEY_HEADER = 'idempotency-key'
HOP_BY_HOP = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'host',
        'content-length',
    )
)


async def call_service(
    request: messages.Request,
    current: deployment.Deployment,
    dispatcher: dispatch.Dispatcher,
    gate: intents.IntentGate,
) -> messages.Response:
    """Handle a request to a plain service.

    Args:
      request: The request.
      current: Current configuration.
      dispatcher: Sends calls to sides.
      gate: Acquires the idempotency keys of non-idempotent requests.

    Returns:
      The target's response with additional headers, or a refusal.

    Raises:
      BadRequestError: If the service is unknown or the deadline is invalid.
    """
    service, target = _find_service(request, current)
    call = _build_call(request, service, target)
    if not call.submit.idempotent:
        return await _call_non_idempotent(request, call, dispatcher, gate)
    return build_answer(await dispatcher.run(call))


def build_answer(result: dispatch.Result) -> messages.Response:
    """Build the response to a request to a plain service.

    Args:
      result: The result of the call.

    Returns:
      The response.
    """
    if result.code:
        return completions.build_failure_answer(result)
    headers = {
        name: value
        for name, value in result.headers.items()
        if name not in HOP_BY_HOP
    }
    headers.update(completions.build_headers(result))
    return messages.Response(result.status, headers, result.body)


def _find_service(request, current) -> tuple[deployment.Service, str]:
    name, slash, rest = request.target.removeprefix(PREFIX).partition('/')
    name, question, query = name.partition('?')
    service = current.find_service(name)
    if service is None or service.kind != 'plain':
        raise answers.BadRequestError(
            'unknown_service', f'no plain service {name!r}', status=404
        )
    return service, f'/{rest}{question}{query}'


def _build_call(request, service, target) -> dispatch.Call:
    now_ms = clock.time_now_ms()
    headers = {
        name: value
        for name, value in request.headers.items()
        if name not in HOP_BY_HOP
    }
    submit = wire.Submit(
        uuid.uuid4().hex,
        service.name,
        types.RequestClass.INTERACTIVE,
        answers.parse_deadline(request, now_ms + service.call_timeout_ms),
        request.method in service.idempotent_methods,
        False,
        request.method,
        target,
        headers,
        request.body,
    )
    return dispatch.Call(submit)


async def _call_non_idempotent(
    request, call, dispatcher, gate
) -> messages.Response:
    key = request.headers.get(KEY_HEADER, '')
    digest = xxhash.xxh3_128_hexdigest(
        f'{request.method} {request.target}\n'.encode() + request.body
    )
    admission = await gate.acquire(key, digest, call.submit.deadline_ms)
    if not isinstance(admission, intents.Held):
        return _refuse(admission)
    call.submit.headers[KEY_HEADER] = admission.key
    result = await dispatcher.run(call)
    await gate.settle(admission, result.outcome, result.status)
    return build_answer(result)


def _refuse(admission) -> messages.Response:
    if isinstance(admission, intents.Taken):
        return answers.build_refusal(
            409,
            'key_taken',
            'the key was used before; its request '
            f'ended with status {admission.status or "unknown"}',
            admission.outcome,
        )
    return answers.build_refusal(
        admission.status,
        admission.code,
        admission.message,
        admission.outcome,
        admission.retry_at_ms,
        KEY_HEADER if admission.status == 400 else '',
    )
