"""The side role: one process per target host, a proxy for its replicas.

It admits requests, runs them on the replicas, and sends orders to the engines.
A planned stop lets running requests end. No platform service is needed in
normal operation, because entries send configurations and weight versions over
their streams.
"""

import asyncio
import secrets

from absl import logging

from auburnroad_core.http import client
from auburnroad_core.http import server
from auburnroad_core.platform import host_list
from auburnroad_core.platform import log_service
from auburnroad_core.settings import daemon
from auburnroad_core.wire import messages
from auburnroad_core.wire import stream
from auburnroad_daemon.connection import probes
from auburnroad_daemon.connection import replica as replica_module
from auburnroad_daemon.connection import side_streams
from auburnroad_daemon.process import health
from auburnroad_daemon.process import history
from auburnroad_daemon.process import roles
from auburnroad_daemon.process import side_drain
from auburnroad_daemon.process import side_metrics
from auburnroad_daemon.process import side_status
from auburnroad_daemon.request import side_requests
from auburnroad_daemon.version import configuration_fallback
from auburnroad_daemon.version import relay
from auburnroad_daemon.version import relay_peers
from auburnroad_daemon.version import side_configuration
from auburnroad_daemon.version import swapper

DEFAULT_DRAIN_MS = 30_000
HTTP_DRAIN_TIMEOUT_SECONDS = 5.0
# Memory for reports, answers to orders and errors of replicas together.
REPLICA_BODY_BYTES = 32 * 1024 * 1024


@roles.ROLES.register('side')
class Side:
    """One side daemon."""

    def __init__(self, settings: daemon.Daemon):
        self._settings = settings
        self._incarnation = secrets.token_hex(8)
        self._client = client.HttpClient()
        self._replica_client = client.HttpClient(
            body_budget_bytes=REPLICA_BODY_BYTES
        )
        self._metrics = side_metrics.SideMetrics()
        self._history = history.History()
        self._configuration = side_configuration.SideConfiguration()
        self._replicas = [
            replica_module.build_replica(replica, self._replica_client)
            for replica in settings.replicas
        ]
        self._requests = side_requests.SideRequests(
            self._replicas, self._configuration, self._metrics, self._history
        )
        self._relay = relay.WeightRelay(
            relay_peers.RelayPeers(
                settings,
                host_list.HttpHostList(settings.host_list, self._client),
                self._client,
            ),
            self._metrics,
        )
        self._swapper = swapper.Swapper(
            self._replicas,
            self._configuration,
            self._relay,
            self._metrics,
            self._requests.dispatch,
        )
        self._probes = probes.Probes(
            self._replicas, self._configuration, self._requests.dispatch
        )
        self._streams = side_streams.SideStreams(
            self.build_hello,
            self.build_heartbeat,
            self._requests.detach_stream,
            self._metrics,
        )
        self._router = health.Router()
        health.add_monitoring(self._router, self)
        self._router.add(relay.PATH_PREFIX, self._relay.handle)
        self._http = server.HttpServer(self._router.handle)
        self._tasks: list[asyncio.Task] = []
        self._drain_task: asyncio.Task | None = None
        self._closed = asyncio.Event()
        self.stream_address: tuple[str, int] | None = None
        self.http_address: tuple[str, int] | None = None
        self._add_handlers()

    @property
    def settings(self) -> daemon.Daemon:
        """Settings of the daemon."""
        return self._settings

    @property
    def incarnation(self) -> str:
        """Random id of this process."""
        return self._incarnation

    @property
    def revision(self) -> int:
        """Revision of the configuration in force, -1 if there is none."""
        return self._configuration.revision

    @property
    def leaving(self) -> bool:
        """Whether a planned stop has begun and new requests are refused."""
        return self._requests.leaving

    @property
    def replicas(self) -> list[replica_module.Replica]:
        """Replicas on the host."""
        return self._replicas

    @property
    def weights(self) -> relay.WeightRelay:
        """Relay that fetches weights for the engines and for other sides."""
        return self._relay

    @property
    def ready(self) -> bool:
        """Whether the side accepts new requests."""
        return (
            not self.leaving
            and self._configuration.deployment is not None
            and any(replica.health.up for replica in self._replicas)
        )

    @property
    def registry(self):
        """Metrics of the role; reading the property updates the gauges."""
        loads = self._requests.build_loads()
        for load in loads:
            self._metrics.running.labels(load.service).set(load.running)
            self._metrics.waiting.labels(load.service).set(load.waiting)
            self._metrics.ready_replicas.labels(load.service).set(
                load.ready_replicas
            )
        self._metrics.revision.set(self.revision)
        return self._metrics.registry

    async def start(self) -> None:
        """Start listening and start the background tasks.

        Raises:
          OSError: If an address of the settings can't be bound.
        """
        self.http_address = await self._http.start(
            *_split_address(self._settings.http_address)
        )
        self._swapper.source = _join_address(self.http_address)
        self._tasks = [
            asyncio.ensure_future(self._requests.sweep()),
            asyncio.ensure_future(self._probes.run()),
            asyncio.ensure_future(self._swapper.run()),
            asyncio.ensure_future(self._follow_fallbacks()),
        ]
        self.stream_address = await self._streams.start(
            *_split_address(self._settings.stream_address)
        )

    def drain(self) -> None:
        """Begin a planned stop; further calls have no effect."""
        if self._drain_task is None:
            self._requests.leaving = True
            logging.info('%s: leaving', self._settings.name)
            self._streams.send_to_all(self.build_heartbeat())
            self._drain_task = asyncio.ensure_future(self._drain())

    async def wait_closed(self) -> None:
        """Wait until the planned stop is complete."""
        await self._closed.wait()

    async def close(self) -> None:
        """Stop at once, without waiting for running requests."""
        await self._requests.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._relay.close()
        await self._streams.close()
        await self._http.close()
        self._client.close()
        self._replica_client.close()
        self._closed.set()

    def build_hello(self) -> messages.Hello:
        """Build the Hello message of this side.

        Returns:
          The first message to send on a stream.
        """
        return messages.Hello(
            self._settings.name,
            self._incarnation,
            'side',
            self._settings.host,
            self._settings.failure_domain,
            self.revision,
            sorted({replica.service for replica in self._replicas}),
            self.leaving,
            self._swapper.source,
        )

    def build_heartbeat(self) -> messages.Heartbeat:
        """Build the heartbeat with loads and oldest weight versions.

        Returns:
          The heartbeat.
        """
        return messages.Heartbeat(
            self.revision,
            self.leaving,
            self._requests.build_loads(),
            side_status.find_oldest_versions(self._replicas),
        )

    def build_status(self) -> object:
        """Build the response body of /status.

        Returns:
          The status.
        """
        return side_status.build_status(self)

    def explain(self, id_: str) -> list[history.Event]:
        """Find the recorded events of a request.

        Args:
          id_: Id of the request.

        Returns:
          The events, oldest first; empty if there are none.
        """
        return self._history.find(id_)

    def _add_handlers(self) -> None:
        requests = self._requests
        add_handler = self._streams.add_handler
        add_handler(messages.Hello, self._update_outdated_peer)
        add_handler(messages.Heartbeat, self._handle_heartbeat)
        add_handler(messages.Configuration, self._handle_configuration)
        add_handler(messages.Submit, self._handle_submit)
        add_handler(messages.Cancel, requests.handle_cancel)
        add_handler(messages.Resume, requests.handle_resume)
        add_handler(messages.Acknowledge, requests.handle_acknowledgement)

    def _update_outdated_peer(
        self, peer_stream: stream.Stream, message
    ) -> None:
        if message.revision < self.revision:
            peer_stream.send(self._configuration.build_message())

    def _handle_heartbeat(self, peer_stream: stream.Stream, message) -> None:
        self._update_outdated_peer(peer_stream, message)
        self._swapper.announce(message.versions)

    def _handle_submit(self, peer_stream: stream.Stream, submit) -> None:
        if submit.model:
            # The heartbeat with this version may arrive after the request.
            self._swapper.announce({submit.model: submit.minimum_version})
        self._requests.handle_submit(peer_stream, submit)

    def _handle_configuration(
        self, peer_stream: stream.Stream, message
    ) -> None:
        self._apply_configuration(message)

    async def _follow_fallbacks(self) -> None:
        await configuration_fallback.fetch_until_configured(
            self._configuration,
            log_service.HttpLogService(
                self._settings.log_service, self._client
            ),
            self._settings.peers,
            self.build_hello,
            self._apply_configuration,
        )

    def _apply_configuration(self, message: messages.Configuration) -> None:
        if self._configuration.apply(message):
            self._probes.wake()
            self._requests.dispatch()

    async def _drain(self) -> None:
        deployed = self._configuration.deployment
        drain_ms = DEFAULT_DRAIN_MS
        if deployed is not None:
            drain_ms = deployed.limits.drain_ms
        await side_drain.finish_requests(self._requests, drain_ms)
        await self._http.drain(HTTP_DRAIN_TIMEOUT_SECONDS)
        await self.close()


def _split_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(':')
    return host, int(port)


def _join_address(address: tuple[str, int]) -> str:
    return f'{address[0]}:{address[1]}'
