"""A small deployment on loopback: gateways as processes, all else stand-ins.

The gateways are started with the command of the deploy file and settings that
are rendered from its template. The store and the replicas are the project's
own stand-ins, in the process of the script.
"""

import asyncio
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback

from auburnroad_core.http import client
from auburnroad_core.http import messages
from auburnroad_standins import platform_calls
from auburnroad_standins import platform_replica
from auburnroad_standins import platform_store
from review_stand_ins import template

ROOT = pathlib.Path(__file__).resolve().parents[3]
ROLE = 'gateway'
HOST = 'ficu95.example'
MODEL = 'daka510000'
MODEL_SERVICE = 'huvo11a'
PLAIN_SERVICE = 'wuno96b'
ZONES = ('hu-central-a', 'hu-central-b', 'hu-central-c')
CALLER_PORT = 8263
READY_PORT = 8268
# Of the settings that the pages show.
HEARTBEAT_SECONDS = 1.2
GRACE_SECONDS = 8.0
CONTACT_SECONDS = 3.0
RECOVERY_SECONDS = 12.0
RESTART_SECONDS = 0.3
BOUNDS = {
    'seedLagS': 3,
    'reuseAfterS': 2,
    'contactMs': 3000,
    'ackMs': 4000,
    'catchUpS': 5.5,
    'drainMs': 2000,
    'graceS': 8,
    'lossSlackMs': 200,
    'configMs': 2000,
    'backMs': 250,
    'skewMaxMs': 5000,
    'recoveryS': 12,
    'passMs': 120,
    'retryAfterS': 0,
    'finishS': 10,
    'statusS': 120,
    'cancelMs': 3000,
    'settleMs': 1000,
    'quotaOverage': 0.1,
    'fencing': True,
    'leaseMs': 3000,
    'thawMs': 300,
}


class Failed(Exception):
    """The case could not run."""


class Gateway:
    """One gateway process on an address of its own."""

    def __init__(self, world, number: int):
        self.name = f'front-{number}'
        self.zone = ZONES[number % len(ZONES)]
        self.ip = f'{world.prefix}.{11 + number}'
        self.address = f'{self.ip}:{CALLER_PORT}'
        self._world = world
        self._settings = world.folder / f'{self.name}.jsonc'
        self._log = world.folder / f'{self.name}.log'
        self._popen: subprocess.Popen | None = None

    @property
    def running(self) -> bool:
        """Whether the process has not ended."""
        return self._popen is not None and self._popen.poll() is None

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        role = self._world.role
        text = (ROOT / role['template']).read_text()
        self._settings.write_text(template.render(text, self._describe()))
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target/deps')
        environment['AUBURNROAD_NODE_FILE'] = str(self._settings)
        with self._log.open('ab') as log:
            self._popen = subprocess.Popen(
                role['run'].split(),
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
                env=environment,
            )

    def send_signal(self, number: int) -> None:
        """Send a signal to the process."""
        if self.running:
            self._popen.send_signal(number)

    def end(self) -> None:
        """Kill the process and wait for its end."""
        if self._popen is not None and self._popen.poll() is None:
            self._popen.send_signal(signal.SIGCONT)
            self._popen.kill()
            self._popen.wait()

    def read_log(self) -> str:
        """Read what the process has printed over all of its starts."""
        return self._log.read_text(errors='replace')

    def _describe(self) -> dict:
        return {
            'node': self.name,
            'role': ROLE,
            'ip': self.ip,
            'zone': self.zone,
            'region': 'hu-central',
            'listen': {
                'front': self.address,
                'ready': f'{self.ip}:{READY_PORT}',
            },
            'portRange': [7300, 7315],
            'limits': {
                'cpuShare': 0.717,
                'cores': 3,
                'memoryMb': 370,
                'maxFds': 8200,
            },
            'heartbeatMs': int(HEARTBEAT_SECONDS * 1000),
            'bounds': BOUNDS,
            'platform': {
                'address': self._world.store_address,
                'writesPerS': 800,
                'readsPerS': 2000,
                'recordBytes': 262144,
                'callBytes': 2097152,
                'retentionS': 300,
            },
        }


class World:
    """Store, replicas, gateways and the record of one run."""

    def __init__(self, case: pathlib.Path, store=None):
        self.case = case
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='case-'))
        self.prefix = _find_prefix()
        self.store = store or platform_store.PlatformStore()
        self.store_address = ''
        self.books = platform_replica.Books()
        self.replicas: list[platform_replica.Replica] = []
        self.gateways: list[Gateway] = []
        self.http = client.HttpClient()
        self.role = tomllib.loads((ROOT / 'deploy/system.toml').read_text())[
            'roles'
        ][ROLE]
        self._lines: list[str] = []
        self._calls: list[str] = []
        self._began = time.monotonic()
        self._tasks: list[asyncio.Task] = []
        self._revision = 0
        self._next_replica = 101

    @property
    def now(self) -> float:
        """Seconds since the start of the script."""
        return time.monotonic() - self._began

    def note(self, text: str) -> None:
        """Add a line to the record."""
        line = f'{self.now:8.3f} {text}'
        self._lines.append(line)
        print(line, flush=True)

    async def start(self, gateways: int) -> None:
        """Start the store's listener, heartbeats and the gateways."""
        self.store_address = await self.store.listen('all', f'{self.prefix}.1')
        self._tasks.append(asyncio.create_task(self._beat()))
        for number in range(gateways):
            self.gateways.append(Gateway(self, number))
        for gateway in self.gateways:
            gateway.start()
        for gateway in self.gateways:
            if not await self.wait_ready(gateway, 20.0):
                raise Failed(f'{gateway.name} is never ready')
        self.note(f'{gateways} gateways are ready')

    async def add(self, replica) -> None:
        """Start a replica and register it."""
        await replica.start(f'{self.prefix}.{self._next_replica}')
        self._next_replica += 1
        self.replicas.append(replica)
        replica.register(self.store.log)

    def build_engine(self, number: int, slots: int, kind=None):
        """Build a model replica."""
        return (kind or platform_replica.Engine)(
            f'i-e{number}',
            MODEL_SERVICE,
            ZONES[number % len(ZONES)],
            slots,
            self.books,
            model=MODEL,
        )

    def build_plain(self, number: int, slots: int, kind=None):
        """Build a replica of the plain service."""
        return (kind or platform_replica.Plain)(
            f'i-p{number}',
            PLAIN_SERVICE,
            ZONES[number % len(ZONES)],
            slots,
            self.books,
        )

    def configure(self, routes: list[dict], services: dict[str, str]) -> int:
        """Write the next configuration, as the operator does."""
        self._revision += 3
        value = platform_calls.build_configuration(
            self._revision, routes, services
        )
        self.store.log.put(
            platform_calls.OPERATOR_TOPIC,
            platform_calls.CONFIGURATION_KEY,
            json.dumps(value).encode(),
        )
        self.note(f'configuration {self._revision} is acknowledged')
        return self._revision

    async def fetch(
        self, gateway: Gateway, request: messages.Request, timeout: float = 5.0
    ) -> messages.Response | None:
        """Call a gateway on a new connection; None without an answer."""
        headers = {'host': HOST, **request.headers, 'connection': 'close'}
        sent = messages.Request(
            request.method, request.target, headers, request.body
        )
        caller = client.HttpClient()
        sent_at = self.now
        answer = 'no answer'
        try:
            response = await caller.fetch(gateway.address, sent, timeout)
            answer = f'{response.status}, {len(response.body)} bytes'
            return response
        except client.HttpError:
            return None
        finally:
            caller.close()
            request_id = headers.get(platform_calls.REQUEST_ID, '-')
            self._calls.append(
                f'{sent_at:8.3f} to {gateway.name}: {sent.method} '
                f'{sent.target} id {request_id}, {len(sent.body)} bytes -> '
                f'{answer} at {self.now:.3f}'
            )

    async def fetch_any(
        self, request: messages.Request, good: int, seconds: float
    ) -> messages.Response | None:
        """Call one gateway after the other until one answers as wanted."""
        until = time.monotonic() + seconds
        number = 0
        while time.monotonic() < until:
            gateway = self.gateways[number % len(self.gateways)]
            number += 1
            if gateway.running:
                response = await self.fetch(gateway, request, 4.0)
                if response is not None and response.status == good:
                    return response
            await asyncio.sleep(0.1)
        return None

    async def is_ready(self, gateway: Gateway) -> bool:
        """Ask a gateway whether it is ready."""
        request = messages.Request('GET', platform_calls.READY_PATH, {})
        caller = client.HttpClient()
        try:
            response = await caller.fetch(
                f'{gateway.ip}:{READY_PORT}', request, 1.0
            )
        except client.HttpError:
            return False
        finally:
            caller.close()
        return response.status == 200

    async def wait_ready(self, gateway: Gateway, seconds: float) -> bool:
        """Wait until a gateway says that it is ready."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if await self.is_ready(gateway):
                return True
            await asyncio.sleep(0.1)
        return False

    async def close(self, verdict: str) -> None:
        """End all that was started and write the record."""
        for task in self._tasks:
            task.cancel()
        for gateway in self.gateways:
            gateway.end()
        for replica in self.replicas:
            await replica.close()
        await self.store.close()
        self.http.close()
        self.note(verdict)
        # Times of the books are those of the same clock.
        runs = [
            f'{run.started - self._began:8.3f} {run.replica} runs '
            f'{run.request_id} from event {run.first_event}'
            for run in self.books.runs
        ]
        orders = [
            f'{order.replica}: version {order.version} by {order.holder}, '
            f'fence {order.fence}'
            for order in self.books.orders
        ]
        parts = [
            *self._lines,
            '',
            'sent and answered:',
            *self._calls,
            '',
            'run by replicas:',
            *runs,
            '',
            'orders accepted by replicas:',
            *orders,
            '',
        ]
        (self.case / 'record.txt').write_text('\n'.join(parts))
        keep = os.environ.get('KEEP')
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder)

    async def _beat(self) -> None:
        while True:
            for replica in self.replicas:
                replica.register(self.store.log)
            await asyncio.sleep(HEARTBEAT_SECONDS)


def run(case_file: str, play, seconds: float = 115.0, store=None) -> None:
    """Play a case and exit: 1 if the rule was broken, 0 if it held, else 2.

    Args:
      case_file: Path of the script.
      play: Coroutine function; gets the world and whether there is trouble,
        and returns what was broken, or an empty text.
      seconds: Time after which the case has not run.
      store: Builds the store; None for the project's own.
    """
    trouble = os.environ.get('TROUBLE', '1') != '0'
    case = pathlib.Path(case_file).resolve().parent
    status = 2
    try:
        status = asyncio.run(_run(case, play, trouble, seconds, store))
    except (Exception, asyncio.CancelledError):
        traceback.print_exc()
    sys.exit(status)


async def _run(case, play, trouble: bool, seconds: float, store) -> int:
    # A script that is stopped ends its processes, too.
    asyncio.get_running_loop().add_signal_handler(
        signal.SIGTERM, asyncio.current_task().cancel
    )
    world = World(case, store() if store else None)
    verdict, status = 'the case could not run', 2
    try:
        async with asyncio.timeout(seconds):
            broken = await play(world, trouble)
        verdict = f'BROKEN: {broken}' if broken else 'the rule held'
        status = 1 if broken else 0
    except Exception as error:
        verdict = f'the case could not run: {error!r}'
    finally:
        await world.close(verdict)
    return status


def _find_prefix() -> str:
    for _ in range(50):
        prefix = f'127.{random.randrange(20, 250)}.{random.randrange(250)}'
        with socket.socket() as probe:
            try:
                probe.bind((f'{prefix}.11', CALLER_PORT))
            except OSError:
                continue
        return prefix
    raise Failed('no free addresses on loopback')
