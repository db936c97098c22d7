"""An outage of the store while a large step runs, and then a hand-over."""

import asyncio
import base64
import random
import signal
import time

import msgspec

from auburnroad_gateway.batches import records
from auburnroad_gateway.log import service
from auburnroad_gateway.weights import duty
from auburnroad_standins import platform_calls
from review_stand_ins import strict_store
from review_stand_ins import text_engine
from review_stand_ins import world as worlds

GATEWAYS = 4
ITEMS = 2048
EVENTS = 8
EVENT_BYTES = 444
PACE_SECONDS = 0.06
OUTAGE_SECONDS = 7.0
DUE_MS = 40_000
BATCH = 'b7c41e09b52d6a3f8'
MAX_FREEZE_SECONDS = 4.0
IDLE_SECONDS = 5.0


def find_host(incarnation: str) -> str:
    return incarnation.rpartition('.')[0]


def find_holder(world) -> str:
    stored = world.store.log.list_records(duty.TOPIC)
    for record in reversed(stored):
        _, value = service.decode_keyed(record)
        holder = msgspec.msgpack.decode(value, type=duty.DutyRecord)
        return find_host(holder.incarnation)
    return ''


def read_records(world):
    partition = records.find_partition(BATCH)
    for data in world.store.log.list_records(records.TOPIC, partition):
        yield records.decode(data)


def find_owner(world) -> str:
    owner = ''
    for record in read_records(world):
        if isinstance(record, records.SubmissionPart):
            owner = owner or record.owner
        elif isinstance(record, records.Claim) and record.previous == owner:
            owner = record.owner
    return find_host(owner)


def count_listed(world) -> int:
    return len(
        {
            result.index
            for record in read_records(world)
            if isinstance(record, records.Results)
            for result in record.results
        }
    )


async def wait_until(check, seconds: float) -> bool:
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        if check():
            return True
        await asyncio.sleep(0.02)
    return False


async def play(world, trouble: bool) -> str:
    rng = random.Random(1)
    text_engine.TextEngine.piece = lambda: base64.b64encode(
        rng.randbytes(EVENT_BYTES * 3 // 4)
    ).decode()
    for number in range(6):
        engine = world.build_engine(number, 12, text_engine.TextEngine)
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
    if not await wait_until(lambda: find_holder(world), 10.0):
        raise worlds.Failed('nobody holds the duty')
    await asyncio.sleep(worlds.CONTACT_SECONDS)
    items = [f'{BATCH}i{number}' for number in range(ITEMS)]
    submission = platform_calls.Submission(
        BATCH, '/pufi791/7c41e0', 0, worlds.MODEL, 1, ITEMS // 8, items, 8
    )
    request = platform_calls.build_submission(submission)
    if await world.fetch_any(request, 202, 5.0) is None:
        raise worlds.Failed('the batch job is not accepted')
    first = find_owner(world)
    world.note(f'a batch job of {ITEMS} items is accepted; {first} has it')
    submitted = world.now
    finished = text_engine.TextEngine.finished
    await asyncio.sleep(1.0)
    world.note(f'{len(finished)} finished, {count_listed(world)} listed')
    if trouble:
        world.note('the store is down: 503 to all calls')
        world.store.log.down = True
        await asyncio.sleep(OUTAGE_SECONDS)
        world.store.log.down = False
        world.note(f'the store is back; {len(finished)} items finished')
    for _ in range(4):
        await asyncio.sleep(1.0)
        refused = [
            size
            for sizes in world.store.refused_sizes.values()
            for size in sizes
        ]
        world.note(
            f'{len(finished)} finished, {count_listed(world)} listed; '
            f'{len(refused)} calls refused for their size, of '
            f'{min(refused, default=0)} to {max(refused, default=0)} bytes'
        )
    if trouble:
        owner = next(g for g in world.gateways if g.name == first)
        world.note(f'{first} freezes')
        owner.send_signal(signal.SIGSTOP)
        await wait_until(
            lambda: find_owner(world) != first, MAX_FREEZE_SECONDS
        )
        owner.send_signal(signal.SIGCONT)
        second = find_owner(world)
        world.note(f'{first} wakes; {second} has the batch job')
        await asyncio.sleep(0.5)
        stopped = next(g for g in world.gateways if g.name == second)
        stopped.send_signal(signal.SIGTERM)
        world.note(f'{second} gets SIGTERM')
        await wait_until(lambda: not stopped.running, worlds.GRACE_SECONDS)
        stopped.end()
        stopped.start()
        world.note(f'{second} has ended, and is started again')
    calm_at = asyncio.get_running_loop().time() + worlds.CONTACT_SECONDS
    while world.now < submitted + DUE_MS / 1000:
        if count_listed(world) == ITEMS:
            break
        await asyncio.sleep(0.2)
    runs = [run for run in world.books.runs if run.started >= calm_at]
    running = sum(engine._running for engine in world.replicas)
    left = [item for item in items if item not in finished]
    idle = asyncio.get_running_loop().time() - calm_at
    world.note(
        f'{count_listed(world)} of {ITEMS} listed, {len(left)} never '
        f'finished, {running} running, {len(runs)} runs in the calm, owner '
        f'{find_owner(world)}, holder {find_holder(world)}'
    )
    if left and not running and not runs and idle > IDLE_SECONDS:
        return (
            f'LOST: the step ran out of time with {len(left)} items that no '
            f'replica has finished, at no replica for {idle:.1f} s of steady '
            'state'
        )
    return ''


if __name__ == '__main__':
    worlds.run(__file__, play, store=strict_store.StrictStore)
