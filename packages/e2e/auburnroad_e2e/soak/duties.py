"""Presses the duties at the platform's API with faults drawn by seed.

    python -m auburnroad_e2e.soak.duties --seeds=5

Callers of several accounts send requests to real gateway processes, while
holders are killed between fixing and sending a report or frozen past their
lease, and the log service and the API fail. Afterwards the API's books are
compared with those of the replicas.
"""

import asyncio
import collections
import functools
import pathlib
import random
import sys
import tempfile
import time

import fire
import msgspec

from auburnroad_core.http import client
from auburnroad_core.http import messages
from auburnroad_core import registry
from auburnroad_e2e.soak import duty_gateway
from auburnroad_e2e.soak import faults
from auburnroad_e2e.soak import schedule as schedules
from auburnroad_e2e.soak import world as worlds
from auburnroad_gateway.model import settings
from auburnroad_standins import platform_api
from auburnroad_standins import platform_calls

SECONDS = 16.0
GATEWAYS = 4
WINDOW_SECONDS = 2.0
BOUNDS = settings.Bounds(
    grace_s=worlds.GRACE_SECONDS, report_window_s=WINDOW_SECONDS
)
LEASE_SECONDS = BOUNDS.lease_ms / 1000
ACCOUNTS = ('alpha', 'beta', 'gamma', 'delta')
# Most accounts have about one request in a window.
ACCOUNT_WEIGHTS = (40, 2, 1, 1)
REQUEST_PAUSE_SECONDS = 0.05
FIRST_FAULT_SECONDS = 5.0
FAULT_GAPS = (3.0, 5.0)
FIX_SECONDS = 12.0
# Until a frozen holder counts as dead, the next one has claimed the duty and
# waited for the lease, and has called.
FROZEN_SECONDS = LEASE_SECONDS + 2.5
# After this time no window may be without its report.
REPORTED_SECONDS = 30.0
# A gateway that is killed or frozen loses what it has not written: an attempt
# may be undecided until 2 s after the end of its window, and is written within
# a second.
EXCUSED_SECONDS = 3.0
BORROWED = (
    'gateway-killed',
    'gateway-stopped',
    'log-down',
    'log-slow',
    'log-history-lost',
    'log-answers-lost',
    'log-path-cut',
)
KINDS: registry.Registry = registry.Registry('duty fault')


class Gateway(worlds.Gateway):
    """A gateway with the duty of the usage report."""

    def __init__(self, api_address, fencing, name, ip, directory):
        super().__init__(name, ip, directory)
        self._api_address = api_address
        self._fencing = fencing
        self.process.arguments = [
            sys.executable,
            '-m',
            'auburnroad_e2e.soak.duty_gateway',
        ]

    def write_settings(self, domain: str) -> None:
        """Write the settings with the API's address and the duty."""
        super().write_settings(domain)
        written = msgspec.json.decode(
            self._settings_path.read_bytes(), type=settings.Settings
        )
        written = msgspec.structs.replace(
            written,
            bounds=msgspec.structs.replace(BOUNDS, fencing=self._fencing),
            cloud=settings.Cloud(self._api_address, (settings.USAGE_REPORT,)),
        )
        self._settings_path.write_bytes(msgspec.json.encode(written))


class Callers:
    """Callers of all accounts, and when they sent which request.

    Attributes:
      sent: Account and wall-clock seconds of each request by its id.
    """

    def __init__(self, world: worlds.World, seed: int):
        self.sent: dict[str, tuple[str, float]] = {}
        self._world = world
        self._random = random.Random(seed)

    async def run(self) -> None:
        """Send requests until cancelled."""
        async with asyncio.TaskGroup() as group:
            while True:
                group.create_task(self._send())
                await asyncio.sleep(REQUEST_PAUSE_SECONDS)

    async def _send(self) -> None:
        (account,) = self._random.choices(ACCOUNTS, ACCOUNT_WEIGHTS)
        request_id = f'u{len(self.sent)}'
        self.sent[request_id] = (account, time.time())
        headers = {
            platform_calls.REQUEST_ID: request_id,
            duty_gateway.ACCOUNT_HEADER: account,
        }
        request = messages.Request('POST', '/plain/x', headers, b'x')
        try:
            await self._world.call(
                self._random.choice(self._world.gateways), request
            )
        except client.HttpError:
            # What counts is whether a replica ran it.
            return


def find_holder(world, api) -> worlds.Gateway:
    """Find the gateway that called last."""
    name = api.calls[-1].holder
    return next(entry for entry in world.gateways if entry.name == name)


async def wait_for_fixed(world, api) -> worlds.Gateway:
    """Refuse all calls until there is one, so that a fixed report waits.

    Returns:
      The holder that sent it, and will send it again.
    """
    api.status = 503
    seen = len(api.calls)
    until = time.monotonic() + FIX_SECONDS
    while len(api.calls) == seen and time.monotonic() < until:
        await asyncio.sleep(0.01)
    return find_holder(world, api)


@KINDS.register('holder-killed-after-fixing')
async def kill_after_fixing(world, api, fault) -> None:
    """Kill the holder between the fixing of a report and its delivery."""
    holder = await wait_for_fixed(world, api)
    with faults.disturb(world, 'gateway-killed', holder.name):
        async with holder.restarting:
            holder.process.kill()
            await holder.process.wait(worlds.READY_SECONDS)
            api.status = 0
            await asyncio.sleep(fault.seconds)
            holder.start()
        await world.wait_ready(holder)


@KINDS.register('holder-frozen')
async def freeze_holder(world, api, fault) -> None:
    """Freeze the holder for longer than its lease, with a report to send.

    The next holder sends it meanwhile.
    """
    holder = await wait_for_fixed(world, api)
    async with holder.restarting:
        with faults.disturb(world, faults.PAUSED, holder.name):
            holder.process.freeze()
            api.status = 0
            await asyncio.sleep(FROZEN_SECONDS + fault.seconds)
            holder.process.thaw()


@KINDS.register('api-silent')
async def silence_api(world, api, fault) -> None:
    """Let the API carry out nothing for several windows."""
    with faults.disturb(world, 'api-silent'):
        api.silent = True
        await asyncio.sleep(2 * WINDOW_SECONDS + fault.seconds)
        api.silent = False


@KINDS.register('api-answers-lost')
async def lose_answers(world, api, fault) -> None:
    with faults.disturb(world, 'api-silent'):
        api.lose_answers += 2
        await asyncio.sleep(fault.seconds)


def draw(seed: int, seconds: float) -> schedules.Schedule:
    """Draw the faults of a seed; each kind of the duties comes first once."""
    source = random.Random(seed)
    kinds = [*KINDS.names, *BORROWED]
    drawn = []
    at = FIRST_FAULT_SECONDS
    while at < seconds:
        own = source.random() < 0.6
        drawn.append(
            schedules.Fault(
                source.choice(KINDS.names if own else kinds),
                round(at, 2),
                round(source.uniform(0.5, 4.0), 2),
                source.random(),
            )
        )
        at += source.uniform(*FAULT_GAPS)
    return schedules.Schedule(seed, seconds, GATEWAYS, 1, 2, tuple(drawn))


async def play(
    schedule: schedules.Schedule, directory: pathlib.Path
) -> list[str]:
    """Play a schedule.

    Returns:
      A line for each breach of a promise.
    """
    fencing = schedule.seed % 2 == 1
    api = platform_api.PlatformApi(fencing)
    address = await api.listen()
    world = worlds.World(
        schedule, directory, functools.partial(Gateway, address, fencing)
    )
    callers = Callers(world, schedule.seed)
    try:
        await world.start()
        task = asyncio.create_task(callers.run())
        await _apply_faults(world, api)
        for gateway in world.gateways:
            await world.wait_ready(gateway)
        last = int(time.time() / WINDOW_SECONDS)
        async with asyncio.timeout(REPORTED_SECONDS):
            while max(api.reports, default=0) < last:
                await asyncio.sleep(0.1)
        task.cancel()
        _print_figures(world, api, callers, last)
        return [
            *platform_api.find_violations(api.calls, LEASE_SECONDS),
            *find_missing(api, last),
            *find_wrong_counts(world, api, callers, last),
        ]
    except TimeoutError:
        return [f'windows up to {last} are not reported: {max(api.reports)}']
    finally:
        await world.close()
        await api.close()


async def _apply_faults(world, api) -> None:
    start = asyncio.get_running_loop().time()

    async def apply(fault: schedules.Fault) -> None:
        delay = start + fault.at - asyncio.get_running_loop().time()
        await asyncio.sleep(max(0.0, delay))
        if fault.kind in KINDS.names:
            await KINDS.get(fault.kind)(world, api, fault)
        else:
            await faults.KINDS.get(fault.kind)(world, fault)

    await asyncio.gather(*(apply(fault) for fault in world.schedule.faults))


def _print_figures(world, api, callers: Callers, last: int) -> None:
    """Print how much the verdict rests on."""
    offset = time.time() - asyncio.get_running_loop().time()
    compared = [
        window
        for window in range(min(api.reports), last)
        if not _is_excused(world, window, offset)
    ]
    latest = max(
        at + offset - (window + 1) * WINDOW_SECONDS
        for window, at in api.reported_at.items()
    )
    print(
        f'{len(callers.sent)} requests, {len(api.reports)} reports, counts of'
        f' {len(compared)} compared, {len(api.calls)} calls, latest report'
        f' {latest:.1f} s after its window',
        flush=True,
    )


def find_missing(api, last: int):
    """Find windows between the first and the last without a report."""
    for window in range(min(api.reports), last + 1):
        if window not in api.reports:
            yield f'window {window} was not reported'


def find_wrong_counts(world, api, callers: Callers, last: int):
    """Find wrong counts of windows in which no gateway was killed or frozen.

    A request that was sent in one window and run in another may count in
    either.
    """
    offset = time.time() - asyncio.get_running_loop().time()
    certain = collections.Counter()
    possible = collections.Counter()
    started: dict[str, float] = {}
    for run in world.books.runs:
        if run.request_id in callers.sent:
            started.setdefault(run.request_id, run.started + offset)
    for request_id, ran_at in started.items():
        account, sent_at = callers.sent[request_id]
        windows = {int(at // WINDOW_SECONDS) for at in (sent_at, ran_at)}
        for window in windows:
            possible[window, account] += 1
            certain[window, account] += len(windows) == 1
    for window in range(min(api.reports), last):
        if _is_excused(world, window, offset) or window not in api.reports:
            continue
        for account in ACCOUNTS:
            count = api.reports[window].get(account, 0)
            low, high = certain[window, account], possible[window, account]
            if not 0.95 * low <= count <= 1.05 * high:
                yield (
                    f'window {window}, {account}: {count} reported,'
                    f' {low} to {high} run'
                )


def _is_excused(world, window: int, offset: float) -> bool:
    begin = window * WINDOW_SECONDS - offset
    end = begin + WINDOW_SECONDS + EXCUSED_SECONDS
    return any(
        entry.start < end and entry.end > begin
        for entry in world.disturbances
        if entry.kind in ('gateway-killed', faults.PAUSED)
    )


def run_schedule(schedule: schedules.Schedule, keep: str) -> list[str]:
    """Play a schedule in a directory of its own, or in one that stays."""
    if keep:
        directory = pathlib.Path(keep, str(schedule.seed))
        directory.mkdir(parents=True, exist_ok=True)
        return asyncio.run(play(schedule, directory))
    with tempfile.TemporaryDirectory() as name:
        return asyncio.run(play(schedule, pathlib.Path(name)))


def main(
    seeds: int = 1, first: int = 1, seconds: float = SECONDS, keep: str = ''
) -> None:
    """Run the soak of the duties.

    Args:
      seeds: How many seeds.
      first: The first one.
      seconds: How long faults come in each run.
      keep: Directory for settings and logs; empty to keep none.
    """
    failed = 0
    for seed in range(first, first + seeds):
        schedule = draw(seed, seconds)
        breaches = run_schedule(schedule, keep)
        failed += bool(breaches)
        kinds = ', '.join(fault.kind for fault in schedule.faults)
        verdict = 'FAILED' if breaches else 'held'
        print(f'seed {seed}: {verdict}; {kinds}', flush=True)
        for breach in breaches[:10]:
            print(f'  {breach}', flush=True)
    print(f'soak of duties: {seeds - failed} passed, {failed} failed')
    sys.exit(1 if failed else 0)


if __name__ == '__main__':
    fire.Fire(main)
