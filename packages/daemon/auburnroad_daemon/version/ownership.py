"""Finds the owner of a trainer, and takes a trainer over when its owner went.

Any entry takes a trainer's requests. It serves them itself as the owner,
forwards them to the owner, or claims the trainer. Two entries that claim at
once append both, and the log lets one through.
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
from auburnroad_daemon.request import dispatch
from auburnroad_daemon.version import copies
from auburnroad_daemon.version import owner as owners
from auburnroad_daemon.version import owner_refusals
from auburnroad_daemon.version import sealer
from auburnroad_daemon.version import trainer_api
from auburnroad_daemon.version import trainer_calls
from auburnroad_daemon.version import way as ways

CLAIM_TIMEOUT_SECONDS = 3.0
RETRY_SECONDS = 0.1
SERVE_SECONDS = 40.0
SETTLE_MS = 2000


class Peers(typing.Protocol):
    """The other entries; see connection/peers.py."""

    @property
    def links(self) -> list[peer_link.PeerLink]:
        """Links to all of them."""

    def find(self, name: str) -> peer_link.PeerLink | None:
        """Find the link to an entry by its name."""

    def choose_holder(self) -> peer_link.PeerLink | None:
        """Choose the entry that holds copies for this one."""


class Ownership:
    """The trainers that this entry owns, and the way to all others."""

    __slots__ = (
        '_name',
        '_incarnation',
        '_log',
        '_peers',
        '_store',
        '_dispatcher',
        '_count_slots',
        '_on_version',
        '_owners',
        '_claiming',
        '_deployment',
        '_leaving',
        '_settled_at_ms',
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
    ):
        self._name = name
        self._incarnation = incarnation
        self._log = log
        self._peers = peers
        self._store = copies.CopyStore()
        self._dispatcher = dispatcher
        self._count_slots = count_slots
        self._on_version = on_version
        self._owners: dict[str, owners.Owner] = {}
        self._claiming: dict[str, asyncio.Lock] = {}
        self._deployment: deployment.Deployment | None = None
        self._leaving = False
        self._settled_at_ms = clock.time_now_ms() + SETTLE_MS

    @property
    def store(self) -> copies.CopyStore:
        """Copies that this entry holds for others."""
        return self._store

    def describe(self) -> list[dict]:
        """Describe the trainers that this entry owns."""
        return [owner.describe() for owner in self._owners.values()]

    async def set_deployment(self, new: deployment.Deployment) -> None:
        """Take a new configuration over."""
        self._deployment = new
        for name, owner in list(self._owners.items()):
            if new.find_trainer(name) is None:
                del self._owners[name]
                await owner.close()
            else:
                owner.configure(new)

    async def check_claims(self) -> None:
        """Close owners whose claim was superseded."""
        for name, owner in list(self._owners.items()):
            if self._log.find(name).claim > owner.claim:
                logging.info('trainer %s was claimed by another entry', name)
                del self._owners[name]
                await owner.close()

    async def drain(self) -> None:
        """Let samples in flight end, then leave the trainers to others."""
        self._leaving = True
        await asyncio.gather(
            *(owner.drain() for owner in self._owners.values())
        )
        for owner in self._owners.values():
            await owner.close()

    async def handle(self, request: messages.Request) -> messages.Response:
        """Answer a trainer's request, here or at the owner.

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
            return trainer_calls.refuse_later(
                'no_configuration', 'not configured yet'
            )
        if self._deployment.find_trainer(name) is None:
            return answers.build_refusal(
                404, 'unknown_trainer', f'no trainer {name!r} is configured'
            )
        return await self._route(name, request)

    async def serve_forwarded(self, message: wire.Forward) -> wire.Forwarded:
        """Answer a request that another entry forwarded.

        Args:
          message: The request.

        Returns:
          The answer, with code 'not_owner' when this entry is not the owner.
        """
        request = messages.Request(
            message.method, message.target, message.headers, message.body
        )
        name = trainer_api.parse_trainer(request.path)
        response = await self._serve(name, request)
        if response is None:
            response = trainer_calls.refuse_later('not_owner', 'not the owner')
        return wire.Forwarded(
            message.request_id,
            response.status,
            response.headers,
            response.body,
        )

    def answer_copy(self, message: wire.CopyRequest) -> wire.CopyAnswer:
        """Tell a new owner what is held here of a trainer."""
        owner = self._owners.get(message.trainer)
        if owner is None:
            return self._store.answer(message)
        return wire.CopyAnswer(
            message.request_id,
            owner.claim,
            owner.copier.sequence,
            msgspec.msgpack.encode(owner.ledger),
        )

    def handle_acknowledge(self, message: wire.CopyAcknowledge) -> None:
        """Pass a holder's acknowledgement to the owner."""
        owner = self._owners.get(message.trainer)
        if owner is not None:
            owner.copier.handle_acknowledge(message)

    async def _route(self, name: str, request) -> messages.Response:
        """Serve, forward or claim until there is an answer."""
        give_up_at = asyncio.get_running_loop().time() + SERVE_SECONDS
        while asyncio.get_running_loop().time() < give_up_at:
            response = await self._try_once(name, request)
            if response is not None:
                return response
            await asyncio.sleep(RETRY_SECONDS)
        return trainer_calls.refuse_later(
            'no_owner', 'no entry could take the trainer'
        )

    async def _try_once(self, name, request) -> messages.Response | None:
        state = self._log.find(name)
        peer = self._peers.find(state.owner)
        way = ways.choose_way(
            state,
            self._name,
            self._incarnation,
            peer,
            clock.time_now_ms() >= self._settled_at_ms,
        )
        if way is ways.Way.SERVE:
            response = await self._serve(name, request)
            return response or await self._rebuild(name, state.claim)
        if way is ways.Way.FORWARD:
            return await self._forward(name, peer, request)
        if way is ways.Way.WAIT:
            return None
        return await self._claim(name, state.claim)

    async def _serve(self, name: str, request) -> messages.Response | None:
        """Serve as the owner; None when this entry isn't."""
        owner = self._owners.get(name)
        if owner is None or owner.closed:
            return None
        action = trainer_api.parse_action(request)
        try:
            return await trainer_calls.perform(owner, action)
        except owner_refusals.RefusedError as error:
            if error.refusal is owner_refusals.Refusal.NOT_OWNER:
                return None
            return trainer_calls.refuse(error)

    async def _rebuild(
        self, name: str, claim: int
    ) -> messages.Response | None:
        """Claim anew when the log says that we own what we don't hold.

        A claim whose answer was lost may come into effect late, and a drained
        owner holds nothing any more.
        """
        held = self._owners.get(name)
        if held is not None and not held.closed:
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
        """Claim a trainer; the caller looks again afterwards."""
        if self._leaving:
            return trainer_calls.refuse_later(
                'leaving', 'this entry is leaving'
            )
        lock = self._claiming.setdefault(name, asyncio.Lock())
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
                return trainer_calls.refuse_later(
                    'log_unavailable', 'the trainer has no owner now'
                )
            await self._begin(name, offset)
        return None

    async def _begin(self, name: str, offset: int) -> None:
        """Begin to own a trainer if our claim was the one let through."""
        won = self._log.find(name).claim == offset
        metrics.CLAIMS.labels('effective' if won else 'no effect').inc()
        if not won or self._deployment.find_trainer(name) is None:
            return
        own = self.answer_copy(wire.CopyRequest('', name))
        ledger = await copies.gather_ledger(name, own, self._peers.links)
        former = self._owners.pop(name, None)
        if former is not None:
            await former.close()
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
