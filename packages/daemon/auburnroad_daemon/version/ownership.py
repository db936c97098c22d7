"""Finds the owner of a trainer, and takes a trainer over when its owner went.

Any entry takes a trainer's requests. It serves them itself as the owner,
forwards them to the owner, or claims the trainer. Two entries that claim at
once append both, and the log lets one through.
"""

import asyncio
import enum
import typing

from absl import logging
import msgspec

from auburnroad_core import clock
from auburnroad_core.http import messages
from auburnroad_core.log import records
from auburnroad_core.log import trainer_fold
from auburnroad_core.platform import log_service
from auburnroad_core.settings import deployment
from auburnroad_core import types
from auburnroad_core.wire import messages as wire
from auburnroad_daemon.connection import peer_link
from auburnroad_daemon.process import entry_metrics as metrics
from auburnroad_daemon.request import answers
from auburnroad_daemon.request import dispatch
from auburnroad_daemon.version import copies
from auburnroad_daemon.version import ledger as ledgers
from auburnroad_daemon.version import owner as owners
from auburnroad_daemon.version import trainer_api

COPY_TIMEOUT_SECONDS = 1.0
CLAIM_TIMEOUT_SECONDS = 3.0
RETRY_SECONDS = 0.1
SERVE_SECONDS = 40.0
COME_BACK_MS = 500
SETTLE_MS = 2000

_STATUSES = {
    owners.Refusal.UNKNOWN_STEP: 404,
    owners.Refusal.NOT_READY: 503,
    owners.Refusal.LOG_UNAVAILABLE: 503,
    owners.Refusal.NOT_OWNER: 503,
}
CONFLICT_STATUS = 409


class Way(enum.Enum):
    """What an entry does with a trainer's request."""

    SERVE = 'serve'
    FORWARD = 'forward'
    CLAIM = 'claim'
    WAIT = 'wait'


class Peers(typing.Protocol):
    """The other entries; see connection/peers.py."""

    @property
    def links(self) -> list[peer_link.PeerLink]:
        """Links to all of them."""

    def find(self, name: str) -> peer_link.PeerLink | None:
        """Find the link to an entry by its name."""

    def choose_holder(self) -> peer_link.PeerLink | None:
        """Choose the entry that holds copies for this one."""


def choose_way(
    state: trainer_fold.TrainerState,
    name: str,
    incarnation: str,
    peer: peer_link.PeerLink | None,
    settled: bool,
) -> Way:
    """Choose what to do with a trainer's request.

    Args:
      state: What the log says of the trainer.
      name: This daemon's name.
      incarnation: This daemon's incarnation.
      peer: Link to the owner that the log names, if one is known.
      settled: Whether this daemon has run for long enough to have met every
        entry that is alive.

    Returns:
      The way.
    """
    if state.claim < 0:
        return Way.CLAIM
    if state.owner == name:
        mine = state.incarnation == incarnation
        return Way.SERVE if mine else Way.CLAIM
    if peer is None:
        return Way.CLAIM if settled else Way.WAIT
    if peer.connected:
        same = peer.incarnation == state.incarnation
        return Way.FORWARD if same else Way.CLAIM
    return Way.CLAIM if peer.lost else Way.WAIT


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
        log: owners.Log,
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
            return refuse_later('no_configuration', 'not configured yet')
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
            response = refuse_later('not_owner', 'not the owner')
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
        return refuse_later('no_owner', 'no entry could take the trainer')

    async def _try_once(self, name, request) -> messages.Response | None:
        state = self._log.find(name)
        peer = self._peers.find(state.owner)
        way = choose_way(
            state,
            self._name,
            self._incarnation,
            peer,
            clock.time_now_ms() >= self._settled_at_ms,
        )
        if way is Way.SERVE:
            response = await self._serve(name, request)
            return response or await self._rebuild(name, state.claim)
        if way is Way.FORWARD:
            return await self._forward(name, peer, request)
        if way is Way.WAIT:
            return None
        return await self._claim(name, state.claim)

    async def _serve(self, name: str, request) -> messages.Response | None:
        """Serve as the owner; None when this entry isn't."""
        owner = self._owners.get(name)
        if owner is None or owner.closed:
            return None
        action = trainer_api.parse_action(request)
        try:
            return await _perform(owner, action)
        except owners.RefusedError as error:
            if error.refusal is owners.Refusal.NOT_OWNER:
                return None
            return _refuse(error)

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
            return refuse_later('leaving', 'this entry is leaving')
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
                return refuse_later(
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
        ledger = await self._find_ledger(name)
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

    async def _find_ledger(self, name: str) -> ledgers.Ledger:
        """Ask every peer for its copy and take the newest."""
        own = self.answer_copy(wire.CopyRequest('', name))
        asked = [
            asyncio.ensure_future(
                peer.ask(lambda request_id: wire.CopyRequest(request_id, name))
            )
            for peer in self._peers.links
            if peer.connected
        ]
        if asked:
            await asyncio.wait(asked, timeout=COPY_TIMEOUT_SECONDS)
        found = [own]
        for task in asked:
            if task.done() and task.exception() is None:
                found.append(task.result())
            task.cancel()
        ledger = copies.choose_newest(found)
        return ledger or ledgers.Ledger(name)


async def _perform(
    owner: owners.Owner, action: trainer_api.Action
) -> messages.Response:
    """Perform a trainer's call on its owner."""
    match action:
        case trainer_api.Show():
            return _answer(owner.describe())
        case trainer_api.SetVersion(version=version):
            await owner.set_version(version, strict=True)
            return _answer({'version': version})
        case trainer_api.Submit(version=version, change=change):
            await owner.set_version(version)
            return _answer({'accepted': await owner.submit(change)})
        case trainer_api.Void(step=step, generation=generation):
            return _answer({'generation': await owner.void(step, generation)})
    body = await owner.take(
        action.step, action.generation, action.version, action.wait_seconds
    )
    headers = {
        'content-type': messages.JSON_TYPE,
        answers.OUTCOME_HEADER: str(types.Outcome.RUN),
    }
    return messages.Response(200, headers, body)


def _answer(value: object) -> messages.Response:
    return messages.json_response(
        200, value, {answers.OUTCOME_HEADER: str(types.Outcome.RUN)}
    )


def _refuse(error: owners.RefusedError) -> messages.Response:
    status = _STATUSES.get(error.refusal, CONFLICT_STATUS)
    retry_at_ms = 0
    if error.refusal is owners.Refusal.NOT_READY:
        # It has waited as long as it wanted; the next question may wait on.
        retry_at_ms = clock.time_now_ms()
    elif status == 503:
        retry_at_ms = clock.time_now_ms() + COME_BACK_MS
    return answers.build_refusal(
        status, str(error.refusal), str(error), retry_at_ms=retry_at_ms
    )


def refuse_later(code: str, message: str) -> messages.Response:
    """Refuse a request as not run, for a reason that will pass.

    Args:
      code: Reason as a name for programs.
      message: Reason for people.

    Returns:
      The response, with the time to come back.
    """
    return answers.build_refusal(
        503, code, message, retry_at_ms=clock.time_now_ms() + COME_BACK_MS
    )
