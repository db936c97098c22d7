"""Builds the components of a gateway and starts and stops them."""

import asyncio
import functools
import time

from auburnroad_core.http import client
from auburnroad_core.http import limits as http_limits
from auburnroad_core.http import messages
from auburnroad_core.http import server
from auburnroad_gateway import adapter as adapters

from auburnroad_gateway.accounts import control
from auburnroad_gateway.batches import intake
from auburnroad_gateway.batches import journal
from auburnroad_gateway.batches import owner
from auburnroad_gateway.batches import reading
from auburnroad_gateway.completion import reward_calls
from auburnroad_gateway.configuration import currency
from auburnroad_gateway.configuration import holder
from auburnroad_gateway.configuration import refusal_log
from auburnroad_gateway.directory import directory
from auburnroad_gateway.directory import expiry
from auburnroad_gateway.duties import lease
from auburnroad_gateway.forwarding import admission
from auburnroad_gateway.forwarding import crash_watch
from auburnroad_gateway.forwarding import releases_in_service
from auburnroad_gateway.forwarding import requests
from auburnroad_gateway.forwarding import stream_releases
from auburnroad_gateway.forwarding import streams
from auburnroad_gateway.log import detour
from auburnroad_gateway.log import service
from auburnroad_gateway.members import facts
from auburnroad_gateway.members import membership
from auburnroad_gateway.members import permits
from auburnroad_gateway.members import relay
from auburnroad_gateway.model import settings as gateway_settings
from auburnroad_gateway.process import dispatch
from auburnroad_gateway.process import duties
from auburnroad_gateway.process import scaling
from auburnroad_gateway.process import stopping
from auburnroad_gateway.process import supervision
from auburnroad_gateway.process import tails
from auburnroad_gateway.telemetry import events
from auburnroad_gateway.telemetry import metrics
from auburnroad_gateway.weights import duty
from auburnroad_gateway.weights import rollout

# Within a site a connection opens in about 1 ms or not at all.
CONNECT_TIMEOUT_SECONDS = 0.4
# Share of the process's memory for bodies of replicas' responses. While its
# parts are joined, a body takes twice its size.
BODY_MEMORY_SHARE = 0.125
BYTES_PER_MB = 1 << 20
# How long a request waits for the initial reads of a process that has just
# started. The initial reads take about 50 ms.
LOAD_TIMEOUT_SECONDS = 0.4
LOAD_POLL_SECONDS = 0.01
METRICS_PATH = '/metrics'


class Gateway:
    """A gateway with its servers and background tasks."""

    def __init__(
        self,
        settings: gateway_settings.Settings,
        adapter: adapters.Adapter,
    ):
        self._settings = settings
        self._adapter = adapter
        self._tasks: list[asyncio.Task] = []
        self._addresses: dict[str, str] = {}
        self._stopping = False
        # Monotonic times of a planned stop in seconds; see stopping.StopTimes.
        self._unready_until = float('inf')
        self._response_deadline_at = float('inf')
        self._closed = asyncio.Event()
        self._client = client.HttpClient(
            CONNECT_TIMEOUT_SECONDS,
            body_budget_bytes=int(
                BODY_MEMORY_SHARE * settings.memory_mb * BYTES_PER_MB
            ),
        )
        self._peer_client = client.HttpClient(
            CONNECT_TIMEOUT_SECONDS, service.MAX_IDLE_SECONDS
        )
        self._log = detour.DetourLog(
            adapter.open_log(), self._list_peers, self._open_peer
        )
        self._members = membership.Membership(settings, self._log)
        self._configuration = holder.ConfigurationHolder(adapter)
        self._directory = directory.Directory(adapter)
        self._duties = duty.Duties(
            self._members, self._log, settings.bounds.lease_ms
        )
        self._permits = permits.Permits(
            self._members, self._duties, self._peer_client
        )
        self._facts = facts.SharedFacts(
            settings.name, self._log, lambda: len(self._members.alive)
        )
        self._crash_watch = crash_watch.CrashWatch(self._facts)
        self._build_tails()
        self._build_platform_duties()
        self._build_batch_calls()
        self._build_forwarding()
        self._build_runs()
        self._build_scaling()
        self._build_servers()

    @property
    def is_ready(self) -> bool:
        """Whether the gateway is loaded and not stopping."""
        return not self._stopping and self._is_loaded

    @property
    def incarnation(self) -> str:
        """Unique id of this run of the process."""
        return self._members.incarnation

    @property
    def addresses(self) -> dict[str, str]:
        """Bound addresses as 'IP address:port' by server name.

        The names are callers, ready, peers and metrics.
        """
        return dict(self._addresses)

    @property
    def _is_loaded(self) -> bool:
        """Whether the configuration and the replicas have been loaded."""
        return (
            self._configuration.current is not None
            and self._tails.replicas.is_loaded
        )

    async def start(self) -> None:
        """Start the servers and the background tasks.

        Raises:
          OSError: If a server can't listen on its address.
        """
        settings = self._settings
        for name, http_server, address in (
            ('callers', self._caller_server, settings.caller_address),
            ('ready', self._ready_server, settings.ready_address),
            (
                'peers',
                self._peer_server,
                f'{settings.host}:{settings.peer_port}',
            ),
            (
                'metrics',
                self._metrics_server,
                f'{settings.host}:{settings.metrics_port}',
            ),
        ):
            host, _, port = address.rpartition(':')
            bound = await http_server.start(host, int(port))
            self._addresses[name] = f'{bound[0]}:{bound[1]}'
        for function in (
            *self._tails.list_background_tasks(),
            *self._journal.list_background_tasks(),
            self._members.run_heartbeats,
            functools.partial(self._members.run_checks, self._tails.members),
            functools.partial(self._facts.run, self._tails.facts),
            functools.partial(
                self._releases.in_service.watch, self._list_release_uses
            ),
            self._owner.run,
            self._rollout.run,
            functools.partial(
                expiry.run, self._directory, self._tails.replicas
            ),
            *self._platform_duties.list_background_tasks(),
            self._scaler.run,
        ):
            self._tasks.append(
                asyncio.create_task(supervision.supervise(function))
            )

    def apply_settings(self, new: gateway_settings.Settings) -> None:
        """Apply changed settings; changed listen addresses need a restart."""
        if new == self._settings:
            return
        events.write('settings_changed', log_address=new.log_address)
        if new.log_address != self._settings.log_address:
            self._log.direct.set_address(new.log_address)
        self._settings = new
        self._currency.settings = new
        self._tails.apply_bounds(new.bounds)
        self._access.settings = new
        self._platform_duties.apply_settings(new)
        self._scaler.apply_settings(new)

    def stop(self) -> None:
        """Begin a planned stop; further calls have no effect."""
        if not self._stopping:
            self._stopping = True
            events.write('stopping', busy=self._caller_server.busy_connections)
            self._tasks.append(asyncio.create_task(self._drain_and_close()))

    async def close(self) -> None:
        """Stop immediately and cancel requests in flight."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for http_server in (
            self._caller_server,
            self._ready_server,
            self._peer_server,
            self._metrics_server,
        ):
            await http_server.close()
        self._client.close()
        self._peer_client.close()

    async def wait_closed(self) -> None:
        """Wait until a planned stop is complete."""
        await self._closed.wait()

    def _list_peers(self) -> list[str]:
        return self._members.list_peers()

    def _open_peer(self, address: str) -> relay.PeerLog:
        return relay.PeerLog(address, self._peer_client)

    def _list_release_uses(self) -> list[releases_in_service.Use]:
        """List the releases that this gateway has to keep recorded."""
        current = self._configuration.current
        writer = self._members.choose_member(facts.TOPIC)
        if current is None or writer != self._members.incarnation:
            return []
        return [
            (route.host, release)
            for route in current.routes
            if route.resumable
            for release in self._forwarder.list_releases(route)
        ]

    def _choose_owner(self, route) -> str:
        """Choose the gateway to run a batch; this gateway if none is known."""
        chosen = self._duties.choose_runner(route.services[0])
        return chosen or self._members.incarnation

    def _build_tails(self) -> None:
        self._tails = tails.KeyedTails(
            self._log,
            self._adapter,
            self._settings.bounds,
            self._configuration,
            self._directory,
            self._members,
            self._duties,
            self._facts,
        )
        self._holder_lease = lease.HolderLease(
            self._duties, self._tails.duties
        )
        self._currency = currency.Currency(
            self._settings, self._tails.operators
        )
        self._refusal_log = refusal_log.RefusalLog(
            self._configuration, self._currency
        )

    def _build_platform_duties(self) -> None:
        self._platform_duties = duties.PlatformDuties(
            self._settings,
            self._adapter,
            self._client,
            self._log,
            self._members,
            self._duties,
            self._holder_lease,
            self._configuration,
        )

    def _build_batch_calls(self) -> None:
        settings, adapter = self._settings, self._adapter
        self._journal = journal.Journal(
            self._log,
            self._members.incarnation,
            settings.log_limits,
            lambda: len(self._members.alive),
        )
        self._intake = intake.Intake(
            adapter,
            self._journal,
            self._choose_owner,
            self._configuration.match_route,
        )
        self._access = control.AccessControl(
            settings,
            self._configuration,
            self._currency,
            self._refusal_log,
        )
        self._reader = reading.Reader(adapter, self._journal, self._access)

    def _build_forwarding(self) -> None:
        adapter = self._adapter
        self._admission = admission.Admission(
            self._configuration, self._directory
        )
        self._forwarder = requests.Forwarder(
            adapter,
            self._client,
            self._directory,
            self._settings.failure_domain,
            self._permits,
            self._crash_watch,
            self._platform_duties.usage,
            self._admission,
        )
        self._releases = stream_releases.StreamReleases(
            self._facts, self._tails.facts.catch_up
        )
        self._streams = streams.StreamForwarder(
            adapter,
            self._client,
            self._forwarder,
            self._crash_watch,
            self._releases,
            self._tails.replicas,
        )

    def _build_runs(self) -> None:
        settings, adapter = self._settings, self._adapter
        self._owner = owner.Owner(
            settings,
            adapter,
            self._client,
            self._journal,
            self._members,
            self._duties,
            self._configuration,
            self._currency,
            self._directory,
            reward_calls.RewardCaller(
                adapter,
                self._forwarder,
                self._configuration,
                self._directory,
            ),
            self._permits,
        )
        self._rollout = rollout.WeightRollout(
            settings,
            adapter,
            self._client,
            self._duties,
            self._configuration,
            self._directory,
            self._owner,
            self._holder_lease,
        )

    def _build_scaling(self) -> None:
        self._scaler = scaling.build_scaler(
            self._settings,
            self._adapter,
            self._configuration,
            self._directory,
            self._tails.replicas,
            self._journal,
            self._facts,
            self._duties,
            self._platform_duties.caller,
            lambda name: (
                self._admission.count_waiting(name)
                * max(1, len(self._members.alive))
            ),
        )

    def _build_servers(self) -> None:
        self._dispatcher = dispatch.Dispatcher(
            self._adapter,
            self._configuration,
            self._currency,
            self._access,
            self._reader,
            self._intake,
            self._forwarder,
            self._streams,
            self._refusal_log,
            self._may_outlast_stop,
        )
        self._caller_server = server.HttpServer(self._handle_caller)
        self._caller_server.on_refused = self._refusal_log.write_refused
        self._caller_server.confirm_limits = self._currency.confirm
        self._ready_server = server.HttpServer(self._handle_ready)
        self._peer_server = server.HttpServer(self._handle_peer)
        self._metrics_server = server.HttpServer(self._handle_metrics)
        self._configuration.on_change(self._apply_limits)

    def _apply_limits(self) -> None:
        current = self._configuration.current
        if current is None:
            # A weight version may be read before the first configuration.
            return
        limits = current.limits
        self._caller_server.limits = http_limits.HttpLimits(
            limits.header_bytes,
            limits.body_bytes,
            limits.header_ms / 1000,
            limits.idle_ms / 1000,
        )

    async def _handle_ready(self, request) -> messages.Response:
        return messages.Response(200 if self.is_ready else 503)

    async def _handle_metrics(self, request) -> messages.Response:
        if request.path != METRICS_PATH:
            return messages.Response(404)
        return metrics.build_page()

    async def _handle_peer(self, request) -> messages.Response:
        if request.path == relay.PATH:
            return await relay.serve(self._log.direct, request)
        if request.path == permits.PATH:
            return await self._permits.serve(request)
        return messages.Response(404)

    async def _handle_caller(self, request) -> messages.Response:
        """Handle a caller's request and update the request metrics."""
        started = time.monotonic()
        if not self._is_loaded:
            await self._wait_until_loaded()
        kind, response = await self._dispatcher.handle(request)
        metrics.REQUEST_SECONDS.labels(kind).observe(
            time.monotonic() - started
        )
        metrics.REQUESTS.labels(kind, f'{response.status // 100}xx').inc()
        return response

    async def _wait_until_loaded(self) -> None:
        """Wait for the initial reads after a start, for a limited time.

        Returns immediately if reads of the log fail, since the duration of an
        outage is unknown.
        """
        until = time.monotonic() + LOAD_TIMEOUT_SECONDS
        while time.monotonic() < until and not self._is_loaded:
            if self._tails.operators.failing or self._tails.replicas.failing:
                return
            await asyncio.sleep(LOAD_POLL_SECONDS)

    def _may_outlast_stop(self, end: stopping.RequestEnd) -> bool:
        """Tell whether a request may still run when the process exits."""
        if time.monotonic() < self._unready_until:
            # Many requests still arrive, and most streams are short.
            return end.begun_at > self._response_deadline_at
        return end.whole_at > self._response_deadline_at

    def _is_drained(self) -> bool:
        """Tell whether no records, batches or connections are left."""
        return (
            self._journal.is_idle
            and not self._owner.has_running_items
            and not self._caller_server.connections
        )

    async def _drain_and_close(self) -> None:
        """Hand over batches and duties, drain the caller server and close."""
        now = time.monotonic()
        times = stopping.build_times(self._settings.bounds.grace_s, now)
        self._unready_until = times.unready_until
        self._response_deadline_at = times.response_deadline_at
        self._caller_server.draining = True
        self._members.leave()
        self._owner.prepare_hand_over()
        release = asyncio.create_task(self._duties.release(self._tails.duties))
        while time.monotonic() < self._response_deadline_at:
            await asyncio.sleep(stopping.POLL_SECONDS)
            if time.monotonic() < self._unready_until:
                continue
            if self._is_drained():
                break
        # Nothing more is accepted, also if the stop is over early.
        self._response_deadline_at = time.monotonic()
        release.cancel()
        await self._caller_server.drain(
            max(0.0, times.drained_at - time.monotonic())
        )
        await self._platform_duties.finish()
        events.write(
            'stopped',
            connections_open=self._caller_server.connections,
            records_left=not self._journal.is_idle,
        )
        self._closed.set()
