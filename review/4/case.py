"""A split route of batch jobs, and the loss of one replica."""

import asyncio

from auburnroad_standins import platform_calls
from review_stand_ins import long_engine
from review_stand_ins import world as worlds

GATEWAYS = 3
ITEMS = 16
PACE_SECONDS = 0.05
EVENTS = 100
DUE_MS = 25_000
BATCH = 'b7c41e09b52d6a3f8'
CANARY_SERVICE = 'zupo3c'
# Of RULES.md, LOST: "has been at no replica for 5 s of steady state".
IDLE_SECONDS = 5.0


def build_routes(backends: list[dict] | None) -> list[dict]:
    route = platform_calls.build_batch_route(
        worlds.HOST, '/pufi791/', worlds.MODEL_SERVICE
    )
    route |= {'dueMs': DUE_MS, 'retentionS': 60.0}
    if backends is not None:
        del route['service']
        route['backends'] = backends
    return [route]


async def play(world, trouble: bool) -> str:
    for number in range(5):
        await world.add(world.build_engine(number, 12, long_engine.LongEngine))
    canary = world.build_engine(5, 12, long_engine.LongEngine)
    canary._service = CANARY_SERVICE
    await world.add(canary)
    for engine in world.replicas:
        engine.pause_seconds = PACE_SECONDS
        engine.events = EVENTS
    services = {
        worlds.MODEL_SERVICE: worlds.MODEL,
        CANARY_SERVICE: worlds.MODEL,
    }
    world.configure(build_routes(None), services)
    await world.start(GATEWAYS)
    await asyncio.sleep(worlds.CONTACT_SECONDS)
    world.configure(
        build_routes(
            [
                {'service': CANARY_SERVICE, 'weight': 10},
                {'service': worlds.MODEL_SERVICE, 'weight': 90},
            ]
        ),
        services,
    )
    await asyncio.sleep(worlds.CONTACT_SECONDS)
    items = [f'{BATCH}i{number}' for number in range(ITEMS)]
    submission = platform_calls.Submission(
        BATCH, '/pufi791/7c41e0', 0, worlds.MODEL, 1, 2, items, 8
    )
    request = platform_calls.build_submission(submission)
    if await world.fetch_any(request, 202, 5.0) is None:
        raise worlds.Failed('the batch job is not accepted')
    submitted = world.now
    world.note('the batch job is accepted with 202')
    await asyncio.sleep(1.0)
    if trouble:
        # Its registration is removed after three heartbeats of silence.
        world.note(f'{canary.id} of {CANARY_SERVICE} crashes for good')
        canary.down = True
        await canary.close()
    lost_at = asyncio.get_running_loop().time()
    deregistered = False
    read = 0
    while world.now < submitted + DUE_MS / 1000 + 1.5 and read < ITEMS:
        now = asyncio.get_running_loop().time()
        if trouble and not deregistered and now - lost_at > 3.6:
            deregistered = True
            canary.deregister(world.store.log)
            world.note(f'the entry of {canary.id} is removed')
        response = await world.fetch_any(
            platform_calls.build_read(BATCH, 0, 1000), 200, 3.0
        )
        if response is not None:
            read = response.body.count(b'"succeeded"')
        await asyncio.sleep(0.3)
    calm_at = lost_at + worlds.CONTACT_SECONDS
    late = [run for run in world.books.runs if run.started >= calm_at]
    running = sum(engine._running for engine in world.replicas[:5])
    idle = asyncio.get_running_loop().time() - calm_at
    world.note(
        f'at the deadline: {read} of {ITEMS} results, {running} items at the '
        f'replicas of {worlds.MODEL_SERVICE}, {len(late)} runs in the calm'
    )
    await world.fetch_any(platform_calls.build_end(BATCH), 200, 3.0)
    if read < ITEMS and not running and not late and idle > IDLE_SECONDS:
        return (
            f'LOST: the step ran out of time with {ITEMS - read} items that '
            f'no replica has finished, at no replica for {idle:.1f} s of '
            'steady state'
        )
    return ''


if __name__ == '__main__':
    worlds.run(__file__, play)
