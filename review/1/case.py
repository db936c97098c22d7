"""An unreadable entry of another writer, and then a final fault."""

import asyncio
import signal

from auburnroad_standins import platform_calls
from auburnroad_standins import platform_replica
from review_stand_ins import world as worlds

GATEWAYS = 3
# JSON whose arrays are nested so deep that a reader gives up.
DEPTH = 3000
ENTRY = b'{"service":"x","note":' + b'[' * DEPTH + b']' * DEPTH + b'}'
DOWN_SECONDS = 1.2
REQUESTS = 60
# Of RULES.md, RECOVER.
MIN_SHARE = 0.25


async def send_requests(world, name: str) -> int:
    """Send lookups to all gateways in turn; count those served."""
    served = 0
    seen = {}
    for number in range(REQUESTS):
        request_id = f'{name}{number}'
        gateway = world.gateways[number % len(world.gateways)]
        response = await world.fetch(
            gateway,
            platform_calls.build_single('/lohu930/a', request_id, 1500),
        )
        good = (
            response is not None
            and response.status == 200
            and platform_calls.is_own_answer(response, request_id)
        )
        served += good
        status = 'none' if response is None else response.status
        seen[status] = seen.get(status, 0) + 1
        await asyncio.sleep(0.1)
    world.note(f'{name}: {served} of {REQUESTS} served, statuses {seen}')
    return served


async def run_step(world, batch_id: str, seconds: float) -> int:
    """Hand in a batch job and read it; count its results."""
    items = [f'{batch_id}i{number}' for number in range(8)]
    submission = platform_calls.Submission(
        batch_id, '/pufi791/7c41e0', 0, worlds.MODEL, 1, 1, items, 8
    )
    request = platform_calls.build_submission(submission)
    response = await world.fetch_any(request, 202, seconds)
    world.note(f'{batch_id}: {"202" if response else "never accepted"}')
    if response is None:
        return 0
    read = 0
    until = world.now + seconds
    while read < len(items) and world.now < until:
        response = await world.fetch_any(
            platform_calls.build_read(batch_id, 0, 500), 200, 2.0
        )
        if response is not None:
            read = response.body.count(b'"succeeded"')
        await asyncio.sleep(0.3)
    world.note(f'{batch_id}: {read} of {len(items)} results read')
    return read


async def play(world, trouble: bool) -> str:
    for number in range(3):
        await world.add(world.build_engine(number, 12))
        await world.add(world.build_plain(number, 6))
    world.configure(
        [
            platform_calls.build_batch_route(
                worlds.HOST, '/pufi791/', worlds.MODEL_SERVICE
            ),
            platform_calls.build_route(
                worlds.HOST, '/lohu930/', 'idempotent', worlds.PLAIN_SERVICE
            ),
        ],
        {worlds.MODEL_SERVICE: worlds.MODEL, worlds.PLAIN_SERVICE: ''},
    )
    await world.start(GATEWAYS)
    before = await send_requests(world, 'before')
    if before < REQUESTS / 4 or not await run_step(world, 'step0', 10.0):
        raise worlds.Failed('the deployment does not serve')
    if trouble:
        world.store.log.put(platform_replica.REGISTRY_TOPIC, 'i-zz', ENTRY)
        world.note(f'another writer puts {len(ENTRY)} bytes at servers/i-zz')
    await asyncio.sleep(2.0)
    await send_requests(world, 'with-the-entry')
    world.note('final fault: all processes are killed')
    for gateway in world.gateways:
        gateway.send_signal(signal.SIGKILL)
    for gateway in world.gateways:
        gateway.end()
    await asyncio.sleep(DOWN_SECONDS)
    for gateway in world.gateways:
        gateway.start()
    world.note('all processes are started again')
    await asyncio.sleep(worlds.RECOVERY_SECONDS)
    ready = [await world.is_ready(gateway) for gateway in world.gateways]
    world.note(f'ready: {ready}')
    after = await send_requests(world, 'after')
    await run_step(world, 'step1', 12.0)
    failed = world.gateways[0].read_log().count('"work_failed"')
    world.note(f'first gateway logged work_failed {failed} times')
    if after < MIN_SHARE * REQUESTS:
        return (
            f'RECOVER: {after} of {REQUESTS} requests served later than '
            f'recoveryS after the machines were back, {before} before'
        )
    return ''


if __name__ == '__main__':
    worlds.run(__file__, play)
