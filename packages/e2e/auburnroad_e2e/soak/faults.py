"""The kinds of faults of the soak, each by its name.

A kind is a coroutine that begins the fault, lasts as long as the fault, and
heals it. It notes what is wrong with whom, since some promises hold only
where nothing is.
"""

import asyncio
import contextlib

from auburnroad_core import registry
from auburnroad_e2e.launch import relay
from auburnroad_e2e.soak import schedule as schedules
from auburnroad_e2e.soak import supervision
from auburnroad_e2e.soak import world as worlds
from auburnroad_standins import platform_replica

KINDS: registry.Registry = registry.Registry('fault')
LEAVING = 'replica-leaving'
PAUSED = 'gateway-paused'
LIMITED = 'replica-limited'
ENDLESS = 'replica-endless'
ALL_SILENT = 'all-connections-silent'
HISTORY_LOST_BEHIND_CUT = 'log-history-lost-behind-cut'
RELEASED = 'software-released'
ALL_LOST_AT_RELEASE = 'all-gateways-lost-at-release'
CRASHING = 'request-crashes-replicas'
SLOW_SECONDS = 0.15
# Interval of the checks whether a replica has been started again.
START_POLL_SECONDS = 0.01
DELAY_SECONDS = 0.05
SLOW_FACTOR = 8
FAIL_SHARE = 0.5
LOST_ANSWERS = 5
REFUSED_SNAPSHOTS = 4
# Requests per second of a replica that limits its rate, and for how long.
RATE_LIMITS = (0.5, 1.0, 2.0, 4.0)
LIMITED_SECONDS = 4.0
# How long a request that crashes replicas comes again, and its pauses.
CRASHING_SECONDS = 8.0
CRASHING_PAUSE_SECONDS = 0.4
# Delays in seconds of the kill of all gateways and of the release.
RELEASE_DELAYS = ((0.0, 0.6), (0.6, 0.0), (0.3, 0.3))
# A disturbance may still show so long after it has ended: connections that
# have gone silent are noticed late.
AFTERMATH_SECONDS = 4.0


@contextlib.contextmanager
def disturb(world: worlds.World, kind: str, *subjects: str):
    """Note that something is wrong for as long as the block runs."""
    now = asyncio.get_running_loop().time
    noted = [
        worlds.Disturbance(kind, subject, now())
        for subject in subjects or ('',)
    ]
    world.disturbances.extend(noted)
    try:
        yield
    finally:
        for entry in noted:
            entry.end = now()


def find_gateway(world: worlds.World, name: str) -> worlds.Gateway:
    """Find a gateway by its name."""
    return next(entry for entry in world.gateways if entry.name == name)


def choose(subjects: list, fault: schedules.Fault):
    """Choose a subject by the fault's draw."""
    return subjects[int(fault.draw * len(subjects)) % len(subjects)]


def pick(options: tuple, fault: schedules.Fault, prime: int):
    """Choose an option by the fault's draw, apart from other choices.

    Args:
      options: What to choose from.
      fault: The fault.
      prime: Another number for each choice of a fault.
    """
    return options[int(fault.draw * prime) % len(options)]


@contextlib.contextmanager
def disturb_topics(world: worlds.World, host: str, topics, trouble):
    """Disturb a host's calls of some topics for as long as the block runs."""
    for topic in topics:
        world.store.topic_faults[host, topic] = trouble
    try:
        yield
    finally:
        for topic in topics:
            world.store.topic_faults.pop((host, topic), None)


async def _restart(world, gateway, seconds: float) -> None:
    async with gateway.restarting:
        gateway.process.kill()
        await gateway.process.wait(worlds.READY_SECONDS)
        await asyncio.sleep(seconds)
        gateway.start()
    await world.wait_ready(gateway)


async def _restart_all(world, delay_seconds: float = 0.0) -> None:
    await asyncio.sleep(delay_seconds)
    await asyncio.gather(
        *(
            _restart(world, gateway, supervision.RESTART_SECONDS)
            for gateway in world.gateways
        )
    )


@KINDS.register('gateway-killed')
async def kill_gateway(world, fault) -> None:
    gateway = choose(world.gateways, fault)
    with disturb(world, fault.kind, gateway.name):
        await _restart(world, gateway, supervision.RESTART_SECONDS)


@KINDS.register('gateway-lost')
async def lose_gateway(world, fault) -> None:
    gateway = choose(world.gateways, fault)
    with disturb(world, fault.kind, gateway.name):
        await _restart(world, gateway, fault.seconds)


@KINDS.register('all-gateways-killed')
async def kill_all_gateways(world, fault) -> None:
    with disturb(world, fault.kind):
        await _restart_all(world)


@KINDS.register(PAUSED)
async def pause_gateway(world, fault) -> None:
    gateway = choose(world.gateways, fault)
    with disturb(world, fault.kind, gateway.name):
        gateway.process.freeze()
        await asyncio.sleep(fault.seconds)
        gateway.process.thaw()


@KINDS.register('gateway-stopped')
async def stop_gateway(world, fault) -> None:
    """Stop a gateway as planned; this is no disturbance to its callers."""
    gateway = choose(world.gateways, fault)
    async with gateway.restarting:
        gateway.process.terminate()
        status = await gateway.process.wait(worlds.GRACE_SECONDS)
        with disturb(world, fault.kind, gateway.name):
            if status is None:
                gateway.process.kill()
                await gateway.process.wait(worlds.READY_SECONDS)
            gateway.start()
            await world.wait_ready(gateway)


@KINDS.register('gateway-hung-up')
async def hang_up_gateway(world, fault) -> None:
    choose(world.gateways, fault).process.hang_up()


@KINDS.register('log-down')
async def take_log_down(world, fault) -> None:
    with disturb(world, fault.kind):
        world.store.log.down = True
        await asyncio.sleep(fault.seconds)
        world.store.log.down = False


@KINDS.register('log-slow')
async def slow_log(world, fault) -> None:
    with disturb(world, fault.kind):
        world.store.delay_seconds = SLOW_SECONDS
        await asyncio.sleep(fault.seconds)
        world.store.delay_seconds = 0.0


@KINDS.register('log-answers-lost')
async def lose_log_answers(world, fault) -> None:
    with disturb(world, fault.kind):
        world.store.log.lose_answers += LOST_ANSWERS
        await asyncio.sleep(fault.seconds)
        world.store.log.lose_answers = 0


@KINDS.register('log-refuses-some')
async def refuse_some(world, fault) -> None:
    half = [gateway.name for gateway in world.gateways[::2]]
    with disturb(world, fault.kind, *half):
        world.store.refused |= set(half)
        await asyncio.sleep(fault.seconds)
        world.store.refused -= set(half)


@KINDS.register('log-history-lost')
async def lose_history(world, fault) -> None:
    world.store.forget_history()


@KINDS.register(HISTORY_LOST_BEHIND_CUT)
async def lose_history_behind_cut(world, fault) -> None:
    """A cut-off gateway misses a change, and its first snapshot is refused."""
    gateway = choose(world.gateways, fault)
    with disturb(world, fault.kind, gateway.name):
        gateway.relay.cut()
        world.write_configuration(add_route=True)
        await asyncio.sleep(fault.seconds)
        world.store.forget_history()
        world.store.log.refuse_snapshots += REFUSED_SNAPSHOTS
        gateway.relay.heal()


@KINDS.register('log-path-cut')
async def cut_log_path(world, fault) -> None:
    gateway = choose(world.gateways, fault)
    with disturb(world, fault.kind, gateway.name):
        gateway.relay.cut()
        await asyncio.sleep(fault.seconds)
        gateway.relay.heal()


@KINDS.register('log-path-silent')
async def silence_log_path(world, fault) -> None:
    gateway = choose(world.gateways, fault)
    ways = list(relay.Direction)
    way = ways[int(fault.draw * 97) % len(ways)]
    with disturb(world, fault.kind, gateway.name):
        gateway.relay.silence(way, lasting=True)
        await asyncio.sleep(fault.seconds)
        gateway.relay.heal()
        gateway.relay.reset()


@KINDS.register('log-connections-silent')
async def silence_log_connections(world, fault) -> None:
    """Open connections carry nothing more; new ones work."""
    gateway = choose(world.gateways, fault)
    with disturb(world, fault.kind, gateway.name):
        gateway.relay.silence(relay.Direction.BOTH, lasting=False)
        await asyncio.sleep(fault.seconds)


@KINDS.register(ALL_SILENT)
async def silence_all_connections(world, fault) -> None:
    """All open connections but those between gateways carry nothing more."""
    with disturb(world, fault.kind):
        for gateway in world.gateways:
            gateway.relay.silence(relay.Direction.BOTH, lasting=False)
        for before in world.relays.values():
            before.silence(relay.Direction.BOTH, lasting=False)


@KINDS.register('log-path-delayed')
async def delay_log_path(world, fault) -> None:
    gateway = choose(world.gateways, fault)
    with disturb(world, fault.kind, gateway.name):
        gateway.relay.delay_seconds = DELAY_SECONDS
        await asyncio.sleep(fault.seconds)
        gateway.relay.delay_seconds = 0.0


@KINDS.register('replica-dark')
async def darken_replica(world, fault) -> None:
    replica = choose(world.replicas, fault)
    with disturb(world, fault.kind, replica.id):
        replica.down = True
        world.relays[replica.id].silence(relay.Direction.BOTH, lasting=True)
        await asyncio.sleep(fault.seconds)
        replica.down = False
        world.relays[replica.id].heal()
        world.relays[replica.id].reset()


@KINDS.register(LEAVING)
async def announce_leave(world, fault) -> None:
    """Let a plain replica say that it leaves in its answers only.

    Announcements of one replica don't overlap, so that each lasts until the
    replica's next start, also if a request ends the replica before.
    """
    replica = choose(world.plain, fault)
    if replica.leaving:
        return
    with disturb(world, fault.kind, replica.id):
        replica.leaving = True
        loop = asyncio.get_running_loop()
        restart_at = loop.time() + worlds.DRAIN_SECONDS + fault.seconds
        while replica.leaving and loop.time() < restart_at:
            await asyncio.sleep(START_POLL_SECONDS)
        if replica.leaving:
            replica.restart()


@KINDS.register(LIMITED)
async def limit_replicas(world, fault) -> None:
    """Let one replica, or all of its service, limit their rate."""
    chosen = choose(world.replicas, fault)
    service = world.engines if chosen in world.engines else world.plain
    per_second = RATE_LIMITS[int(fault.draw * 97) % len(RATE_LIMITS)]
    of_all = int(fault.draw * 1009) % 2 == 0
    limited = [
        replica
        for replica in (service if of_all else [chosen])
        if not replica.is_limited
    ]
    if not limited:
        return
    with disturb(world, fault.kind, *(replica.id for replica in limited)):
        for replica in limited:
            replica.limit(per_second)
        await asyncio.sleep(LIMITED_SECONDS + fault.seconds)
        for replica in limited:
            replica.end_limit()


@KINDS.register(ENDLESS)
async def answer_without_end(world, fault) -> None:
    """Let a replica send bytes that are no answer until callers close."""
    replica = choose(world.replicas, fault)
    with disturb(world, fault.kind, replica.id):
        replica.endless = True
        await asyncio.sleep(fault.seconds)
        replica.endless = False


@KINDS.register(CRASHING)
async def send_crashing_request(world, fault) -> None:
    """Let a request come again at any gateway that ends each replica."""
    path = f'{platform_replica.CRASHING_PREFIX}{int(fault.draw * 10**9)}'
    now = asyncio.get_running_loop().time
    until = now() + CRASHING_SECONDS + fault.seconds
    number = int(fault.draw * 97)
    while now() < until:
        number += 1
        gateway = world.gateways[number % len(world.gateways)]
        await world.send_crashing(gateway, path)
        await asyncio.sleep(CRASHING_PAUSE_SECONDS)


@KINDS.register('replica-slow')
async def slow_replica(world, fault) -> None:
    replica = choose(world.replicas, fault)
    with disturb(world, fault.kind, replica.id):
        replica.pause_seconds *= SLOW_FACTOR
        await asyncio.sleep(fault.seconds)
        replica.pause_seconds /= SLOW_FACTOR


@KINDS.register('replica-fails-some')
async def fail_some(world, fault) -> None:
    replica = choose(world.replicas, fault)
    with disturb(world, fault.kind, replica.id):
        replica.fail_share = FAIL_SHARE
        await asyncio.sleep(fault.seconds)
        replica.fail_share = 0.0


@KINDS.register('replica-connections-reset')
async def reset_replica(world, fault) -> None:
    replica = choose(world.replicas, fault)
    with disturb(world, fault.kind, replica.id):
        world.relays[replica.id].reset()


@KINDS.register('replica-path-silent')
async def silence_replica(world, fault) -> None:
    replica = choose(world.replicas, fault)
    ways = list(relay.Direction)
    way = ways[int(fault.draw * 97) % len(ways)]
    with disturb(world, fault.kind, replica.id):
        world.relays[replica.id].silence(way, lasting=True)
        await asyncio.sleep(fault.seconds)
        world.relays[replica.id].heal()
        world.relays[replica.id].reset()


@KINDS.register('replica-replaced')
async def replace_replica(world, fault) -> None:
    """A new engine comes; the old one drains and leaves."""
    old = choose(world.engines, fault)
    await _replace(world, fault, old, old.software)


@KINDS.register(RELEASED)
async def release_software(world, fault) -> None:
    """The same, and the new engine has another software version."""
    old = choose(world.engines, fault)
    first, second = platform_replica.SOFTWARE_VERSIONS
    await _replace(
        world, fault, old, second if old.software == first else first
    )


@KINDS.register(ALL_LOST_AT_RELEASE)
async def lose_all_at_release(world, fault) -> None:
    """Another software version takes over as all gateways are killed."""
    kill_after, release_after = RELEASE_DELAYS[
        int(fault.draw * 97) % len(RELEASE_DELAYS)
    ]
    with disturb(world, fault.kind):
        await asyncio.gather(
            _restart_all(world, kill_after),
            _release_all(world, fault, release_after),
        )


async def _release_all(world, fault, delay_seconds: float) -> None:
    """Replace all engines; in every other draw the old ones are lost."""
    await asyncio.sleep(delay_seconds)
    olds = [
        engine
        for engine in world.engines
        if engine.id not in world.books.drained and not engine.down
    ]
    is_loss = int(fault.draw * 1009) % 2 == 0
    first, second = platform_replica.SOFTWARE_VERSIONS
    software = second if olds and olds[0].software == first else first
    if not is_loss:
        await asyncio.gather(
            *(_replace(world, fault, old, software) for old in olds)
        )
        return
    for old in olds:
        await world.add_engine(f'{old.id}+', old.version, software)
    for old in olds:
        _remove(world, old)


async def _replace(world, fault, old, software: str) -> None:
    if old.id in world.books.drained:
        return
    await world.add_engine(f'{old.id}+', old.version, software)
    old.drain()
    old.register(world.store.log)
    await asyncio.sleep(worlds.DRAIN_SECONDS + fault.seconds)
    _remove(world, old)


def _remove(world, old) -> None:
    old.down = True
    old.deregister(world.store.log)
    world.relays[old.id].cut()


@KINDS.register('order-answers-lost')
async def lose_order_answers(world, fault) -> None:
    for engine in world.engines:
        engine.lose_orders += 1


@KINDS.register('key-added')
async def add_key(world, fault) -> None:
    if world.keys:
        world.write_configuration(add_key=True)


@KINDS.register('key-removed')
async def remove_key(world, fault) -> None:
    world.remove_key()


@KINDS.register('configuration-changed')
async def change_configuration(world, fault) -> None:
    world.write_configuration(add_route=True)
