"""Shares the rate limits of replicas among all gateways, without I/O.

A replica may limit the requests per second that it accepts from all gateways
together. For each service one gateway, the same for all, grants permits: one
permit for each attempt, whatever the kind of the request. A permit that isn't
used soon expires.

Permits are granted at the rate of the limit. The gateway that grants them may
change at any time, and for a moment some gateways ask the previous one and
some the next. The next one therefore grants nothing at first.
"""

import msgspec

# Time after which all gateways ask the next gateway that grants permits: a
# heartbeat and a read of it.
HANDOVER_SECONDS = 1.0
# Permits saved up while nobody asks, since the items of a step come at once:
# those of some time at the rate of the limit, and a few.
BURST_SECONDS = 1.0
BURST_PERMITS = 2.0
# A gateway that has had no answer for a while may still name an earlier,
# higher limit. The lowest limit that was named within this time counts.
LIMIT_MEMORY_SECONDS = 2.0
# Longest time until a caller is asked to return.
MAX_RETRY_SECONDS = 3.0
# Time after which a replica that nobody asks for is forgotten.
IDLE_SECONDS = 60.0


class Want(msgspec.Struct, frozen=True, array_like=True):
    """A permit that a gateway asks for.

    Attributes:
      replica_id: Id of the replica.
      per_second: Rate limit of the replica as the gateway knows it.
    """

    replica_id: str
    per_second: float


class Grants(msgspec.Struct, frozen=True, array_like=True):
    """The answer to a gateway that asked for permits.

    Attributes:
      replica_ids: Replicas for which a permit is granted.
      retry_seconds: Time after which a caller should return if no permit is
        granted; zero if one is.
    """

    replica_ids: list[str]
    retry_seconds: float


class _Bucket:
    """Token bucket of one replica.

    Attributes:
      per_second: Rate limit.
      limited_at: When that limit was last named, in seconds.
      tokens: Permits that may be granted; negative during a handover.
      updated_at: Time up to which tokens were added, in seconds.
      return_at: Time at which the last caller that was told to is to return.
    """

    __slots__ = (
        'per_second',
        'limited_at',
        'tokens',
        'updated_at',
        'return_at',
    )

    def __init__(self, per_second: float, now: float):
        self.per_second = per_second
        self.limited_at = now
        self.tokens = -per_second * HANDOVER_SECONDS
        self.updated_at = now
        self.return_at = now

    def update(self, per_second: float, now: float) -> None:
        """Apply a named limit and add the tokens of the time passed."""
        if (
            per_second <= self.per_second
            or now - self.limited_at > LIMIT_MEMORY_SECONDS
        ):
            self.per_second = per_second
            self.limited_at = now
        added = self.per_second * max(0.0, now - self.updated_at)
        capacity = self.per_second * BURST_SECONDS + BURST_PERMITS
        self.tokens = min(capacity, self.tokens + added)
        self.updated_at = now

    def find_return(self, now: float) -> float:
        """Find when the next caller should return, after those before it."""
        if self.per_second <= 0.0:
            return now + MAX_RETRY_SECONDS
        ready_at = now + (1.0 - self.tokens) / self.per_second
        queued_at = self.return_at + 1.0 / self.per_second
        return min(max(ready_at, queued_at), now + MAX_RETRY_SECONDS)


class RateLimiter:
    """Grants the permits of the replicas that this gateway answers for."""

    __slots__ = ('_buckets',)

    def __init__(self):
        self._buckets: dict[str, _Bucket] = {}

    def grant_one(self, wants: list[Want], now: float) -> Grants:
        """Grant a permit for the first replica that has one.

        If none has, callers are spread over the time in which permits become
        available, so that they don't return all at once.

        Args:
          wants: Replicas that would do, the best one first.
          now: Monotonic time in seconds.
        """
        buckets = [self._find(want, now) for want in wants]
        for want, bucket in zip(wants, buckets, strict=True):
            if bucket.tokens >= 1.0:
                bucket.tokens -= 1.0
                return Grants([want.replica_id], 0.0)
        if not buckets:
            return Grants([], MAX_RETRY_SECONDS)
        soonest = min(buckets, key=lambda bucket: bucket.find_return(now))
        soonest.return_at = soonest.find_return(now)
        return Grants([], soonest.return_at - now)

    def grant_each(self, wants: list[Want], now: float) -> Grants:
        """Grant a permit for each replica that has one.

        Args:
          wants: Replicas that have a place for one more run.
          now: Monotonic time in seconds.
        """
        granted = []
        for want in wants:
            bucket = self._find(want, now)
            if bucket.tokens >= 1.0:
                bucket.tokens -= 1.0
                granted.append(want.replica_id)
        return Grants(granted, 0.0)

    def _find(self, want: Want, now: float) -> _Bucket:
        bucket = self._buckets.get(want.replica_id)
        if bucket is None:
            self._forget_idle(now)
            bucket = _Bucket(want.per_second, now)
            self._buckets[want.replica_id] = bucket
        bucket.update(want.per_second, now)
        return bucket

    def _forget_idle(self, now: float) -> None:
        for replica_id in [
            replica_id
            for replica_id, bucket in self._buckets.items()
            if now - bucket.updated_at > IDLE_SECONDS
        ]:
            del self._buckets[replica_id]
