"""Routes trainers' requests to their owners and claims unowned trainers.

Any entry accepts a trainer's requests. It serves them as the owner, forwards
them to the owner, or claims the trainer. If two entries claim a trainer
concurrently, both append a claim, and the log's fold makes one effective.
"""

import asyncio
import typing

from absl import logging
import msgspec

from auburnroad_core import clock
from auburnroad_core.http import messages
from auburnroad_core.log import records
from auburnroad_core.platform import log_service
from auburnroad_core.settings import deployment
from auburnroad_core.wire import messages as wire
from auburnroad_daemon.connection import peer_link
from auburnroad_daemon.process import entry_metrics as metrics
from auburnroad_daemon.request import answers
from auburnroad_daemon.request import denials
from auburnroad_daemon.request import dispatch
from auburnroad_daemon.version import copies
from auburnroad_daemon.version import owner as owners
from auburnroad_daemon.version import owner_refusals
from auburnroad_daemon.version import sealer
from auburnroad_daemon.version import trainer_api
from auburnroad_daemon.version import trainer_calls
from auburnroad_daemon.version import trainer_routing

CLAIM_TIMEOUT_SECONDS = 3.0
RETRY_DELAY_SECONDS = 0.1
ROUTE_TIMEOUT_SECONDS = 40.0
# Time after the start in which this entry connects to every live entry. Until
# then a missing link doesn't show that a trainer's owner is dead.
PEER_DISCOVERY_MS = 2000


class Peers(typing.Protocol):
    """Links to the other entries; see connection/peers.py."""

    @property
    def links(self) -> list[peer_link.PeerLink]:
        """Links to all other entries."""

    def find(self, name: str) -> peer_link.PeerLink | None:
        """Find the link to an entry by its name."""

    def choose_holder(self) -> peer_link.PeerLink | None:
        """Choose the entry that holds copies for this entry."""


class Ownership:
    """Serves the trainers that this entry owns and routes all others."""

    __slots__ = (
        '_name',
        '_incarnation',
        '_log',
        '_peers',
        '_store',
        '_dispatcher',
        '_count_slots',
        '_on_version',
        '_confirm_configuration',
        '_owners',
        '_claim_locks',
        '_deployment',
        '_leaving',
        '_peers_discovered_at_ms',
    )

    def __init__(
        self,
        name: str,
        incarnation: str,
        log: sealer.Log,
        peers: Peers,
        dispatcher: dispatch.Dispatcher,
        count_slots: typing.Callable[[str], int],
        on_version: typing.Callable[[str, int], None],
        confirm_configuration: typing.Callable[[], typing.Awaitable[bool]],
    ):
        self._name = name
        self._incarnation = incarnation
        self._log = log
        self._peers = peers
        self._store = copies.CopyStore()
        self._dispatcher = dispatcher
        self._count_slots = count_slots
        self._on_version = on_version
        self._confirm_configuration = confirm_configuration
        self._owners: dict[str, owners.Owner] = {}
        self._claim_locks: dict[str, asyncio.Lock] = {}
        self._deployment: deployment.Deployment | None = None
        self._leaving = False
        self._peers_discovered_at_ms = clock.time_now_ms() + PEER_DISCOVERY_MS

    @property
    def copy_store(self) -> copies.CopyStore:
        """Copies that this entry holds for other owners."""
        return self._store

    def describe(self) -> list[dict]:
        """Describe the trainers that this entry owns."""
        return [owner.describe() for owner in self._owners.values()]

    async def set_deployment(self, new: deployment.Deployment) -> None:
        """Apply a new configuration; close owners of removed trainers."""
        self._deployment = new
        for name, owner in list(self._owners.items()):
            if new.find_trainer(name) is None:
                del self._owners[name]
                await owner.close()
            else:
                owner.configure(new)

    async def check_claims(self) -> None:
        """Close the local owners whose claim was superseded."""
        for name, owner in list(self._owners.items()):
            if self._log.find(name).claim > owner.claim:
                logging.info('trainer %s was claimed by another entry', name)
                del self._owners[name]
                await owner.close()

    async def drain(self) -> None:
        """Wait for samples in flight, then close every owner of this entry."""
        self._leaving = True
        await asyncio.gather(
            *(owner.drain() for owner in self._owners.values())
        )
        for owner in self._owners.values():
            await owner.close()

    async def handle(self, request: messages.Request) -> messages.Response:
        """Handle a trainer's request locally or at the owner.

        Args:
          request: The request.

        Returns:
          The response.
        """
        try:
            name = trainer_api.parse_trainer(request.path)
            trainer_api.parse_action(request)
        except answers.BadRequestError as error:
            return answers.refuse_bad_request(error)
        if self._deployment is None:
            return trainer_calls.build_retryable_refusal(
                'no_configuration', 'not configured yet'
            )
        if self._deployment.find_trainer(name) is None:
            # A 404 is final to trainers.
            if not await self._confirm_configuration():
                return denials.build_unread_refusal(
                    f'no trainer {name!r} is known'
                )
        if self._deployment.find_trainer(name) is None:
            return answers.build_refusal(
                404, 'unknown_trainer', f'no trainer {name!r} is configured'
            )
        return await self._route(name, request)

    async def handle_forwarded(self, message: wire.Forward) -> wire.Forwarded:
        """Handle a request that another entry forwarded.

        Args:
          message: The forwarded request.

        Returns:
          The response; its error code is 'not_owner' if this entry is not the
          owner.
        """
        request = messages.Request(
            message.method, message.target, message.headers, message.body
        )
        name = trainer_api.parse_trainer(request.path)
        response = await self._serve(name, request)
        if response is None:
            response = trainer_calls.build_retryable_refusal(
                'not_owner', 'not the owner'
            )
        return wire.Forwarded(
            message.request_id,
            response.status,
            response.headers,
            response.body,
        )

    def build_copy_answer(self, message: wire.CopyRequest) -> wire.CopyAnswer:
        """Build the answer to a new owner that requests a trainer's ledger."""
        owner = self._owners.get(message.trainer)
        if owner is None:
            return self._store.build_answer(message)
        return wire.CopyAnswer(
            message.request_id,
            owner.claim,
            owner.copier.sequence,
            msgspec.msgpack.encode(owner.ledger),
        )

    def handle_acknowledgement(self, message: wire.CopyAcknowledge) -> None:
        """Pass a holder's acknowledgement to the trainer's owner."""
        owner = self._owners.get(message.trainer)
        if owner is not None:
            owner.copier.handle_acknowledgement(message)

    async def _route(self, name: str, request) -> messages.Response:
        """Retry until the request is answered or the timeout expires."""
        deadline = asyncio.get_running_loop().time() + ROUTE_TIMEOUT_SECONDS
        while asyncio.get_running_loop().time() < deadline:
            response = await self._try_route(name, request)
            if response is not None:
                return response
            await asyncio.sleep(RETRY_DELAY_SECONDS)
        return trainer_calls.build_retryable_refusal(
            'no_owner', 'no entry could take the trainer'
        )

    async def _try_route(self, name, request) -> messages.Response | None:
        state = self._log.find(name)
        peer = self._peers.find(state.owner)
        route = trainer_routing.choose_route(
            state,
            self._name,
            self._incarnation,
            peer,
            clock.time_now_ms() >= self._peers_discovered_at_ms,
        )
        if route is trainer_routing.TrainerRoute.SERVE:
            response = await self._serve(name, request)
            return response or await self._reclaim(name, state.claim)
        if route is trainer_routing.TrainerRoute.FORWARD:
            return await self._forward(name, peer, request)
        if route is trainer_routing.TrainerRoute.WAIT:
            return None
        return await self._claim(name, state.claim)

    async def _serve(self, name: str, request) -> messages.Response | None:
        """Serve a request as the owner; None if this entry isn't the owner."""
        owner = self._owners.get(name)
        if owner is None or owner.closed:
            return None
        action = trainer_api.parse_action(request)
        try:
            return await trainer_calls.run_action(owner, action)
        except owner_refusals.RefusedError as error:
            if error.refusal is owner_refusals.Refusal.NOT_OWNER:
                return None
            return trainer_calls.refuse(error)

    async def _reclaim(
        self, name: str, claim: int
    ) -> messages.Response | None:
        """Claim again if the log names this entry, but no open owner exists.

        A claim whose append was not confirmed may take effect later, and a
        drained owner is closed.
        """
        owner = self._owners.get(name)
        if owner is not None and not owner.closed:
            return None
        return await self._claim(name, claim)

    async def _forward(self, name, peer, request) -> messages.Response | None:
        claim = self._log.find(name).claim
        try:
            answer = await peer.ask(
                lambda request_id: wire.Forward(
                    request_id,
                    request.method,
                    request.target,
                    request.headers,
                    request.body,
                )
            )
        except peer_link.PeerLostError:
            return None
        if b'"not_owner"' in answer.body[:64]:
            return await self._claim(name, claim)
        return messages.Response(answer.status, answer.headers, answer.body)

    async def _claim(
        self, name: str, current: int
    ) -> messages.Response | None:
        """Claim a trainer.

        Returns:
          None if the caller should route the request again, otherwise a
          refusal.
        """
        if self._leaving:
            return trainer_calls.build_retryable_refusal(
                'leaving', 'this entry is leaving'
            )
        lock = self._claim_locks.setdefault(name, asyncio.Lock())
        async with lock:
            if self._log.find(name).claim != current:
                return None
            record = records.Claim(
                name, self._name, self._incarnation, current
            )
            try:
                async with asyncio.timeout(CLAIM_TIMEOUT_SECONDS):
                    offset = await self._log.append(record)
            except (log_service.LogError, TimeoutError):
                return trainer_calls.build_retryable_refusal(
                    'log_unavailable', 'the trainer has no owner now'
                )
            await self._start_owner(name, offset)
        return None

    async def _start_owner(self, name: str, offset: int) -> None:
        """Start the owner of a trainer if its claim took effect."""
        is_effective = self._log.find(name).claim == offset
        metrics.CLAIMS.labels(
            'effective' if is_effective else 'no effect'
        ).inc()
        if not is_effective or self._deployment.find_trainer(name) is None:
            return
        own = self.build_copy_answer(wire.CopyRequest('', name))
        ledger = await copies.fetch_newest_ledger(name, own, self._peers.links)
        previous = self._owners.pop(name, None)
        if previous is not None:
            await previous.close()
        self._store.drop(name)
        self._owners[name] = owners.Owner(
            self._log,
            ledger,
            offset,
            self._deployment,
            self._dispatcher,
            self._count_slots,
            self._peers.choose_holder,
            self._on_version,
        )
        logging.info('owner of trainer %s under claim %d', name, offset)
