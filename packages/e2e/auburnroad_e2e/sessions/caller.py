"""The session of a caller: answers, streams, plain calls and refusals."""

import asyncio

import msgspec

from auburnroad_core import clock
from auburnroad_core.http import messages
from auburnroad_e2e.sessions import transcript
from auburnroad_standins import caller

MODEL = 'drafter-llm'
VERSION = 1
POLL_SECONDS = 0.05
SERVICE = '/services/notes-portal'
build = transcript.build_request


@transcript.SESSIONS.register('caller')
async def run(session: transcript.Transcript) -> None:
    """Ask what callers ask, rightly and wrongly.

    Args:
      session: Where it is written down.
    """
    await _wait_version(session)
    await _complete(session)
    await _call_service(session)
    await _ask_wrongly(session)


async def _wait_version(session) -> None:
    """Wait until every engine has the version that the trainer published."""
    for settings in session.cluster.daemons:
        for replica in settings.replicas:
            while replica.service == MODEL:
                response = await session.cluster.get(replica.name, '/load')
                load = msgspec.json.decode(response.body)
                if load['versions'][MODEL] == VERSION:
                    break
                await asyncio.sleep(POLL_SECONDS)


async def _complete(session) -> None:
    question = {'model': MODEL, 'prompt': 'what is new', 'max_tokens': 6}
    await session.ask_plainly(0, build('POST', '/v1/completions', question))
    streamed = {**question, 'stream': True}
    body = await session.ask(1, build('POST', '/v1/completions', streamed))
    session.add(_describe_stream(body))


def _describe_stream(body: bytes) -> str:
    """Describe a stream whose text may be cut into parts anywhere."""
    lines = [line for line in body.decode().split('\n\n') if line]
    events = [msgspec.json.decode(line[6:]) for line in lines[:-1]]
    text = ''.join(event['choices'][0]['text'] for event in events)
    last = msgspec.json.encode(events[-1]).decode()
    return f'text of all events: {text}\nlast event: {last}\n{lines[-1]}'


async def _call_service(session) -> None:
    await session.ask_plainly(0, build('GET', f'{SERVICE}/notes/1?full=yes'))
    key = caller.build_key(clock.time_now_ms())
    for entry, text in ((0, 'first'), (1, 'first'), (2, 'other')):
        request = build(
            'POST', f'{SERVICE}/notes', {'text': text}, idempotency_key=key
        )
        await session.ask_plainly(entry, request)
    old = caller.build_key(1)
    for key in (old, 'my-key'):
        request = build('POST', f'{SERVICE}/notes', {}, idempotency_key=key)
        await session.ask_plainly(0, request)


async def _ask_wrongly(session) -> None:
    for value in (
        {'model': 'nobody', 'prompt': 'x'},
        {'model': MODEL},
        {'model': MODEL, 'prompt': 'x', 'max_tokens': 'many'},
    ):
        await session.ask_plainly(0, build('POST', '/v1/completions', value))
    broken = messages.Request('POST', '/v1/completions', {}, b'{"model": ')
    await session.ask_plainly(0, broken)
    await session.ask_plainly(0, build('GET', '/services/nothing/x'))
    await session.ask_plainly(0, build('GET', '/nothing'))
    late = build('GET', f'{SERVICE}/x', auburnroad_deadline='1000')
    await session.ask_plainly(0, late)
