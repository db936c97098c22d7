"""Sends reward calls until their service returns a score.

A reward call takes the path of any repeatable request: route, placement,
retries and hedging are those of the forwarder. This module adds what a caller
would do: a deadline for each call, another call after a failure, and restraint
while the service is slow or fails. Callers use the same replicas, so that
reward calls of this gateway take at most a share of their slots.
"""

import asyncio
import random
import time

from auburnroad_core.http import messages
from auburnroad_gateway import adapter as adapters
from auburnroad_gateway.completion import concurrency
from auburnroad_gateway.configuration import holder as holders
from auburnroad_gateway.directory import directory
from auburnroad_gateway.forwarding import requests
from auburnroad_gateway.model import call
from auburnroad_gateway.model import configuration
from auburnroad_gateway.telemetry import events
from auburnroad_gateway.telemetry import metrics

# Time that one call may take, with the attempts and the hedging within it.
CALL_TIMEOUT_MS = 1500
# Share of the slots of a service that reward calls may use at a time.
SLOT_SHARE = 0.5
# Delay before the second call; it doubles with each further call.
RETRY_MIN_SECONDS = 0.05
RETRY_MAX_SECONDS = 2.0
# Each delay is multiplied by a random factor from this range, so that calls
# that failed together don't return together.
RETRY_JITTER = (0.5, 1.5)


class RewardFailedError(Exception):
    """The service answered as many calls with status 500 as are allowed."""


class RewardCaller:
    """Fetches scores, with a concurrency limit for each set of services."""

    __slots__ = (
        '_adapter',
        '_forwarder',
        '_configuration',
        '_directory',
        '_limits',
    )

    def __init__(
        self,
        adapter: adapters.Adapter,
        forwarder: requests.Forwarder,
        holder: holders.ConfigurationHolder,
        replicas: directory.Directory,
    ):
        self._adapter = adapter
        self._forwarder = forwarder
        self._configuration = holder
        self._directory = replicas
        self._limits: dict[tuple[str, ...], concurrency.ConcurrencyLimit] = {}

    async def fetch_score(
        self, reward: call.RewardCall, due_ms: int, max_failures: int
    ) -> str:
        """Call until the service returns a score.

        Args:
          reward: The reward call.
          due_ms: Time in Unix milliseconds at which the score is due; calls
            that are due earlier are sent first.
          max_failures: Answers with status 500 after which the call fails,
            unless its route allows more attempts.

        Returns:
          Signature of the successful answer.

        Raises:
          RewardFailedError: If too many answers had status 500.
        """
        failures = 0
        delay_seconds = RETRY_MIN_SECONDS
        while True:
            route = self._configuration.match_route(
                reward.host, reward.path.partition('?')[0]
            )
            if route is None:
                response = None
                self._write_failure(reward, 'no route', failures)
            else:
                response, server_errors = await self._call(
                    reward, route, due_ms
                )
                if response.status // 100 == 2:
                    return self._find_score(response)
                failures += server_errors
                self._write_failure(
                    reward, f'status {response.status}', failures
                )
                if failures >= max(max_failures, route.max_attempts):
                    raise RewardFailedError(reward.id)
            await asyncio.sleep(
                max(
                    delay_seconds * random.uniform(*RETRY_JITTER),
                    _find_retry_after(response),
                )
            )
            delay_seconds = min(RETRY_MAX_SECONDS, 2 * delay_seconds)

    async def _call(
        self, reward: call.RewardCall, route, due_ms: int
    ) -> tuple[messages.Response, int]:
        """Make one call, which may take several attempts.

        Returns:
          The response, and how many answers had status 500.
        """
        limit = self._find_limit(route)
        await limit.acquire(due_ms)
        # A cancelled call tells nothing of the service.
        failed = False
        started = time.monotonic()
        metrics.REWARD_CALLS_IN_FLIGHT.inc()
        try:
            pending = requests.PendingRequest(
                messages.Request(
                    'POST',
                    reward.path,
                    self._adapter.build_reward_headers(reward),
                    reward.body,
                ),
                call.CallHead(reward.id, CALL_TIMEOUT_MS),
                route,
                started,
            )
            response = await self._forwarder.forward(pending)
            # Nor does an item whose calls are always answered with 500.
            failed = response.status >= 500 and not pending.server_errors
        finally:
            metrics.REWARD_CALLS_IN_FLIGHT.dec()
            limit.release(not failed)
        metrics.REWARD_CALLS.labels(f'{response.status // 100}xx').inc()
        metrics.REWARD_CALL_SECONDS.observe(time.monotonic() - started)
        return response, pending.server_errors

    def _find_limit(
        self, route: configuration.Route
    ) -> concurrency.ConcurrencyLimit:
        services = tuple(backend.service for backend in route.backends)
        if services not in self._limits:
            self._limits[services] = concurrency.ConcurrencyLimit(
                lambda: self._count_allowed(services)
            )
        return self._limits[services]

    def _count_allowed(self, services: tuple[str, ...]) -> int:
        slots = sum(
            target.registration.slots
            for name in services
            for target in self._directory.list_ready(name)
        )
        return int(SLOT_SHARE * slots)

    def _find_score(self, response: messages.Response) -> str:
        head = self._adapter.decode_response_head(response.headers)
        return head.signature

    def _write_failure(self, reward, reason: str, failures: int) -> None:
        events.write(
            'reward_call_failed',
            reward=reward.id,
            reason=reason,
            failures=failures,
        )


def _find_retry_after(response: messages.Response | None) -> float:
    """Find the time in seconds that a refusal asks to wait; zero if none."""
    if response is None:
        return 0.0
    try:
        return min(
            RETRY_MAX_SECONDS, float(response.headers.get('retry-after', 0))
        )
    except ValueError:
        return 0.0
