"""Starts gateway processes again that end by themselves, as a platform does.

A process that is hung up while its interpreter starts ends before any of its
own code has run. Every other end that no fault has caused is a breach.
"""

import asyncio
import signal

import msgspec

# A process that ended is started again so much later.
RESTART_SECONDS = 0.3
POLL_SECONDS = 0.1
# Longest start of an interpreter on a busy machine.
INTERPRETER_START_SECONDS = 5.0


class ProcessEnd(msgspec.Struct, frozen=True):
    """The end of a gateway process that no fault has ended.

    Attributes:
      gateway: Name of the gateway.
      status: Exit status, negative for a signal.
      age_seconds: Time since the process was started.
    """

    gateway: str
    status: int
    age_seconds: float

    @property
    def is_hung_up_at_start(self) -> bool:
        """Whether a hang-up came before the process could ignore it."""
        return (
            self.status == -signal.SIGHUP
            and self.age_seconds < INTERPRETER_START_SECONDS
        )


async def supervise(gateways, ends: list[ProcessEnd]) -> None:
    """Watch processes until cancelled.

    Args:
      gateways: Gateways whose processes were started.
      ends: Receives each process that ended by itself.
    """
    now = asyncio.get_running_loop().time
    while True:
        for gateway in gateways:
            if gateway.process.running or gateway.restarting.locked():
                continue
            ends.append(
                ProcessEnd(
                    gateway.name,
                    gateway.process.status,
                    now() - gateway.started_at,
                )
            )
            await asyncio.sleep(RESTART_SECONDS)
            if not gateway.restarting.locked():
                gateway.start()
        await asyncio.sleep(POLL_SECONDS)


def check_ends(world, callers):
    """A process ends only if a fault ends it."""
    for end in world.process_ends:
        if not end.is_hung_up_at_start:
            yield (
                f'{end.gateway} ended with status {end.status} after'
                f' {end.age_seconds:.1f} s'
            )
