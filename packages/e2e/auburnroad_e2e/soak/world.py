"""The processes and stand-ins of one soak run.

Gateways are the real program, one process each; the log service and the
replicas are stand-ins in this process. Relays stand between each gateway and
the log service, and before each replica.
"""

import asyncio
import json
import pathlib
import sys

import msgspec

from auburnroad_core.http import client
from auburnroad_core.http import messages
from auburnroad_e2e.launch import loopback
from auburnroad_e2e.launch import process
from auburnroad_e2e.launch import relay
from auburnroad_e2e.soak import configuration as configurations
from auburnroad_e2e.soak import peers
from auburnroad_e2e.soak import schedule as schedules
from auburnroad_e2e.soak import stalls
from auburnroad_e2e.soak import supervision
from auburnroad_gateway.model import settings as gateway_settings
from auburnroad_standins import platform_calls
from auburnroad_standins import platform_replica
from auburnroad_standins import platform_store

HOST = configurations.HOST
MODEL = configurations.MODEL
MODEL_SERVICE = configurations.MODEL_SERVICE
PLAIN_SERVICE = configurations.PLAIN_SERVICE
PLAIN_REPLICAS = 3
PLAIN_SLOTS = 8
DOMAINS = ('a', 'b', 'c')
STORE_HOST = 1
GATEWAY_HOST = 11
REPLICA_HOST = 101
CALLER_PORT = 7310
READY_PORT = 7311
PEER_PORT = 7312
METRICS_PORT = 7313
RELAY_PORT = 7330
REGISTER_SECONDS = 0.4
READY_SECONDS = 30.0
POLL_SECONDS = 0.05
# Kind of the disturbance of a replica that a request has ended.
CRASHED = 'replica-crashed'
# Time until a replica that a request has ended is started again.
CRASHED_SECONDS = 1.5
CALL_SECONDS = 3.0
# Of the deployment's promises: until a replica that drains gets no new work,
# and from SIGTERM to SIGKILL.
DRAIN_SECONDS = 2.0
GRACE_SECONDS = 8.0
# Memory of the smallest hosts of the users' deployments.
MEMORY_MB = 128
# Begins each key, also of those that never existed.
KEY_PREFIX = 'secret-'
# Accounts of all callers and of the one that tries keys, and the name of an
# account that each caller claims to be.
ACCOUNTS = ('callers', 'prober')
FOREIGN_ACCOUNT = 'foreign'
VARIABLE = 'AUBURNROAD_NODE_FILE'


class Disturbance(msgspec.Struct):
    """A time in which something was wrong.

    Attributes:
      kind: Kind of the fault.
      subject: Name of the gateway or replica, empty for the log service.
      start: Monotonic seconds.
      end: The same; infinite until it has ended.
    """

    kind: str
    subject: str
    start: float
    end: float = float('inf')


class Key(msgspec.Struct):
    """An API key that an account has or had.

    Attributes:
      text: The key.
      account: Name of the account.
      added: Monotonic seconds.
      removed: The same; infinite while the account has it.
    """

    text: str
    account: str
    added: float
    removed: float = float('inf')


class CrashingSend(msgspec.Struct, frozen=True):
    """A client attempt of a request that crashes replicas.

    Attributes:
      gateway: Name of the gateway.
      started: Monotonic seconds.
    """

    gateway: str
    started: float


class Gateway:
    """One gateway process and what is around it.

    Attributes:
      name: Host's name.
      address: Where callers reach it.
      process: The process.
      relay: Between it and the log service.
      restarting: Held by whoever ends the process and starts it again.
      starts: How often it was started.
      started_at: Time of the last start in monotonic seconds.
    """

    def __init__(self, name: str, ip: str, directory: pathlib.Path):
        self.name = name
        self.ip = ip
        self.address = f'{ip}:{CALLER_PORT}'
        self.relay: relay.Relay | None = None
        self.restarting = asyncio.Lock()
        self.starts = 0
        self.started_at = 0.0
        self._settings_path = directory / f'{name}.json'
        self._log_path = directory / f'{name}.log'
        self.process = process.Process(
            name,
            [sys.executable, '-m', 'auburnroad_platform'],
            self._log_path,
            {VARIABLE: str(self._settings_path)},
        )

    def write_settings(self, domain: str) -> None:
        """Write the settings file as the platform renders it."""
        settings = gateway_settings.Settings(
            self.name,
            self.ip,
            domain,
            self.address,
            f'{self.ip}:{READY_PORT}',
            PEER_PORT,
            METRICS_PORT,
            self.relay.address,
            heartbeat_ms=int(REGISTER_SECONDS * 1000),
            memory_mb=MEMORY_MB,
            bounds=gateway_settings.Bounds(grace_s=GRACE_SECONDS),
        )
        self._settings_path.write_bytes(msgspec.json.encode(settings))

    def find_peak_mb(self) -> float:
        """Find the peak memory of the process in megabytes."""
        status = pathlib.Path(f'/proc/{self.process.pid}/status').read_text()
        for line in status.splitlines():
            name, _, value = line.partition(':')
            if name == 'VmHWM':
                return int(value.split()[0]) / 1024
        return 0.0

    def read_log(self) -> str:
        """Read all that the process has printed, over all of its starts."""
        return self._log_path.read_text(errors='replace')

    def start(self) -> None:
        """Start the process."""
        self.starts += 1
        self.started_at = asyncio.get_running_loop().time()
        self.process.start()


class World:
    """One run's deployment.

    Attributes:
      schedule: What it is made from.
      store: The log service.
      gateways: The gateways.
      engines: Model engines, also those that have gone.
      plain: Plain replicas.
      relays: Relay before each replica, by the replica's id.
      books: What the replicas did.
      disturbances: What was wrong, and when.
      crashing_sends: Client attempts of requests that crash replicas, by id.
      keys: API keys, oldest first; the first one stays, and is that of all
        callers but the one that tries keys.
      routes_added: Path prefixes of the routes that were added, oldest
        first, and when.
      loop_trace: When the event loop of the soak itself stood still.
      process_ends: Gateway processes that ended by themselves.
      peers: Relays between the gateways.
      named: Newest weight version that was named.
    """

    def __init__(
        self,
        schedule: schedules.Schedule,
        directory: pathlib.Path,
        build_gateway=Gateway,
    ):
        self.schedule = schedule
        self.store = platform_store.PlatformStore()
        self.books = platform_replica.Books()
        self.engines: list[platform_replica.Engine] = []
        self.plain: list[platform_replica.Plain] = []
        self.relays: dict[str, relay.Relay] = {}
        self.disturbances: list[Disturbance] = []
        self.crashing_sends: dict[str, CrashingSend] = {}
        self.keys: list[Key] = []
        self.routes_added: list[tuple[str, float]] = []
        self.loop_trace = stalls.LoopTrace()
        self.process_ends: list[supervision.ProcessEnd] = []
        self.peers = peers.PeerRelays(self.store)
        self.named = 1
        self.http = client.HttpClient()
        self._network = loopback.Network()
        self._placed: list[relay.Relay] = []
        self._version = 0
        self._next_ip = REPLICA_HOST
        self._tasks: list[asyncio.Task] = []
        self.gateways = [
            build_gateway(
                f'g{number}',
                f'{self._network.prefix}.{GATEWAY_HOST + number}',
                directory,
            )
            for number in range(schedule.gateways)
        ]

    @property
    def replicas(self) -> list[platform_replica.Replica]:
        """All replicas."""
        return [*self.engines, *self.plain]

    async def start(self) -> None:
        """Start everything and wait until all gateways are ready."""
        self._tasks.append(asyncio.create_task(self.loop_trace.run()))
        for number in range(self.schedule.engines):
            await self.add_engine(
                f'e{number}', software=self._choose_software(number)
            )
        for number in range(PLAIN_REPLICAS):
            replica = platform_replica.Plain(
                f'p{number}',
                PLAIN_SERVICE,
                DOMAINS[number % len(DOMAINS)],
                PLAIN_SLOTS,
                self.books,
                on_crash=self._end_replica,
            )
            await self._place(replica)
            self.plain.append(replica)
        self.write_configuration(add_key=self.schedule.has_accounts)
        if self.schedule.has_accounts:
            # The first key that may be removed.
            self.write_configuration(add_key=True)
        self._tasks.append(asyncio.create_task(self._register()))
        for number, gateway in enumerate(self.gateways):
            target = await self.store.listen(
                gateway.name, f'{self._network.prefix}.{STORE_HOST}'
            )
            gateway.relay = relay.Relay(f'{gateway.ip}:{RELAY_PORT}', target)
            await gateway.relay.start()
            if self.schedule.has_peer_relays:
                await self.peers.add(gateway.name, gateway.ip, PEER_PORT)
            gateway.write_settings(DOMAINS[number % len(DOMAINS)])
            gateway.start()
        for gateway in self.gateways:
            if not await self.wait_ready(gateway):
                raise process.ProcessError(f'{gateway.name} is never ready')
        self._tasks.append(
            asyncio.create_task(
                supervision.supervise(self.gateways, self.process_ends)
            )
        )

    async def close(self) -> None:
        """End all that was started."""
        for task in self._tasks:
            task.cancel()
        for gateway in self.gateways:
            await gateway.process.close()
            if gateway.relay is not None:
                await gateway.relay.close()
        servers = (*self._placed, *self.replicas, self.peers, self.store)
        for started in servers:
            await started.close()
        self.http.close()
        self._network.close()

    async def add_engine(
        self,
        replica_id: str,
        version: int = 1,
        software: str = platform_replica.SOFTWARE_VERSIONS[0],
    ) -> platform_replica.Engine:
        """Add a model engine."""
        engine = platform_replica.Engine(
            replica_id,
            MODEL_SERVICE,
            DOMAINS[len(self.engines) % len(DOMAINS)],
            self.schedule.slots,
            self.books,
            model=MODEL,
        )
        engine.version = version
        engine.checks_fences = self.schedule.checks_fences
        engine.software = software
        await self._place(engine)
        self.engines.append(engine)
        return engine

    @property
    def caller_key(self) -> str:
        """Key of the callers; empty in a deployment without accounts."""
        return self.keys[0].text if self.keys else ''

    def write_configuration(
        self, add_route: bool = False, add_key: bool = False
    ) -> None:
        """Write the next configuration, as an operator does."""
        self._version += 1
        now = asyncio.get_running_loop().time()
        if add_key:
            account = ACCOUNTS[min(len(self.keys), 1)]
            text = f'{KEY_PREFIX}{len(self.keys)}'
            self.keys.append(Key(text, account, now))
        if add_route:
            self.routes_added.append((f'/added{self._version}/', now))
        self.write_operator_record(
            platform_calls.CONFIGURATION_KEY,
            configurations.build_configuration(
                self._version, self.routes_added, self._list_accounts()
            ),
        )

    def remove_key(self) -> None:
        """Remove the oldest key that an operator may remove, if any."""
        for key in self.keys[1:]:
            if key.removed == float('inf'):
                key.removed = asyncio.get_running_loop().time()
                self.write_configuration()
                return

    def _list_accounts(self) -> dict[str, list[str]] | None:
        if not self.keys:
            return None
        return {
            name: [
                key.text
                for key in self.keys
                if key.account == name and key.removed == float('inf')
            ]
            for name in ACCOUNTS
        }

    def _build_headers(self, request: messages.Request) -> dict[str, str]:
        """Build the headers of a request; it may have a key of its own."""
        identity = {}
        if self.keys:
            identity = platform_calls.build_identity(
                self.caller_key, FOREIGN_ACCOUNT
            )
        return {'host': HOST, **identity, **request.headers}

    def write_operator_record(self, key: str, value: dict) -> None:
        """Write a record as operators and trainers do."""
        self.store.log.put(
            platform_calls.OPERATOR_TOPIC, key, json.dumps(value).encode()
        )

    def name_version(self) -> None:
        """Name the next weight version, as a trainer does."""
        if not self.store.log.down:
            self.named += 1
            self.write_operator_record(
                *platform_calls.build_named_version(MODEL, self.named)
            )

    async def call(
        self, gateway: Gateway, request: messages.Request
    ) -> messages.Response:
        """Call a gateway on a connection that may have been kept open.

        Raises:
          client.HttpError: If there is no whole answer.
        """
        headers = self._build_headers(request)
        return await self.http.fetch(
            gateway.address,
            messages.Request(
                request.method, request.target, headers, request.body
            ),
            CALL_SECONDS,
        )

    async def open(
        self, gateway: Gateway, request: messages.Request
    ) -> client.Reply:
        """Call a gateway whose answer is a stream.

        Raises:
          client.HttpError: If there is no answer.
        """
        headers = self._build_headers(request)
        return await self.http.open(
            gateway.address,
            messages.Request(
                request.method, request.target, headers, request.body
            ),
        )

    async def wait_ready(self, gateway: Gateway) -> bool:
        """Wait until a gateway says that it is ready.

        Returns:
          Whether it did; not within the limit if it meets more faults.
        """
        try:
            async with asyncio.timeout(READY_SECONDS):
                while not await self._is_ready(gateway):
                    await asyncio.sleep(POLL_SECONDS)
        except TimeoutError:
            return False
        return True

    def is_calm(self, gateway: Gateway, start: float, end: float) -> bool:
        """Tell whether nothing was wrong around a gateway for a while."""
        return not any(
            disturbance.start < end and disturbance.end > start
            for disturbance in self.disturbances
            if disturbance.subject in ('', gateway.name)
        )

    async def send_crashing(self, gateway: Gateway, path: str) -> None:
        """Send a request that crashes the replicas that run it."""
        request_id = f'crash{len(self.crashing_sends)}'
        now = asyncio.get_running_loop().time()
        self.crashing_sends[request_id] = CrashingSend(gateway.name, now)
        headers = {platform_calls.REQUEST_ID: request_id}
        request = messages.Request('POST', path, headers, b'crash')
        try:
            await self.call(gateway, request)
        except client.HttpError:
            # It has no answer that anybody waits for.
            return

    def _end_replica(self, replica: platform_replica.Plain) -> None:
        self._tasks.append(asyncio.create_task(self._restart_replica(replica)))

    async def _restart_replica(self, replica: platform_replica.Plain) -> None:
        now = asyncio.get_running_loop().time
        crash = Disturbance(CRASHED, replica.id, now())
        self.disturbances.append(crash)
        self.relays[replica.id].stop_listening()
        await asyncio.sleep(CRASHED_SECONDS)
        replica.restart()
        await self.relays[replica.id].start()
        replica.down = False
        crash.end = now()

    async def _is_ready(self, gateway: Gateway) -> bool:
        request = messages.Request('GET', platform_calls.READY_PATH, {})
        try:
            response = await self.http.fetch(
                f'{gateway.ip}:{READY_PORT}', request, CALL_SECONDS
            )
        except client.HttpError:
            return False
        return response.status == 200

    def _choose_software(self, number: int) -> str:
        """Choose an engine's software; all have the same in half of runs."""
        versions = platform_replica.SOFTWARE_VERSIONS
        return versions[number % len(versions) * (self.schedule.seed % 2)]

    async def _place(self, replica) -> None:
        ip = f'{self._network.prefix}.{self._next_ip}'
        self._next_ip += 1
        await replica.start(ip)
        before = relay.Relay(f'{ip}:{RELAY_PORT}', replica.address)
        await before.start()
        # One of an earlier start under the same id still listens.
        self._placed.append(before)
        self.relays[replica.id] = before
        replica.seen_address = before.address
        replica.register(self.store.log)

    async def _register(self) -> None:
        while True:
            for replica in self.replicas:
                replica.register(self.store.log)
            await asyncio.sleep(REGISTER_SECONDS)
