"""The session of a trainer: versions, groups, steps and refusals."""

from auburnroad_core.http import messages
from auburnroad_e2e.sessions import transcript

PATH = '/v1/trainers/drafter'
WAIT = 'wait=15'
GROUPS = 4
build = transcript.build_request


@transcript.SESSIONS.register('trainer')
async def run(session: transcript.Transcript) -> None:
    """Take a step and ask for what can't be had.

    Args:
      session: Where it is written down.
    """
    await _publish(session, 1)
    groups = [
        {'name': f'g{number}', 'prompt': f'note {number}', 'max_tokens': 4}
        for number in range(GROUPS)
    ]
    await _submit(session, 0, 1, groups)
    await _submit(session, 1, 1, groups)
    other = [{'name': 'g0', 'prompt': 'another note', 'max_tokens': 4}]
    await _submit(session, 2, 1, other)
    await _take(session)
    await session.ask_plainly(0, build('GET', f'{PATH}/steps/7?version=1'))
    await _ask_wrongly(session)


async def _publish(session, version: int) -> None:
    store = session.cluster.answers.platform.weight_store
    weights = messages.Request(
        'PUT', f'/weights/drafter-llm/{version}', {}, b'weights'
    )
    await session.cluster.http.fetch(store, weights, 5.0)
    request = build('PUT', f'{PATH}/version', {'version': version})
    await session.ask_plainly(0, request)


async def _submit(session, entry: int, step: int, groups) -> None:
    value = {'version': 1, 'generation': 0, 'groups': groups}
    request = build('PUT', f'{PATH}/steps/{step}/groups', value)
    await session.ask_plainly(entry, request)


async def _take(session) -> None:
    request = build(
        'GET', f'{PATH}/steps/1?version=1&generation=0', prefer=WAIT
    )
    first = await session.ask(1, request)
    # Late groups may or may not be among them; see late_groups.
    session.add(f'a step that begins with {first[:80].decode()}')
    again = await session.ask(2, request)
    session.add(f'the same bytes: {first == again}')


async def _ask_wrongly(session) -> None:
    for request in (
        build('PUT', f'{PATH}/version', {'version': 0}),
        build('PUT', f'{PATH}/version', {'version': 'new'}),
        build('GET', f'{PATH}/steps/1?version=1&generation=3'),
        build('GET', f'{PATH}/steps/one?version=1'),
        build('GET', '/v1/trainers/nobody/steps/1?version=1'),
        build('POST', f'{PATH}/steps/9/void', {'generation': 0}),
    ):
        await session.ask_plainly(0, request)
