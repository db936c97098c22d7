"""A whole deployment on loopback, started from an answers file.

Stand-ins take the place of the platform, the targets and the users; the
daemons get the settings that the client generates. Every process is a child
of this one, writes its log and books into one directory, and is signalled by
its id only.
"""

import asyncio
import pathlib
import time

import msgspec

from auburnroad_client.questionnaire import answers as answer_types
from auburnroad_client.questionnaire import generate
from auburnroad_core.http import client
from auburnroad_core.http import messages
from auburnroad_core.platform import host_list
from auburnroad_core.settings import daemon
from auburnroad_e2e.launch import commands
from auburnroad_e2e.launch import loopback
from auburnroad_e2e.launch import process
from auburnroad_e2e.launch import relay

START_SECONDS = 20.0
POLL_SECONDS = 0.05
CALL_SECONDS = 3.0


class Cluster:
    """The processes of one deployment, by their names."""

    __slots__ = (
        'answers',
        'directory',
        'options',
        'processes',
        'relays',
        'daemons',
        'callers',
        'hosts',
        'http',
        '_network',
        '_addresses',
    )

    def __init__(
        self,
        answers: answer_types.Answers,
        directory: pathlib.Path,
        options: commands.Options,
    ):
        self._network = loopback.Network()
        self.answers = loopback.localise(answers, self._network.prefix)
        self.directory = directory
        self.options = options
        self.processes: dict[str, process.Process] = {}
        self.relays: dict[str, relay.Relay] = {}
        self.callers: list[str] = []
        self.daemons = [
            _relay_log(settings)
            for settings in generate.build_daemons(self.answers)
        ]
        self.hosts = [_build_host(settings) for settings in self.daemons]
        self.http = client.HttpClient()
        self._addresses = commands.list_addresses(self.answers, self.daemons)

    @property
    def entries(self) -> list[str]:
        """HTTP addresses of the entries."""
        return [d.http_address for d in self.daemons if d.role == 'entry']

    @property
    def answers_path(self) -> pathlib.Path:
        """Where the answers stand that were published first."""
        return self.directory / 'answers.json'

    def address(self, name: str) -> str:
        """Tell where a stand-in or daemon speaks HTTP.

        Args:
          name: Process's name.

        Returns:
          'IP number:port'.
        """
        return self._addresses[name]

    async def start(self) -> None:
        """Start everything and wait until all daemons are ready."""
        await self._start_relays()
        self._start_standins()
        await self._wait_standins()
        await self.write_hosts()
        await self.publish()
        for settings in self.daemons:
            self._start_daemon(settings)
        await asyncio.gather(
            *(self.wait_ready(settings.name) for settings in self.daemons)
        )

    async def publish(self) -> None:
        """Publish the configuration with the operators' client."""
        path = self.answers_path
        path.write_bytes(msgspec.json.encode(self.answers))
        await self.run_client('publish', f'--file={path}', '--author=e2e')

    async def run_client(self, *arguments: str) -> str:
        """Run the operators' client to its end.

        Args:
          arguments: Its command line.

        Returns:
          What it printed.

        Raises:
          ProcessError: If it failed.
        """
        status, printed = await self.try_client(*arguments)
        if status != 0:
            raise process.ProcessError(
                f'{" ".join(arguments)} ended with {status}:\n{printed}'
            )
        return printed

    async def try_client(self, *arguments: str) -> tuple[int | None, str]:
        """Run the operators' client and see how it ends.

        Args:
          arguments: Its command line.

        Returns:
          Exit status, None when it didn't end in time, and what it printed.
        """
        name = f'client-{len(self.processes)}'
        run = self.spawn(name, commands.build_client(arguments))
        status = await run.wait(START_SECONDS)
        return status, run.read_log()

    async def write_hosts(self, states: dict[str, str] | None = None) -> None:
        """Tell the host list stand-in the hosts.

        Args:
          states: State by host's name where it is not 'live'.
        """
        hosts = [
            msgspec.structs.replace(
                host, state=host_list.HostState((states or {})[host.name])
            )
            if host.name in (states or {})
            else host
            for host in self.hosts
        ]
        request = client.build_json_request('PUT', '/hosts', hosts)
        await self._call(commands.HOST_LIST, request)

    async def fault(self, name: str, fault: str, **arguments) -> None:
        """Command a fault of a stand-in.

        Args:
          name: Process's name.
          fault: Fault's name.
          arguments: Its arguments.
        """
        value = {'fault': fault, **arguments}
        await self._call(
            name, client.build_json_request('POST', '/faults', value)
        )

    async def get(self, name: str, target: str) -> messages.Response:
        """Ask a process of the deployment by HTTP.

        Args:
          name: Process's name.
          target: Path with its query.

        Returns:
          The response.

        Raises:
          HttpError: If there is no whole answer.
        """
        request = messages.Request('GET', target, {})
        return await self.http.fetch(self.address(name), request, CALL_SECONDS)

    async def wait_ready(self, name: str) -> None:
        """Wait until a daemon says that it is ready.

        Args:
          name: Daemon's name.

        Raises:
          ProcessError: If it ends or the time passes first.
        """
        end = time.monotonic() + START_SECONDS
        child = self.processes[name]
        while child.running and time.monotonic() < end:
            try:
                response = await self.get(name, '/health/ready')
            except client.HttpError:
                pass
            else:
                if response.status == 200:
                    return
            await asyncio.sleep(POLL_SECONDS)
        raise process.ProcessError(
            f'{name} is not ready:\n{child.read_log()[-3000:]}'
        )

    def spawn(self, name: str, arguments: list[str]) -> process.Process:
        """Start a process under a name.

        Args:
          name: Process's name.
          arguments: Program and arguments.

        Returns:
          The process.
        """
        log_path = self.directory / f'{name}.log'
        child = process.Process(name, arguments, log_path)
        self.processes[name] = child
        child.start()
        return child

    def books_path(self, name: str) -> pathlib.Path:
        """Tell where a process keeps its books."""
        return self.directory / f'{name}.books'

    def start_trainer(self, name: str, **flags: object) -> process.Process:
        """Start a trainer of the deployment.

        Args:
          name: Trainer's name.
          flags: Further options of the stand-in.

        Returns:
          The process.
        """
        trainer = next(t for t in self.answers.trainers if t.name == name)
        return self._start_user(
            'trainer',
            name,
            model=trainer.model,
            weight_store=self.answers.platform.weight_store,
            groups=trainer.groups_per_step,
            samples=trainer.samples_per_group,
            **flags,
        )

    def start_caller(self, name: str, **flags: object) -> process.Process:
        """Start interactive callers.

        Args:
          name: Name in the books.
          flags: Options of the stand-in.

        Returns:
          The process.
        """
        self.callers.append(name)
        services = {s.kind: s.name for s in self.answers.services}
        return self._start_user(
            'caller',
            name,
            model=services.get('model', ''),
            service=services.get('plain', ''),
            **flags,
        )

    async def close(self) -> None:
        """End every process that was started here."""
        for child in self.processes.values():
            await child.close()
        for one in self.relays.values():
            await one.close()
        self.http.close()
        self._network.close()

    def _start_user(self, module, name, **flags) -> process.Process:
        flags = {
            'name': name,
            'entries': ','.join(self.entries),
            'books_file': self.books_path(name),
            **flags,
        }
        return self.spawn(name, commands.build_user(module, flags))

    async def _start_relays(self) -> None:
        log = self.answers.platform.log_service
        for settings in self.daemons:
            stream = settings.stream_address
            pairs = {
                settings.name: (loopback.relay_address(stream), stream),
                f'{settings.name}/log': (settings.log_service, log),
            }
            for name, (address, target) in pairs.items():
                self.relays[name] = relay.Relay(address, target)
                await self.relays[name].start()

    def _start_standins(self) -> None:
        lines = commands.build_platform(self.answers, self.options)
        for settings in self.daemons:
            for replica in settings.replicas:
                lines[replica.name] = commands.build_replica(
                    self.answers,
                    self.options,
                    replica,
                    self.books_path(replica.name),
                )
        for name, arguments in lines.items():
            self.spawn(name, arguments)

    async def _wait_standins(self) -> None:
        await asyncio.gather(
            *(
                child.wait_line('ready ', START_SECONDS)
                for child in self.processes.values()
            )
        )

    def _start_daemon(self, settings: daemon.Daemon) -> None:
        path = self.directory / f'{settings.name}.json'
        path.write_bytes(msgspec.json.encode(settings))
        self.spawn(settings.name, commands.build_daemon(path))

    async def _call(self, name: str, request: messages.Request) -> None:
        response = await self.http.fetch(
            self.address(name), request, CALL_SECONDS
        )
        if response.status >= 300:
            raise process.ProcessError(
                f'{name} {request.target}: {response.body!r}'
            )


def _relay_log(settings: daemon.Daemon) -> daemon.Daemon:
    """Let a daemon reach the log service and its peers through relays."""
    host = settings.stream_address.rpartition(':')[0]
    return msgspec.structs.replace(
        settings,
        log_service=f'{host}:{loopback.LOG_RELAY_PORT}',
        peers=[loopback.relay_address(peer) for peer in settings.peers],
    )


def _build_host(settings: daemon.Daemon) -> host_list.Host:
    return host_list.Host(
        settings.host,
        settings.role,
        loopback.relay_address(settings.stream_address),
        settings.failure_domain,
        host_list.HostState.LIVE,
    )
