"""Faults that may make two gateways order weight loads.

A gateway's heartbeats and what it knows of the duties come by different calls
to the log service, which these faults let come apart. Weight versions are
named all the while, so that orders are due when a fault ends.
"""

import asyncio
import contextlib

from auburnroad_e2e.launch import relay
from auburnroad_e2e.soak import faults
from auburnroad_gateway.members import membership
from auburnroad_gateway.weights import duty
from auburnroad_standins import platform_store

APART = 'gateway-apart'
ANSWERED_LATE = 'duties-answered-late'
NAMING_SECONDS = 1.5
MAX_FROZEN_SECONDS = 6.0
# A read may come back so much later than a heartbeat is confirmed; within the
# time after which a gateway gives it up, and over this time.
LATE_SECONDS = (0.0, 1.3, 2.2)
MISSED_SECONDS = 2.5
WAYS = ('cut', 'silent', 'reset')
# Which calls to the log service are disturbed.
TOPICS = (
    (duty.TOPIC,),
    (membership.TOPIC,),
    (duty.TOPIC, membership.TOPIC),
)
TROUBLES = (
    platform_store.TopicFault(silent=True),
    platform_store.TopicFault(refused=True),
    platform_store.TopicFault(delay_seconds=1.3),
    platform_store.TopicFault(hold_seconds=1.3),
)


def _choose_holder(world, fault):
    """Choose the gateway that ordered last in every other draw."""
    if world.books.orders and faults.pick((True, False), fault, 1009):
        return faults.find_gateway(world, world.books.orders[-1].holder)
    return faults.choose(world.gateways, fault)


@contextlib.contextmanager
def _name_versions(world):
    async def name() -> None:
        while True:
            world.name_version()
            await asyncio.sleep(NAMING_SECONDS)

    task = asyncio.create_task(name())
    try:
        yield
    finally:
        task.cancel()


@contextlib.contextmanager
def _part(relays, way: str):
    """Cut paths, or silence them; what is open then stays silent or not."""
    for path in relays:
        if way == 'cut':
            path.cut()
        else:
            path.silence(relay.Direction.BOTH, lasting=True)
    try:
        yield
    finally:
        for path in relays:
            path.heal()
            if way == 'reset':
                path.reset()


@contextlib.asynccontextmanager
async def _read_late(world, gateway, fault):
    """Let a gateway read duties late, or as they were, from now on."""
    seconds = faults.pick(LATE_SECONDS, fault, 251)
    field = faults.pick(('delay_seconds', 'hold_seconds'), fault, 719)
    late = platform_store.TopicFault(reads_only=True, **{field: seconds})
    with faults.disturb_topics(world, gateway.name, [duty.TOPIC], late):
        yield
        await asyncio.sleep(seconds)


@faults.KINDS.register(APART)
async def part_gateway(world, fault) -> None:
    """Replicas and callers reach a gateway; the log and others don't."""
    gateway = _choose_holder(world, fault)
    peers = world.peers.relays.values()
    with (
        faults.disturb(world, fault.kind, gateway.name),
        _name_versions(world),
        _part(peers, faults.pick(WAYS, fault, 193)),
    ):
        with _part([gateway.relay], faults.pick(WAYS, fault, 499)):
            await asyncio.sleep(fault.seconds)
        async with _read_late(world, gateway, fault):
            pass


@faults.KINDS.register('holder-frozen')
async def freeze_holder(world, fault) -> None:
    """Others answer it after the thaw in every other draw only."""
    gateway = _choose_holder(world, fault)
    peers = faults.pick((world.peers.relays.values(), ()), fault, 127)
    with (
        faults.disturb(world, faults.PAUSED, gateway.name),
        _name_versions(world),
        _part(peers, faults.pick(WAYS, fault, 193)),
    ):
        async with _read_late(world, gateway, fault):
            gateway.process.freeze()
            await asyncio.sleep(min(fault.seconds, MAX_FROZEN_SECONDS))
            gateway.process.thaw()
        await asyncio.sleep(NAMING_SECONDS)


@faults.KINDS.register('log-partitions-down')
async def take_partitions_down(world, fault) -> None:
    """The log serves some topics only, to all hosts or to all but one."""
    gateway = _choose_holder(world, fault)
    of_all = faults.pick((True, False), fault, 127)
    host = platform_store.ALL_HOSTS if of_all else gateway.name
    topics = faults.pick(TOPICS, fault, 61)
    peers = [] if of_all else world.peers.relays.values()
    with (
        faults.disturb(world, fault.kind, host),
        _name_versions(world),
        _part(peers, faults.pick(WAYS, fault, 193)),
    ):
        with faults.disturb_topics(
            world, host, topics, faults.pick(TROUBLES, fault, 31)
        ):
            await asyncio.sleep(fault.seconds)
        async with _read_late(world, gateway, fault):
            pass


@faults.KINDS.register(ANSWERED_LATE)
async def answer_duties_late(world, fault) -> None:
    """A holder misses heartbeats, and reads duties as they were before."""
    gateway = _choose_holder(world, fault)
    missed = platform_store.TopicFault(silent=True)
    old = platform_store.TopicFault(
        hold_seconds=faults.pick(LATE_SECONDS[1:], fault, 251), reads_only=True
    )
    with (
        faults.disturb(world, fault.kind, gateway.name),
        _name_versions(world),
        _part(world.peers.relays.values(), faults.pick(WAYS, fault, 193)),
        faults.disturb_topics(world, gateway.name, [duty.TOPIC], old),
    ):
        with faults.disturb_topics(
            world, gateway.name, [membership.TOPIC], missed
        ):
            await asyncio.sleep(MISSED_SECONDS)
        await asyncio.sleep(fault.seconds)
