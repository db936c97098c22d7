"""The entry role: creates, connects and stops the components of an entry.

The components implement all policies. This module only connects them to each
other, to the streams and to the platform services.
"""

import asyncio
import uuid

from absl import logging
import prometheus_client

from auburnroad_core import clock
from auburnroad_core.http import client as http_client
from auburnroad_core.http import limits as http_limits
from auburnroad_core.http import messages as http_messages
from auburnroad_core.http import server as http_server
from auburnroad_core.log import appender as appenders
from auburnroad_core.log import configuration_fold
from auburnroad_core.log import intent_fold
from auburnroad_core.log import tail as tails
from auburnroad_core.log import trainer_fold
from auburnroad_core.platform import host_list
from auburnroad_core.platform import log_service
from auburnroad_core.settings import daemon
from auburnroad_core.settings import deployment
from auburnroad_core.wire import codec
from auburnroad_core.wire import messages
from auburnroad_core.wire import stream as streams
from auburnroad_daemon.connection import peers as entry_peers
from auburnroad_daemon.connection import side_link
from auburnroad_daemon.process import entry_metrics as metrics
from auburnroad_daemon.process import entry_status
from auburnroad_daemon.process import health
from auburnroad_daemon.process import history
from auburnroad_daemon.process import membership
from auburnroad_daemon.process import roles
from auburnroad_daemon.request import completions
from auburnroad_daemon.request import denials
from auburnroad_daemon.request import dispatch
from auburnroad_daemon.request import intents
from auburnroad_daemon.request import services
from auburnroad_daemon.version import checkpoints
from auburnroad_daemon.version import configuration
from auburnroad_daemon.version import ownership
from auburnroad_daemon.version import trainer_api
from auburnroad_daemon.version import trainer_calls
from auburnroad_daemon.version import trainer_log

PEERS_UPDATE_SECONDS = 1.0
# Time for the platform's load balancer to detect that the entry is not ready.
UNREADY_GRACE_SECONDS = 1.0
# Limit for appending the remaining records after the last request.
FLUSH_TIMEOUT_MS = 1000
DEFAULT_LIMITS = deployment.Limits()
# A request is denied only by a configuration that was read within this time.
MAX_CONFIGURATION_AGE_SECONDS = 2.0
CONFIRM_TIMEOUT_SECONDS = 0.5


@roles.ROLES.register('entry')
class Entry:
    """One entry daemon."""

    def __init__(self, settings: daemon.Daemon):
        self._settings = settings
        self._incarnation = uuid.uuid4().hex
        self._leaving = False
        self._closed = asyncio.Event()
        self._tasks: list[asyncio.Task] = []
        self._versions: dict[str, int] = {}
        self._streams: set[streams.Stream] = set()
        self._history = history.History()
        self._configuration = configuration.ConfigurationHolder()
        self._http = http_client.HttpClient()
        self._build_log_access()
        self._build_request_handling()
        self._http_server = http_server.HttpServer(self._build_router())
        self._stream_server: asyncio.Server | None = None

    @property
    def ready(self) -> bool:
        """Whether the entry accepts new requests."""
        return self._configuration.revision >= 0 and not self._leaving

    @property
    def registry(self) -> prometheus_client.CollectorRegistry:
        """Metrics of the role."""
        return metrics.REGISTRY

    @property
    def _deployment(self) -> deployment.Deployment | None:
        return self._configuration.deployment

    @property
    def _limits(self) -> deployment.Limits:
        deployed = self._deployment
        return deployed.limits if deployed else DEFAULT_LIMITS

    async def start(self) -> None:
        """Start listening and start the background tasks.

        Raises:
          OSError: If an address of the settings can't be bound.
        """
        host, _, port = self._settings.stream_address.rpartition(':')
        self._stream_server = await asyncio.start_server(
            self._accept, host, int(port)
        )
        host, _, port = self._settings.http_address.rpartition(':')
        await self._http_server.start(host, int(port))
        self._peers.update(self._settings.peers)
        for background_task in (
            self._configuration_tail.run(),
            self._trainers_tail.run(),
            self._intents_tail.run(),
            self._trainers_appender.run(),
            self._intents_appender.run(),
            self._configuration_appender.run(),
            *(checkpointer.run() for checkpointer in self._checkpointers),
            self._membership.run(),
            self._update_peers(),
        ):
            self._tasks.append(asyncio.create_task(background_task))

    def drain(self) -> None:
        """Begin a planned stop; further calls have no effect."""
        if not self._leaving:
            self._leaving = True
            logging.info('%s: leaving', self._settings.name)
            self._tasks.append(asyncio.create_task(self._drain()))

    async def wait_closed(self) -> None:
        """Wait until the planned stop is complete."""
        await self._closed.wait()

    def build_status(self) -> object:
        """Build the response body of /status."""
        return entry_status.build_status(
            self._settings,
            self._incarnation,
            self._configuration.revision,
            self._leaving,
            self._membership,
            self._peers,
            self._ownership.describe(),
            self._versions,
        )

    def explain(self, id_: str) -> list[history.Event]:
        """Find the recorded events of a request or a sample.

        Args:
          id_: Id of a request, of an attempt of a request, or of a sample,
            such as 'trainer/step/group/index'.

        Returns:
          The events, oldest first; empty if there are none.
        """
        call_id = id_.rpartition('.')[0]
        return self._history.find(id_) or self._history.find(call_id)

    def build_hello(self) -> messages.Hello:
        """Build the Hello message for a side or another entry."""
        return messages.Hello(
            self._settings.name,
            self._incarnation,
            'entry',
            self._settings.host,
            self._settings.failure_domain,
            self._configuration.revision,
            [],
            self._leaving,
        )

    def build_heartbeat(self, link: side_link.SideLink) -> messages.Heartbeat:
        """Build the heartbeat for a side, with the versions not yet sent."""
        new_versions = {
            model: version
            for model, version in self._versions.items()
            if link.versions_sent.get(model, -1) < version
        }
        link.versions_sent.update(new_versions)
        return messages.Heartbeat(
            self._configuration.revision, self._leaving, [], new_versions
        )

    def build_peer_heartbeat(self) -> messages.Heartbeat:
        """Build the heartbeat for another entry."""
        return messages.Heartbeat(self._configuration.revision, self._leaving)

    def handle_peer_message(self, stream, message: messages.Message) -> None:
        """Handle a message that isn't specific to the link of one peer."""
        match message:
            case messages.Hello() | messages.Heartbeat():
                if self._configuration.needs_configuration(message):
                    stream.send(self._configuration.build_message())
            case messages.Configuration():
                self._configuration.apply(message)
            case messages.CopyUpdate():
                answer = self._ownership.copy_store.update(message)
                if answer is not None:
                    stream.send(answer)
            case messages.CopyAcknowledge():
                self._ownership.handle_acknowledgement(message)
            case messages.CopyRequest():
                stream.send(self._ownership.build_copy_answer(message))
            case messages.Forward():
                asyncio.ensure_future(self._serve_forward(stream, message))

    def _build_log_access(self) -> None:
        """Create the log tails, appenders and checkpointers."""
        settings = self._settings
        service = log_service.HttpLogService(settings.log_service, self._http)
        self._configuration_tail = tails.Tail(service, configuration_fold)
        self._trainers_tail = tails.Tail(service, trainer_fold)
        self._intents_tail = tails.Tail(service, intent_fold)
        self._trainers_appender = appenders.Appender(
            service, self._trainers_tail
        )
        self._intents_appender = appenders.Appender(
            service, self._intents_tail
        )
        self._configuration_appender = appenders.Appender(
            service, self._configuration_tail
        )
        self._checkpointers = [
            checkpoints.Checkpointer(tail, appender, lambda: self._limits)
            for tail, appender in (
                (self._configuration_tail, self._configuration_appender),
                (self._trainers_tail, self._trainers_appender),
                (self._intents_tail, self._intents_appender),
            )
        ]
        self._configuration_tail.on_change(self._handle_configuration_log)
        self._trainers_tail.on_change(self._handle_trainers_log)
        self._configuration.on_change(self._handle_configuration)
        self._configuration.on_orders(self._handle_drain_orders)

    def _build_request_handling(self) -> None:
        """Create the components that handle requests and samples."""
        settings = self._settings
        self._membership = membership.Membership(
            self, host_list.HttpHostList(settings.host_list, self._http)
        )
        self._peers = entry_peers.Peers(
            self,
            settings.name,
            settings.stream_address,
            settings.failure_domain,
        )
        self._dispatcher = dispatch.Dispatcher(
            self._membership, settings.failure_domain, self._history
        )
        self._ownership = ownership.Ownership(
            settings.name,
            self._incarnation,
            trainer_log.TrainerLog(
                self._trainers_tail, self._trainers_appender
            ),
            self._peers,
            self._dispatcher,
            self._membership.count_slots,
            self._announce_version,
            self._confirm_configuration,
        )
        self._gate = intents.IntentGate(
            self._intents_appender, self._intents_tail, settings.name
        )

    def _build_router(self):
        router = health.Router()
        health.add_monitoring(router, self)
        router.add('/v1/completions', self._complete)
        router.add(services.PREFIX, self._call_service)
        router.add(trainer_api.PREFIX, self._ownership.handle)
        return router.handle

    async def _complete(self, request) -> http_messages.Response:
        return await self._run_handler(request, completions.complete)

    async def _call_service(self, request) -> http_messages.Response:
        async def call(request, deployed, dispatcher):
            return await services.call_service(
                request, deployed, dispatcher, self._gate
            )

        return await self._run_handler(request, call)

    async def _run_handler(self, request, handle) -> http_messages.Response:
        """Run a handler, or refuse the request if not configured yet."""
        if self._deployment is None:
            return trainer_calls.build_retryable_refusal(
                'no_configuration', 'not configured yet'
            )
        return await denials.handle_by_current(
            lambda deployed: handle(request, deployed, self._dispatcher),
            lambda: self._deployment,
            self._confirm_configuration,
        )

    async def _confirm_configuration(self) -> bool:
        """Tell whether what the configuration lacks is unknown for sure."""
        return await self._configuration_tail.confirm_recent(
            MAX_CONFIGURATION_AGE_SECONDS, CONFIRM_TIMEOUT_SECONDS
        )

    def _announce_version(self, model: str, version: int) -> None:
        """Send a new weight version before the next periodic heartbeat."""
        if version <= self._versions.get(model, -1):
            return
        self._versions[model] = version
        for link in self._membership.links:
            if link.connected:
                link.send(self.build_heartbeat(link))

    def _handle_configuration_log(self, steps) -> None:
        if self._configuration_tail.state is not None:
            self._configuration.apply_log(self._configuration_tail.state)

    def _handle_drain_orders(self) -> None:
        self._membership.set_draining(self._configuration.draining)

    def _handle_configuration(self) -> None:
        """Apply a new configuration and send it to all connected daemons."""
        deployed = self._deployment
        self._dispatcher.configure(deployed)
        self._http_server.limits = http_limits.HttpLimits(
            deployed.limits.header_bytes, deployed.limits.body_bytes
        )
        self._gate.key_life_ms = deployed.limits.key_life_ms
        asyncio.ensure_future(self._ownership.set_deployment(deployed))
        message = self._configuration.build_message()
        for link in (*self._membership.links, *self._peers.links):
            if link.connected:
                link.send(message)

    def _handle_trainers_log(self, steps) -> None:
        asyncio.ensure_future(self._ownership.check_claims())

    async def _update_peers(self) -> None:
        while True:
            self._peers.update_hosts(self._membership.entries)
            await asyncio.sleep(PEERS_UPDATE_SECONDS)

    async def _accept(self, reader, writer) -> None:
        """Handle a stream that another entry opened."""
        stream = streams.Stream(reader, writer)
        self._streams.add(stream)
        stream.send(self.build_hello())
        try:
            await stream.run(self._handle_accepted, self.build_peer_heartbeat)
        except codec.WireError as error:
            logging.warning(
                'closed a stream that sent invalid data: %s', error
            )
        finally:
            self._streams.discard(stream)
            stream.close()

    def _handle_accepted(self, stream, message: messages.Message) -> None:
        if isinstance(message, messages.Hello):
            stream.peer = message
        self.handle_peer_message(stream, message)

    async def _serve_forward(self, stream, message: messages.Forward) -> None:
        stream.send(await self._ownership.handle_forwarded(message))

    async def _drain(self) -> None:
        """Stop after the requests in flight have been answered."""
        deadline_seconds = self._limits.drain_ms / 1000
        try:
            async with asyncio.timeout(deadline_seconds):
                await asyncio.gather(
                    asyncio.sleep(UNREADY_GRACE_SECONDS),
                    self._ownership.drain(),
                )
        except TimeoutError:
            logging.warning(
                '%s: trainers not drained by the deadline',
                self._settings.name,
            )
        if not await self._http_server.drain(deadline_seconds):
            logging.warning(
                '%s: requests were cut off by the drain deadline',
                self._settings.name,
            )
        # Without the flush, keys of requests that were not run stay reserved.
        await self._intents_appender.flush(
            clock.time_now_ms() + FLUSH_TIMEOUT_MS
        )
        await self._close()

    async def _close(self) -> None:
        await self._membership.close()
        await self._peers.close()
        self._stream_server.close()
        for stream in list(self._streams):
            stream.close()
        await self._http_server.close()
        self._http.close()
        self._closed.set()
