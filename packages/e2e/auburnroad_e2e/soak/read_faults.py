"""Faults by which gateways learn late of changes of the configuration.

The reads of some gateways are lost, refused or answered late, on their own
path or on all, while the configuration changes again and again. What a gateway
doesn't know by then it must not deny.
"""

import asyncio
import contextlib

from auburnroad_e2e.launch import relay
from auburnroad_e2e.soak import faults
from auburnroad_standins import platform_calls
from auburnroad_standins import platform_store

UNREAD = 'operators-unread'
LOST_IN_SERIES = 'reads-lost-in-series'
# Pauses between changes, and between connections that go silent.
CHANGE_SECONDS = (0.3, 0.9, 2.1)
SILENCES = 4
TROUBLES = (
    platform_store.TopicFault(silent=True, reads_only=True),
    platform_store.TopicFault(refused=True, reads_only=True),
    platform_store.TopicFault(delay_seconds=1.3, reads_only=True),
    platform_store.TopicFault(hold_seconds=1.3, reads_only=True),
)


@contextlib.contextmanager
def _change_configuration(world, pause_seconds: float):
    async def change() -> None:
        while True:
            world.write_configuration(add_route=True)
            await asyncio.sleep(pause_seconds)

    task = asyncio.create_task(change())
    try:
        yield
    finally:
        task.cancel()


def _choose_hosts(world, fault) -> list[str]:
    """Choose one gateway, half of them, or all."""
    names = [gateway.name for gateway in world.gateways]
    one = [faults.choose(world.gateways, fault).name]
    return faults.pick((one, names[::2], names), fault, 1009)


@faults.KINDS.register(UNREAD)
async def leave_unread(world, fault) -> None:
    """The operators' topic can't be read, or only late."""
    hosts = _choose_hosts(world, fault)
    trouble = faults.pick(TROUBLES, fault, 499)
    topics = [platform_calls.OPERATOR_TOPIC]
    pause_seconds = faults.pick(CHANGE_SECONDS, fault, 193)
    with contextlib.ExitStack() as stack:
        stack.enter_context(faults.disturb(world, fault.kind, *hosts))
        for host in hosts:
            stack.enter_context(
                faults.disturb_topics(world, host, topics, trouble)
            )
        stack.enter_context(_change_configuration(world, pause_seconds))
        await asyncio.sleep(fault.seconds)


@faults.KINDS.register(LOST_IN_SERIES)
async def lose_reads_in_series(world, fault) -> None:
    """A gateway's connections go silent again and again beside cut-off peers.

    Its peers don't reach the log service, so that only new connections of its
    own do.
    """
    gateway = faults.choose(world.gateways, fault)
    others = [entry for entry in world.gateways if entry is not gateway]
    with contextlib.ExitStack() as stack:
        names = [entry.name for entry in world.gateways]
        stack.enter_context(faults.disturb(world, fault.kind, *names))
        for other in others:
            other.relay.silence(relay.Direction.BOTH, lasting=True)
            stack.callback(other.relay.reset)
            stack.callback(other.relay.heal)
        for _ in range(SILENCES):
            gateway.relay.silence(relay.Direction.BOTH, lasting=False)
            world.write_configuration(add_route=True)
            await asyncio.sleep(fault.seconds / SILENCES)
