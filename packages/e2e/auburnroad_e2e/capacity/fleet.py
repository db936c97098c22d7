"""A deployment of any size on loopback, with few stand-ins.

Unlike the launcher of the scenarios it has no relays and no stand-in for
each replica: a stand-in answers for many replicas, so that the machine's
processor time goes to the daemons that are measured.
"""

import asyncio
import pathlib

import msgspec
import psutil

from auburnroad_core import clock
from auburnroad_core.http import client
from auburnroad_core.http import messages
from auburnroad_core.log import records
from auburnroad_core.platform import host_list
from auburnroad_core.platform import log_service
from auburnroad_core.settings import daemon
from auburnroad_core.settings import deployment
from auburnroad_e2e.launch import commands
from auburnroad_e2e.launch import loopback
from auburnroad_e2e.launch import process

START_SECONDS = 60.0
CALL_SECONDS = 10.0
POLL_SECONDS = 0.1
STREAM_PORT = 7300
HTTP_PORT = 7301
ENTRY_HOST = 11
SIDE_HOST = 51
ENGINE_HOST = 2
DOMAINS = ('north', 'south')
MODEL = 'model-llm'
TRAINER = 'trainer'
STANDIN = 'auburnroad_standins.main'


class Shape(msgspec.Struct, frozen=True, kw_only=True):
    """Size of a fleet.

    Attributes:
      entries: How many entries.
      sides: How many sides.
      replicas: Replicas behind each side.
      engines: Stand-ins that answer for the sides' replicas in turn.
      engine: Options of each stand-in engine.
      slots: Requests that a side gives a replica at a time.
      trainers: Groups in a step of each trainer, by its name.
      samples: Samples in a group.
      store_bytes_per_second: Rate of the weight store, 0 for no limit.
    """

    entries: int
    sides: int
    replicas: int = 1
    engines: int = 1
    engine: dict[str, object] = {}
    slots: int = 8
    trainers: dict[str, int] = msgspec.field(
        default_factory=lambda: {TRAINER: 4}
    )
    samples: int = 2
    store_bytes_per_second: int = 0


class Fleet:
    """The processes of one deployment."""

    __slots__ = (
        'shape',
        'daemons',
        'http',
        'log',
        'revision',
        '_directory',
        '_network',
        '_processes',
    )

    def __init__(self, shape: Shape, directory: pathlib.Path):
        self.shape = shape
        self.http = client.HttpClient()
        self.revision = -1
        self._network = loopback.Network()
        self._directory = directory
        self._processes: dict[str, process.Process] = {}
        self.log = log_service.HttpLogService(
            self.platform(loopback.LOG_PORT), self.http
        )
        self.daemons = [
            *(self._build_entry(number) for number in range(shape.entries)),
            *(self._build_side(number) for number in range(shape.sides)),
        ]

    @property
    def entries(self) -> list[daemon.Daemon]:
        """Settings of the entries."""
        return [d for d in self.daemons if d.role == 'entry']

    @property
    def sides(self) -> list[daemon.Daemon]:
        """Settings of the sides."""
        return [d for d in self.daemons if d.role == 'side']

    def platform(self, port: int) -> str:
        """Tell where a service of the platform listens."""
        return f'{self._network.prefix}.{loopback.PLATFORM_HOST}:{port}'

    def engine_address(self, number: int) -> str:
        """Tell where a stand-in engine listens."""
        port = loopback.REPLICA_PORT + number
        return f'{self._network.prefix}.{ENGINE_HOST}:{port}'

    def find_process(self, name: str) -> psutil.Process:
        """Find a process for measurement."""
        return psutil.Process(self._processes[name].pid)

    async def start(self) -> None:
        """Start everything and wait until all daemons are ready."""
        self._start_standins()
        await asyncio.gather(
            *(
                child.wait_line('ready ', START_SECONDS)
                for child in self._processes.values()
            )
        )
        await self._write_hosts()
        await self.publish()
        for settings in self.daemons:
            path = self._directory / f'{settings.name}.json'
            path.write_bytes(msgspec.json.encode(settings))
            self._spawn(settings.name, commands.build_daemon(path))
        for settings in self.daemons:
            await self._wait(settings, '/health/ready', self._is_ready)
        for settings in self.entries:
            await self._wait(settings, '/status', self._sees_all)

    async def publish(self, summary: str = 'capacity') -> int:
        """Publish a configuration on top of the last one.

        Args:
          summary: What the record says of itself.

        Returns:
          The revision.
        """
        now_ms = clock.time_now_ms()
        record = records.Publish(
            self.revision,
            'capacity',
            now_ms,
            summary,
            msgspec.Raw(msgspec.json.encode(self._build_deployment())),
            msgspec.Raw(b'{}'),
        )
        offsets = await self.log.append(
            records.CONFIGURATION_STREAM,
            [
                log_service.NewRecord(
                    f'capacity-{now_ms}',
                    msgspec.Raw(msgspec.json.encode(record)),
                )
            ],
        )
        self.revision = offsets[0]
        return self.revision

    async def get_json(self, address: str, target: str) -> object:
        """Ask any process by HTTP.

        Args:
          address: 'IP number:port'.
          target: Path with its query.

        Returns:
          The answer's body.
        """
        request = messages.Request('GET', target, {})
        response = await self.http.fetch(address, request, CALL_SECONDS)
        return msgspec.json.decode(response.body)

    async def put_json(self, target: str, value: object) -> messages.Response:
        """Put a value at the first entry.

        Args:
          target: Path.
          value: What msgspec encodes.

        Returns:
          The response.
        """
        request = client.build_json_request('PUT', target, value)
        return await self.http.fetch(
            self.entries[0].http_address, request, CALL_SECONDS
        )

    async def read_books(self, port: int) -> dict[str, int]:
        """Read the counts of a service of the platform by its port."""
        return await self.get_json(self.platform(port), '/books')

    def kill(self, name: str) -> None:
        """End a process at once."""
        self._processes[name].kill()

    def read_cpu(self, name: str) -> float:
        """Read the processor time that a process has used, in seconds."""
        times = self.find_process(name).cpu_times()
        return times.user + times.system

    async def read_metrics(self, settings: daemon.Daemon) -> dict[str, float]:
        """Read a daemon's counters.

        Args:
          settings: The daemon's settings.

        Returns:
          Value by name with its labels.
        """
        request = messages.Request('GET', '/metrics', {})
        response = await self.http.fetch(
            settings.http_address, request, CALL_SECONDS
        )
        return parse_metrics(response.body.decode())

    async def close(self) -> None:
        """End every process that was started here."""
        for child in self._processes.values():
            child.kill()
        for child in self._processes.values():
            await child.close()
        self.http.close()
        self._network.close()

    def _build_entry(self, number: int) -> daemon.Daemon:
        addresses = [
            f'{self._network.prefix}.{ENTRY_HOST + other}:{STREAM_PORT}'
            for other in range(self.shape.entries)
        ]
        peers = [a for index, a in enumerate(addresses) if index != number]
        return self._build_daemon('entry', number, ENTRY_HOST, peers, [])

    def _build_side(self, number: int) -> daemon.Daemon:
        address = self.engine_address(number % self.shape.engines)
        replicas = [
            daemon.Replica(f'replica-{number}-{index}', MODEL, address)
            for index in range(self.shape.replicas)
        ]
        return self._build_daemon('side', number, SIDE_HOST, [], replicas)

    def _build_daemon(self, role, number, first_host, peers, replicas):
        ip = f'{self._network.prefix}.{first_host + number}'
        return daemon.Daemon(
            f'{role}-{number}',
            role,
            f'{role}-{number}',
            DOMAINS[number % len(DOMAINS)],
            f'{ip}:{STREAM_PORT}',
            f'{ip}:{HTTP_PORT}',
            self.platform(loopback.LOG_PORT),
            self.platform(loopback.HOST_LIST_PORT),
            self.platform(loopback.STORE_PORT),
            peers,
            replicas,
            'warning',
        )

    def _build_deployment(self) -> deployment.Deployment:
        shape = self.shape
        return deployment.Deployment(
            'capacity',
            list(DOMAINS),
            [deployment.Service(MODEL, 'model', shape.slots, 1000)],
            [
                deployment.Trainer(
                    name, MODEL, MODEL, 1000, groups, shape.samples
                )
                for name, groups in shape.trainers.items()
            ],
        )

    def _start_standins(self) -> None:
        self._spawn_standin(
            'log_service',
            self.platform(loopback.LOG_PORT),
            {'appends_per_second': 4000},
        )
        self._spawn_standin(
            'host_list', self.platform(loopback.HOST_LIST_PORT), {}
        )
        rate = {'bytes_per_second': self.shape.store_bytes_per_second}
        self._spawn_standin(
            'weight_store', self.platform(loopback.STORE_PORT), rate
        )
        flags = {
            'service': MODEL,
            'slots': 4096,
            'versions': {MODEL: 0},
            **self.shape.engine,
        }
        for number in range(self.shape.engines):
            self._spawn_standin(
                'engine', self.engine_address(number), flags, number
            )

    def _spawn_standin(self, kind, address, flags, number=0) -> None:
        flags = {'address': address, 'name': f'{kind}-{number}', **flags}
        arguments = [commands.sys.executable, '-m', STANDIN, kind]
        arguments += [f'--{name}={value}' for name, value in flags.items()]
        self._spawn(f'{kind}-{number}', arguments)

    def _spawn(self, name: str, arguments: list[str]) -> None:
        log_path = self._directory / f'{name}.log'
        child = process.Process(name, arguments, log_path)
        self._processes[name] = child
        child.start()

    async def _write_hosts(self) -> None:
        hosts = [
            host_list.Host(
                settings.host,
                settings.role,
                settings.stream_address,
                settings.failure_domain,
                host_list.HostState.LIVE,
            )
            for settings in self.daemons
        ]
        request = client.build_json_request('PUT', '/hosts', hosts)
        await self.http.fetch(
            self.platform(loopback.HOST_LIST_PORT), request, CALL_SECONDS
        )

    def _is_ready(self, answer: dict) -> bool:
        return answer['ready']

    def _sees_all(self, answer: dict) -> bool:
        """Tell whether an entry knows all replicas to be ready."""
        ready = sum(
            load[-1] for host in answer['hosts'] for load in host['loads']
        )
        return ready == self.shape.sides * self.shape.replicas

    async def _wait(self, settings, target, condition) -> None:
        end_ms = clock.time_now_ms() + int(START_SECONDS * 1000)
        while clock.time_now_ms() < end_ms:
            try:
                if condition(
                    await self.get_json(settings.http_address, target)
                ):
                    return
            except client.HttpError:
                pass
            await asyncio.sleep(POLL_SECONDS)
        raise process.ProcessError(f'{settings.name}: {target} comes late')


def parse_metrics(text: str) -> dict[str, float]:
    """Parse the text form of metrics.

    Args:
      text: The answer of /metrics.

    Returns:
      Value by name with its labels.
    """
    found = {}
    for line in text.splitlines():
        if not line.startswith('#'):
            name, _, value = line.rpartition(' ')
            found[name] = float(value)
    return found
