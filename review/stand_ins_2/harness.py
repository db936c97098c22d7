"""Processes, stand-ins and records of the scripted cases 6 to 10.

Gateways are separate processes, started with the command of the deploy file
and settings as the template renders them. The platform's store is the
project's own stand-in. Replicas and clients are written here on plain
sockets, so that a case can choose each byte and the moment it is sent.
All addresses are loopback addresses of a random network.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import shutil
import signal
import subprocess
import tempfile
import time
import tomllib

from auburnroad_standins import platform_store

ROOT = pathlib.Path.cwd()
ZONES = ('ee-north-a', 'ee-north-b', 'ee-north-c', 'ee-north-d')
HOST = 'ficu95.example'
HELD, BROKEN, NOT_RUN = 0, 1, 2
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
READY_SECONDS = 15.0
HEARTBEAT_SECONDS = 1.2


class NotRunError(Exception):
    """The case couldn't run."""


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, path: pathlib.Path):
        self._file = path.open('w')
        self._started = time.monotonic()

    def now(self) -> float:
        """Seconds since the start."""
        return time.monotonic() - self._started

    def write(self, *words) -> None:
        """Write one line with the time."""
        text = ' '.join(str(word) for word in words)
        self._file.write(f'{self.now():8.3f} {text}\n')
        self._file.flush()


class Message:
    """One request or response.

    Attributes:
      first: Words of the first line.
      headers: Values by lower-case name.
      body: Body.
    """

    def __init__(self, first: list[str], headers: dict[str, str], body: bytes):
        self.first = first
        self.headers = headers
        self.body = body

    @property
    def method(self) -> str:
        """Method of a request."""
        return self.first[0]

    @property
    def path(self) -> str:
        """Target of a request."""
        return self.first[1]

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.first[1])

    @property
    def id(self) -> str:
        """Request-Id."""
        return self.headers.get('request-id', '')


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read a whole message; None if the connection has ended before one."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None
    lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(':')
        if colon:
            headers[name.strip().lower()] = value.strip()
    body = b''
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        while size := int((await reader.readuntil(b'\r\n')).strip(), 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readexactly(2)
    else:
        body = await reader.readexactly(int(headers.get('content-length', 0)))
    return Message(lines[0].split(' ', 2), headers, body)


def build_head(first: str, headers: dict[str, str]) -> bytes:
    """Build a head."""
    lines = [first, *(f'{name}: {value}' for name, value in headers.items())]
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1')


def build_response(
    status: int, headers: dict[str, str], body: bytes = b''
) -> bytes:
    """Build a response with its length."""
    return (
        build_head(
            f'HTTP/1.1 {status} Status',
            {**headers, 'Content-Length': str(len(body))},
        )
        + body
    )


async def call(
    address: str,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes = b'',
    timeout_seconds: float = 10.0,
) -> Message | None:
    """Call a gateway on a new connection; None without a whole answer."""
    host, _, port = address.rpartition(':')
    writer = None
    try:
        async with asyncio.timeout(timeout_seconds):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(
                build_head(
                    f'{method} {path} HTTP/1.1',
                    {
                        'Host': HOST,
                        **headers,
                        'Content-Length': str(len(body)),
                    },
                )
                + body
            )
            await writer.drain()
            return await read_message(reader)
    except (OSError, EOFError, ValueError, TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.close()


class Replica:
    """A replica: an HTTP server with one handler for all requests.

    Attributes:
      id: Id of the replica.
      address: Where it listens.
    """

    def __init__(self, world, replica_id: str, service: str, zone: str, slots):
        self.world = world
        self.id = replica_id
        self.service = service
        self.zone = zone
        self.slots = slots
        self.address = ''
        self.running = 0
        self.registered = True
        self.models: list[dict] | None = None
        self._born = int(time.time() * 1000)
        self._beats = 0
        self._server = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(
            self._serve, self.world.next_ip(), 0, limit=1 << 20
        )
        name = self._server.sockets[0].getsockname()
        self.address = f'{name[0]}:{name[1]}'

    def stop(self) -> None:
        """End as in a crash: connections are reset, the port is closed."""
        self.registered = False
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def describe(self) -> dict:
        """Build the next registration."""
        self._beats += 1
        entry = {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': 'v1',
            'slots': self.slots,
            'state': 'ready',
            'coldRemainingMs': 0,
            'sequence': self._beats,
            'born': self._born,
        }
        if self.models is not None:
            entry['stage'] = 'both'
            entry['models'] = self.models
        return entry

    def check(self, request: Message) -> bytes | None:
        """Return the answer to a request for another replica, else None."""
        if request.headers.get('expect-replica', self.id) != self.id:
            return build_response(421, {'Replica-Id': self.id})
        return None

    def stamp(self, request: Message) -> dict[str, str]:
        """Build the headers of an answer of this replica."""
        return {
            'Request-Id': request.id,
            'Response-Stamp': f'{self.id}.{request.id}',
            'Replica-Load': f'{self.running},0,{self.slots}',
        }

    async def handle(self, request: Message, writer) -> None:
        """Answer a request."""
        raise NotImplementedError

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                work = asyncio.ensure_future(self.handle(request, writer))
                gone = asyncio.ensure_future(self._wait_gone(reader))
                await asyncio.wait(
                    {work, gone}, return_when=asyncio.FIRST_COMPLETED
                )
                gone.cancel()
                if not work.done():
                    # The sender has closed the connection.
                    work.cancel()
                    break
                work.result()
        except (OSError, EOFError, ValueError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _wait_gone(self, reader) -> None:
        while not reader.at_eof() and reader.exception() is None:
            await asyncio.sleep(0.02)


class Gateway:
    """One gateway process.

    Attributes:
      name: Name of its machine.
      address: Where clients reach it.
    """

    def __init__(self, world, number: int, memory_mb: int, bounds: dict):
        self.world = world
        self.zone = ZONES[number % len(ZONES)]
        self.name = f'front-{self.zone}-{number + 1}'
        self.ip = world.next_ip()
        self.address = f'{self.ip}:8149'
        self.memory_mb = memory_mb
        self.starts = 0
        self._bounds = bounds
        self._settings = world.folder / f'{self.name}.json'
        self._log = world.folder / f'{self.name}.log'
        self._process: subprocess.Popen | None = None

    async def prepare(self) -> None:
        """Write the settings as the template renders them."""
        store = await self.world.store.listen(self.name, self.world.store_ip)
        self._settings.write_text(
            json.dumps(
                {
                    'name': self.name,
                    'host': self.ip,
                    'failure_domain': self.zone,
                    'caller_address': self.address,
                    'ready_address': f'{self.ip}:8141',
                    'peer_port': 7380,
                    'metrics_port': 7395,
                    'log_address': store,
                    'cpu_share': 0.717,
                    'cpu_speed': 3,
                    'memory_mb': self.memory_mb,
                    'heartbeat_ms': 1200,
                    'log_limits': {
                        'record_bytes': 262144,
                        'call_bytes': 2097152,
                        'reads_per_second': 2000,
                    },
                    'cloud': {'address': ''},
                    'bounds': {
                        'thaw_ms': 300,
                        'configuration_ms': 2000,
                        'drain_ms': 2000,
                        'grace_s': 8,
                        'lease_ms': 3000,
                        'read_life_s': 120,
                        **self._bounds,
                    },
                }
            )
        )

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        words = deploy['roles']['gateway']['run'].split()
        self.starts += 1
        with self._log.open('ab') as log:
            self._process = subprocess.Popen(
                words,
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={
                    'PATH': os.environ.get('PATH', ''),
                    'HOME': os.environ.get('HOME', ''),
                    'PYTHONPATH': str(ROOT / 'target/deps'),
                    'AUBURNROAD_NODE_FILE': str(self._settings),
                },
            )

    @property
    def runs(self) -> bool:
        """Whether the process runs."""
        return self._process is not None and self._process.poll() is None

    @property
    def exit_status(self) -> int | None:
        """Exit status of the process; None while it runs."""
        return self._process.poll()

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        self._process.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self._process is not None:
            with contextlib.suppress(ProcessLookupError):
                self._process.kill()
            self._process.wait()

    def read_memory_mb(self) -> float:
        """Read the resident memory of the process in MB."""
        path = pathlib.Path(f'/proc/{self._process.pid}/status')
        try:
            for line in path.read_text().splitlines():
                if line.startswith('VmRSS:'):
                    return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0.0

    async def wait_ready(self) -> None:
        """Wait until the process is ready."""
        until = time.monotonic() + READY_SECONDS
        while time.monotonic() < until:
            answer = await call(
                f'{self.ip}:8141', 'GET', '/-/readyz', {}, timeout_seconds=1.0
            )
            if answer is not None and answer.status == 200:
                return
            await asyncio.sleep(0.1)
        raise NotRunError(f'{self.name} is never ready')

    def find_events(self, *names: str) -> list[str]:
        """Find lines of events in the log of the process."""
        text = self._log.read_text(errors='replace')
        return [
            line
            for line in text.splitlines()
            if any(f'"event":"{name}"' in line for name in names)
        ]


class World:
    """A small deployment."""

    def __init__(self, case: pathlib.Path):
        self.record = Record(case / 'record.txt')
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review2-'))
        self.store = platform_store.PlatformStore()
        self.gateways: list[Gateway] = []
        self.replicas: list[Replica] = []
        self._prefix = (
            f'127.{random.randint(20, 250)}.{random.randint(1, 250)}'
        )
        self._last = 10
        self.store_ip = self.next_ip()
        self._tasks: list[asyncio.Task] = []

    def next_ip(self) -> str:
        """Take the next address of the network."""
        self._last += 1
        return f'{self._prefix}.{self._last}'

    def put(self, key: str, value: dict) -> None:
        """Write a record as operators and trainers do."""
        self.store.log.put('keyed.op', key, json.dumps(value).encode())

    def configure(self, version: int, routes, services, **limits) -> None:
        """Write the configuration."""
        self.put(
            'config',
            {
                'version': version,
                'routes': routes,
                'services': services,
                'limits': {
                    'maxHeaderBytes': 16384,
                    'maxBodyBytes': 33554432,
                    'headerTimeoutMs': 3000,
                    'idleTimeoutMs': 15000,
                    **limits,
                },
            },
        )

    async def start(
        self, gateways: int, memory_mb: int = 320, bounds: dict | None = None
    ) -> None:
        """Start replicas and gateways, and wait until these are ready."""
        for replica in self.replicas:
            await replica.start()
        self._tasks.append(asyncio.create_task(self._register()))
        for number in range(gateways):
            gateway = Gateway(self, number, memory_mb, bounds or {})
            await gateway.prepare()
            self.gateways.append(gateway)
            gateway.start()
        for gateway in self.gateways:
            await gateway.wait_ready()
            self.record.write('ready', gateway.name)
        await asyncio.sleep(2.0)

    def register(self, replica: Replica) -> None:
        """Write the registration of a replica."""
        self.store.log.put(
            'keyed.servers',
            replica.id,
            json.dumps(replica.describe()).encode(),
        )

    async def _register(self) -> None:
        while True:
            for replica in self.replicas:
                if replica.registered:
                    self.register(replica)
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def close(self) -> None:
        """End all that was started."""
        for task in self._tasks:
            task.cancel()
        for gateway in self.gateways:
            gateway.kill()
        for replica in self.replicas:
            replica.stop()
        shutil.rmtree(self.folder, ignore_errors=True)


def run_case(case: pathlib.Path, play, limit_seconds: float = 115.0) -> int:
    """Run a case.

    Args:
      case: Folder of the case.
      play: Coroutine function that plays the case in a World and returns the
        lines that tell how the rule was broken.
      limit_seconds: Maximum time.

    Returns:
      Exit status of the script.
    """

    async def run() -> int:
        world = World(case)
        loop = asyncio.get_running_loop()
        task = asyncio.current_task()
        # Replicas' connections are cut at the end; nobody needs to know.
        loop.set_exception_handler(lambda loop, context: None)
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        try:
            async with asyncio.timeout(limit_seconds):
                broken = await play(world)
        except (Exception, asyncio.CancelledError) as error:
            # Whatever ends the play before its verdict shows nothing.
            world.record.write('not run:', repr(error))
            print('could not run:', repr(error))
            return NOT_RUN
        finally:
            await world.close()
        for line in broken:
            world.record.write('BROKEN', line)
        verdict = 'broken' if broken else 'held'
        world.record.write('trouble' if TROUBLE else 'no trouble', verdict)
        print(verdict, *broken[:5], sep='\n  ')
        return BROKEN if broken else HELD

    return asyncio.run(run())
