"""Runs the soak: seeds, their faults, the verdicts, and shorter schedules.

    python -m auburnroad_e2e.soak.run --seeds=50
    python -m auburnroad_e2e.soak.run --first=7 --shorter

Each seed is one deployment with its own faults. Promises are checked when
all faults are over and the system has recovered. A seed that breaks one is
printed with its breaches; with --shorter its faults are left out one by one
as long as it still breaks one.
"""

import asyncio
import pathlib
import random
import sys
import tempfile

import fire
import msgspec

from auburnroad_e2e.soak import callers as all_callers
from auburnroad_e2e.soak import faults
from auburnroad_e2e.soak import promises
from auburnroad_e2e.soak import regressions
from auburnroad_e2e.soak import schedule as schedules
from auburnroad_e2e.soak import world as worlds

SECONDS = 12.0
FRESH_SEEDS = 10**6
# A step that begins when all faults are over must be whole by then; the limit
# only keeps a run that hangs from lasting for ever.
RECOVER_SECONDS = 60.0
POLL_SECONDS = 0.2


class Played(msgspec.Struct, frozen=True):
    """What a run has shown.

    Attributes:
      breaches: A line for each breach of a promise.
      trace: When the soak's own event loop stood still, in one line.
    """

    breaches: list[str]
    trace: str


async def play(
    schedule: schedules.Schedule, directory: pathlib.Path, timed: bool
) -> Played:
    """Play one schedule.

    Args:
      schedule: What to play.
      directory: Where settings and logs of the processes go.
      timed: Whether promises with a time bound are checked, too.

    Returns:
      Breaches, and a trace of the event loop.
    """
    world = worlds.World(schedule, directory)
    callers = all_callers.Callers(world, schedule.seed)
    try:
        await world.start()
        callers.start()
        began = asyncio.get_running_loop().time()
        await _apply_faults(world)
        breaches = await _recover(world, callers)
        await callers.stop()
        await _read_all(callers)
        breaches += promises.check_all(world, callers, timed)
        return Played(breaches, world.loop_trace.describe(began))
    finally:
        await callers.stop()
        await world.close()


async def _apply_faults(world: worlds.World) -> None:
    start = asyncio.get_running_loop().time()

    async def apply(fault: schedules.Fault) -> None:
        delay = start + fault.at - asyncio.get_running_loop().time()
        await asyncio.sleep(max(0.0, delay))
        await faults.KINDS.get(fault.kind)(world, fault)

    await asyncio.gather(*(apply(fault) for fault in world.schedule.faults))


async def _recover(world, callers) -> list[str]:
    """Wait until each gateway serves and a step gets through."""
    breaches = []
    for gateway in world.gateways:
        try:
            async with asyncio.timeout(RECOVER_SECONDS):
                while not await _serves(callers, gateway):
                    await asyncio.sleep(POLL_SECONDS)
        except TimeoutError:
            breaches.append(f'recovers: {gateway.name} does not serve')
    book = await callers.run_step(RECOVER_SECONDS)
    wanted = all_callers.GROUPS_WANTED * all_callers.GROUP_SIZE
    if len(book.results) < wanted:
        breaches.append(f'recovers: {book.id} has {len(book.results)} results')
    return breaches


async def _serves(callers, gateway) -> bool:
    return (await callers.ask('plain', '/plain/x', gateway)).status == 200


async def _read_all(callers: all_callers.Callers) -> None:
    """Read every accepted batch from the start once more."""
    for book in callers.batches:
        if book.accepted_at is None:
            continue
        async with asyncio.timeout(RECOVER_SECONDS):
            while await callers.read(book, 0) not in (200, 404):
                await asyncio.sleep(POLL_SECONDS)


def run_schedule(
    schedule: schedules.Schedule, timed: bool = True, keep: str = ''
) -> Played:
    """Play a schedule in a directory of its own.

    Args:
      schedule: What to play.
      timed: Whether promises with a time bound are checked, too.
      keep: Where its files stay; empty to have them removed.

    Returns:
      Breaches, and a trace of the event loop.
    """
    if keep:
        directory = pathlib.Path(keep)
        directory.mkdir(parents=True, exist_ok=True)
        return asyncio.run(play(schedule, directory, timed))
    with tempfile.TemporaryDirectory() as name:
        return asyncio.run(play(schedule, pathlib.Path(name), timed))


def shrink(schedule: schedules.Schedule) -> schedules.Schedule:
    """Leave out faults as long as a promise is still broken."""
    for fault in schedule.faults:
        shorter = msgspec.structs.replace(
            schedule,
            faults=tuple(other for other in schedule.faults if other != fault),
        )
        if run_schedule(shorter).breaches:
            schedule = shorter
    return schedule


def _print_played(schedule: schedules.Schedule, played: Played) -> None:
    verdict = 'FAILED' if played.breaches else 'held'
    kinds = sorted({fault.kind for fault in schedule.faults})
    print(
        f'seed {schedule.seed}: {verdict}; {schedule.gateways} gateways,'
        f' {schedule.engines} engines, {len(schedule.faults)} faults:'
        f' {", ".join(kinds)}',
        flush=True,
    )
    print(f'  {played.trace}', flush=True)
    for breach in played.breaches[:10]:
        print(f'  {breach}', flush=True)


def _list_fixed(
    known: bool, lost_at_release: bool, former_holder: bool, lost_reads: bool
) -> list[schedules.Schedule]:
    if known:
        return regressions.list_schedules()
    chosen = {
        'LOST_AT_RELEASE': lost_at_release,
        'FORMER_HOLDER': former_holder,
        'LOST_READS': lost_reads,
    }
    return [
        getattr(regressions, name)
        for name, is_chosen in chosen.items()
        if is_chosen
    ]


def main(
    seeds: int = 1,
    first: int = 0,
    seconds: float = SECONDS,
    gateways: int = 0,
    known: bool = False,
    lost_at_release: bool = False,
    former_holder: bool = False,
    lost_reads: bool = False,
    duties: str = '',
    shorter: bool = False,
    timed: bool = True,
    keep: str = '',
) -> None:
    """Run the soak.

    Args:
      seeds: How many seeds.
      first: The first one; zero for a fresh one.
      seconds: How long faults come in each run.
      gateways: How many gateways; zero to have each seed draw it.
      known: Run the seeds that once failed instead.
      lost_at_release: Run only the loss of all gateways at a release.
      former_holder: Run only the cuts after which a former holder ordered.
      lost_reads: Run only the lost reads after which routes were denied.
      duties: Have only faults that may make two gateways order loads, of
        this kind, or 'all' of them.
      shorter: Find a shorter schedule for each seed that fails.
      timed: Check the promises with a time bound, too.
      keep: Directory for settings and logs; empty to keep none.
    """
    first = first or random.SystemRandom().randrange(1, FRESH_SEEDS)
    kinds = [
        kind for kind in schedules.DUTY_KINDS if duties in ('all', kind)
    ] or faults.KINDS.names
    drawn = [
        schedules.draw(seed, seconds, kinds, gateways)
        for seed in range(first, first + seeds)
    ]
    drawn = (
        _list_fixed(known, lost_at_release, former_holder, lost_reads) or drawn
    )
    failed = 0
    for schedule in drawn:
        place = f'{keep}/{schedule.seed}' if keep else ''
        played = run_schedule(schedule, timed, place)
        breaches = played.breaches
        failed += bool(breaches)
        _print_played(schedule, played)
        if breaches and shorter:
            for fault in shrink(schedule).faults:
                print(f'  needs {fault}', flush=True)
    print(f'soak: {len(drawn) - failed} passed, {failed} failed')
    sys.exit(1 if failed else 0)


if __name__ == '__main__':
    fire.Fire(main)
