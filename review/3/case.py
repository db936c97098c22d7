"""Two machines freeze, one after the other, and one of them is lost."""

import asyncio
import signal
import time

import msgspec

from auburnroad_gateway.batches import records
from auburnroad_gateway.log import service
from auburnroad_gateway.weights import duty
from auburnroad_standins import platform_calls
from review_stand_ins import long_engine
from review_stand_ins import world as worlds

GATEWAYS = 4
ITEMS = 16
PACE_SECONDS = 0.12
EVENTS = 100
DUE_MS = 30_000
BATCH = 'b7c41e09b52d6a3f8'
# The longest freeze of the site file's troubles.
MAX_FREEZE_SECONDS = 4.0
# Of RULES.md, LOST: "has been at no replica for 5 s of steady state".
IDLE_SECONDS = 5.0


def find_host(incarnation: str) -> str:
    return incarnation.rpartition('.')[0]


def find_holder(world) -> str:
    """Find the host that last wrote to the store under a condition."""
    stored = world.store.log.list_records(duty.TOPIC)
    for record in reversed(stored):
        _, value = service.decode_keyed(record)
        holder = msgspec.msgpack.decode(value, type=duty.DutyRecord)
        return find_host(holder.incarnation)
    return ''


def find_owner(world) -> str:
    """Find the host that has the batch job by the store's records."""
    partition = records.find_partition(BATCH)
    owner = ''
    for data in world.store.log.list_records(records.TOPIC, partition):
        record = records.decode(data)
        if isinstance(record, records.SubmissionPart):
            owner = owner or record.owner
        elif isinstance(record, records.Claim) and record.previous == owner:
            owner = record.owner
    return find_host(owner)


async def wait_until(check, seconds: float) -> bool:
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        if check():
            return True
        await asyncio.sleep(0.02)
    return False


async def freeze(world, host: str) -> str:
    """Freeze the owner until another machine has the batch job."""
    gateway = next(g for g in world.gateways if g.name == host)
    world.note(f'{host} freezes')
    gateway.send_signal(signal.SIGSTOP)
    began = time.monotonic()
    await wait_until(lambda: find_owner(world) != host, MAX_FREEZE_SECONDS)
    gateway.send_signal(signal.SIGCONT)
    new = find_owner(world)
    took = time.monotonic() - began
    world.note(f'{host} wakes after {took:.2f} s; {new} has the batch job')
    return new


async def play(world, trouble: bool) -> str:
    for number in range(6):
        engine = world.build_engine(number, 12, long_engine.LongEngine)
        engine.pause_seconds = PACE_SECONDS
        engine.events = EVENTS
        await world.add(engine)
    route = platform_calls.build_batch_route(
        worlds.HOST, '/pufi791/', worlds.MODEL_SERVICE
    )
    world.configure(
        [{**route, 'dueMs': DUE_MS, 'retentionS': 60.0}],
        {worlds.MODEL_SERVICE: worlds.MODEL},
    )
    await world.start(GATEWAYS)
    # Until one of them has the duty of the service.
    if not await wait_until(lambda: find_holder(world), 10.0):
        raise worlds.Failed('nobody holds the duty')
    await asyncio.sleep(worlds.CONTACT_SECONDS)
    items = [f'{BATCH}i{number}' for number in range(ITEMS)]
    submission = platform_calls.Submission(
        BATCH, '/pufi791/7c41e0', 0, worlds.MODEL, 1, 2, items, 8
    )
    request = platform_calls.build_submission(submission)
    if await world.fetch_any(request, 202, 5.0) is None:
        raise worlds.Failed('the batch job is not accepted')
    submitted = world.now
    first = find_owner(world)
    world.note(f'the batch job is accepted with 202; {first} has it')
    await asyncio.sleep(1.0)
    if trouble:
        second = await freeze(world, first)
        await asyncio.sleep(1.2)
        third = await freeze(world, second)
        await asyncio.sleep(1.0)
        world.note(f'{third} loses power for good')
        lost = next(g for g in world.gateways if g.name == third)
        lost.end()
        world.note(f'had it in turn: {first}, {second}, {third}')
    lost_at = asyncio.get_running_loop().time()
    calm_at = lost_at + worlds.CONTACT_SECONDS
    read = 0
    while world.now < submitted + DUE_MS / 1000 + 1.5 and read < ITEMS:
        response = await world.fetch_any(
            platform_calls.build_read(BATCH, 0, 1000), 200, 3.0
        )
        if response is not None:
            read = response.body.count(b'"succeeded"')
        await asyncio.sleep(0.5)
    running = sum(engine._running for engine in world.replicas)
    late = [r for r in world.books.runs if r.started >= lost_at]
    world.note(
        f'at the deadline: {read} of {ITEMS} results, {running} items at '
        f'replicas, {len(late)} runs began after the last disruption, owner '
        f'by the store {find_owner(world)}'
    )
    await world.fetch_any(platform_calls.build_end(BATCH), 200, 3.0)
    idle = asyncio.get_running_loop().time() - calm_at
    if read < ITEMS and not running and not late and idle > IDLE_SECONDS:
        return (
            f'LOST: the step ran out of time with {ITEMS - read} items that '
            f'no replica has finished, at no replica for {idle:.1f} s of '
            'steady state'
        )
    return ''


if __name__ == '__main__':
    worlds.run(__file__, play)
