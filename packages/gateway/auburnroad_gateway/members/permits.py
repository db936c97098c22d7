"""Gets the permits for attempts at replicas that limit their rate.

For each service one gateway grants the permits. For a service with batches it
is the one that runs them, so that most permits need no call. All others call
it.
"""

import asyncio
import time
import typing

import msgspec

from auburnroad_core import decoding
from auburnroad_core.http import client
from auburnroad_core.http import messages
from auburnroad_gateway.directory import rate_limit
from auburnroad_gateway.directory import replica
from auburnroad_gateway.telemetry import events
from auburnroad_gateway.telemetry import metrics

PATH = '/permits'
# Callers wait for the answer, which usually takes some milliseconds.
TIMEOUT_SECONDS = 0.25
# Time after which a caller should return if no gateway answers for permits.
RETRY_SECONDS = 0.5


class PermitCall(msgspec.Struct, array_like=True):
    """A call of a gateway for permits.

    Attributes:
      service: Service of the replicas.
      wants: The permits that would do, the best one first.
      each: Whether a permit is wanted for each replica instead of for one.
    """

    service: str
    wants: list[rate_limit.Want]
    each: bool


class Permits:
    """Grants permits, or calls the gateway that does."""

    __slots__ = (
        '_members',
        '_duties',
        '_client',
        '_limiter',
        '_granting',
        '_calls',
        '_failing',
    )

    def __init__(self, members, duties, http_client: client.HttpClient):
        self._members = members
        self._duties = duties
        self._client = http_client
        self._limiter = rate_limit.RateLimiter()
        self._granting: dict[str, str] = {}
        self._calls: dict[str, asyncio.Task] = {}
        self._failing = False

    async def acquire(
        self, service: str, candidates: list[replica.Replica]
    ) -> tuple[replica.Replica | None, float]:
        """Acquire a permit for one attempt at one of several replicas.

        Args:
          service: Service of the replicas.
          candidates: Replicas with a rate limit, the best one first.

        Returns:
          The replica that the permit is for, None if there is no permit; and
          the seconds after which a caller should return in that case.
        """
        grants = await self._call(service, candidates, False)
        for target in candidates:
            if target.id in grants.replica_ids:
                return target, 0.0
        return None, grants.retry_seconds

    def refill(
        self,
        service: str,
        candidates: list[replica.Replica],
        on_grant: typing.Callable[[], None],
    ) -> None:
        """Get one permit in hand for each replica that may need one.

        Args:
          service: Service of the replicas.
          candidates: Replicas that have a place for one more run.
          on_grant: Called without arguments after permits were granted by
            another gateway.
        """
        now = time.monotonic()
        wanting = [target for target in candidates if not target.may_send(now)]
        if not wanting or service in self._calls:
            return
        if self._find_granting(service) == self._members.incarnation:
            self._note_granted(wanting, self._grant(service, wanting, True))
            return
        task = asyncio.create_task(self._refill(service, wanting, on_grant))
        self._calls[service] = task

    async def serve(self, request: messages.Request) -> messages.Response:
        """Answer the call of a gateway.

        Returns:
          The encoded grants; status 400 if the request isn't a valid call,
          409 if this gateway doesn't grant the permits of the service.
        """
        try:
            call = decoding.decode_msgpack(request.body, PermitCall)
        except msgspec.DecodeError as error:
            return messages.Response(400, {}, str(error).encode())
        if self._find_granting(call.service) != self._members.incarnation:
            return messages.Response(409)
        grants = self._decide(call)
        return messages.Response(200, {}, msgspec.msgpack.encode(grants))

    async def _refill(self, service, wanting, on_grant) -> None:
        try:
            grants = await self._call(service, wanting, True)
            self._note_granted(wanting, grants)
            if grants.replica_ids:
                on_grant()
        finally:
            del self._calls[service]

    def _note_granted(self, wanting, grants: rate_limit.Grants) -> None:
        now = time.monotonic()
        for target in wanting:
            if target.id in grants.replica_ids:
                target.note_permit(now)

    def _find_granting(self, service: str) -> str:
        """Find the gateway that grants permits; empty if it is unknown.

        While the log service is unavailable, nobody is chosen anew, and the
        last choice stays the same for all.
        """
        chosen = self._duties.choose_granting(service)
        if chosen:
            self._granting[service] = chosen
        return self._granting.get(service, '')

    def _grant(self, service, candidates, each: bool) -> rate_limit.Grants:
        return self._decide(_build_call(service, candidates, each))

    def _decide(self, call: PermitCall) -> rate_limit.Grants:
        grant = (
            self._limiter.grant_each if call.each else self._limiter.grant_one
        )
        grants = grant(call.wants, time.monotonic())
        metrics.PERMITS.labels('granted').inc(len(grants.replica_ids))
        if not grants.replica_ids:
            metrics.PERMITS.labels('refused').inc()
        return grants

    async def _call(
        self, service, candidates, each: bool
    ) -> rate_limit.Grants:
        granting = self._find_granting(service)
        if granting == self._members.incarnation:
            return self._grant(service, candidates, each)
        address = self._members.find_address(granting)
        call = _build_call(service, candidates, each)
        try:
            grants = await self._fetch(address, call)
        except (client.HttpError, msgspec.DecodeError) as error:
            self._note_failure(service, granting, str(error))
            return rate_limit.Grants([], RETRY_SECONDS)
        self._failing = False
        return grants

    async def _fetch(self, address: str, call) -> rate_limit.Grants:
        request = messages.Request(
            'POST', PATH, {}, msgspec.msgpack.encode(call)
        )
        response = await self._client.fetch(address, request, TIMEOUT_SECONDS)
        if response.status != 200:
            raise client.HttpError(f'status {response.status}')
        return decoding.decode_msgpack(response.body, rate_limit.Grants)

    def _note_failure(self, service: str, granting: str, error: str) -> None:
        metrics.PERMITS.labels('unreachable').inc()
        if not self._failing:
            self._failing = True
            events.write(
                'permits_unreachable',
                service=service,
                member=granting,
                error=error,
            )


def _build_call(service, candidates, each: bool) -> PermitCall:
    return PermitCall(
        service,
        [
            rate_limit.Want(target.id, target.rate_limit)
            for target in candidates
        ],
        each,
    )
