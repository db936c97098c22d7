"""Shares the slots of a full service among accounts, without I/O.

Start-time fair queueing: each account with waiting requests has a tag, the
virtual time at which its first request starts, and the request with the
lowest tag is served next. Serving a request moves the tag of its account by
the cost of the request, so that an account that floods waits behind its own
requests. Only waiting accounts take part, so that unused shares are lent at
once; an account that begins to wait starts at the present virtual time, so
that what it lent is not returned to it later in one go.

The queue is not meant to hold requests for long: one that could not be served
by its deadline is refused at once, with the time after which the queue ahead
of it is served.

All times are seconds of one clock that does not step.
"""

import collections
import heapq
import itertools
import typing

import msgspec

# Callers that return after the same refusal are spread over this share of it.
RETRY_SPREAD = 0.25
# Bounds of the time after which a refused caller is to return.
MIN_RETRY_SECONDS = 0.1
MAX_RETRY_SECONDS = 2.0
# Length of the period of waiting that the drain rate is averaged over.
RATE_SECONDS = 1.0
# Time without waiting requests after which a drain rate expires, since the
# replicas may have changed.
RATE_TTL_SECONDS = 10.0


class Refusal(msgspec.Struct, frozen=True):
    """A request that is not served.

    Attributes:
      retry_seconds: Seconds after which the caller should return.
    """

    retry_seconds: float


class Entry:
    """A waiting request.

    Attributes:
      account: Name of the account; empty for requests without an account.
      priority: Priority; zero is the highest.
      cost: Cost, in units of an average request.
      deadline_at: Time by which the request must be served.
      returning: Whether the request was refused before.
      waiting: Whether the request is still in the queue.
    """

    __slots__ = (
        'account',
        'priority',
        'cost',
        'deadline_at',
        'returning',
        'waiting',
    )

    def __init__(
        self,
        account: str,
        priority: int,
        cost: float,
        deadline_at: float,
        returning: bool = False,
    ):
        self.account = account
        self.priority = priority
        self.cost = cost
        self.deadline_at = deadline_at
        self.returning = returning
        self.waiting = False


class _Flow:
    """Requests of one account at one priority.

    Attributes:
      tag: Virtual time at which the first request starts.
      cost: Cost of all waiting requests.
      count: Number of waiting requests.
      ordered: Whether the flow is in the order of its level.
      returning: Requests that were refused before; first in line.
      fresh: All other requests.
    """

    __slots__ = ('tag', 'cost', 'count', 'ordered', 'returning', 'fresh')

    def __init__(self):
        self.tag = 0.0
        self.cost = 0.0
        self.count = 0
        self.ordered = False
        self.returning: collections.deque[Entry] = collections.deque()
        self.fresh: collections.deque[Entry] = collections.deque()

    def find_first(self) -> Entry | None:
        """Find the next request; None if none waits."""
        for line in (self.returning, self.fresh):
            if line:
                return line[0]
        return None

    def drop_removed(self) -> None:
        """Drop the requests at the front that wait no longer."""
        for line in (self.returning, self.fresh):
            while line and not line[0].waiting:
                line.popleft()

    def sum_before(self, entry: Entry) -> float:
        """Sum the costs of the requests that precede a new one."""
        if not entry.returning:
            return self.cost
        return sum(other.cost for other in self.returning if other.waiting)


class _Level:
    """Accounts of one priority.

    Attributes:
      virtual_time: Tag of the request that was served last.
      flows: Flows by account.
      order: Heap of the waiting flows by tag, then in order of arrival; a
        flow whose requests were removed leaves it when it is first.
    """

    __slots__ = ('virtual_time', 'flows', 'order')

    def __init__(self):
        self.virtual_time = 0.0
        self.flows: dict[str, _Flow] = {}
        self.order: list[tuple[float, int, _Flow]] = []

    @property
    def cost(self) -> float:
        """Cost of all waiting requests."""
        return sum(flow.cost for flow in self.flows.values())


class DrainRate:
    """Measures how fast a queue is served while requests wait.

    Times are in seconds, as in the whole module.
    """

    __slots__ = ('_cost', '_seconds', '_waiting_since', '_measured_at')

    def __init__(self):
        self._cost = 0.0
        self._seconds = 0.0
        self._waiting_since: float | None = None
        self._measured_at = float('-inf')

    def note_waiting(self, now: float) -> None:
        """Record that a request waits."""
        if self._waiting_since is None:
            self._waiting_since = now
            if now - self._measured_at > RATE_TTL_SECONDS:
                self._cost = self._seconds = 0.0

    def note_served(self, cost: float, now: float) -> None:
        """Record that a waiting request is served."""
        self._advance(now)
        self._cost += cost
        if self._seconds > RATE_SECONDS:
            # The latest second or two count; older ones fade.
            self._cost /= 2
            self._seconds /= 2

    def note_empty(self, now: float) -> None:
        """Record that no request waits any longer."""
        self._advance(now)
        self._waiting_since = None

    def estimate_seconds(self, cost: float, now: float) -> float:
        """Estimate how long serving requests takes.

        Args:
          cost: Cost of the requests.
          now: Time in seconds.

        Returns:
          Seconds; zero if nothing was measured yet.
        """
        seconds = self._seconds
        if self._waiting_since is not None:
            seconds += now - self._waiting_since
        return cost * seconds / self._cost if self._cost else 0.0

    def _advance(self, now: float) -> None:
        if self._waiting_since is not None:
            self._seconds += now - self._waiting_since
            self._waiting_since = now
        self._measured_at = now


class FairQueue:
    """Waiting requests of one service."""

    __slots__ = (
        '_draw',
        '_levels',
        '_deadlines',
        '_numbers',
        '_rate',
        '_count',
    )

    def __init__(self, draw: typing.Callable[[], float]):
        """Initialize an empty queue.

        Args:
          draw: Draws a number in [0, 1), to spread the returning callers.
        """
        self._draw = draw
        self._levels: dict[int, _Level] = {}
        self._deadlines: list[tuple[float, int, Entry]] = []
        self._numbers = itertools.count()
        self._rate = DrainRate()
        self._count = 0

    def __len__(self) -> int:
        """Count the waiting requests."""
        return self._count

    def add(self, entry: Entry, now: float) -> Refusal | None:
        """Add a request.

        Args:
          entry: The request.
          now: Time in seconds.

        Returns:
          A refusal if the request cannot be served by its deadline at the
          rate at which the queue ahead of it is served; the request is not
          added then.
        """
        level = self._levels.setdefault(entry.priority, _Level())
        wait = self._estimate_wait(level, entry, now)
        if now + wait > entry.deadline_at:
            return self._build_refusal(wait)
        flow = level.flows.setdefault(entry.account, _Flow())
        if not flow.count:
            flow.tag = max(flow.tag, level.virtual_time)
        if not flow.ordered:
            self._push(level, flow)
        line = flow.returning if entry.returning else flow.fresh
        line.append(entry)
        entry.waiting = True
        flow.cost += entry.cost
        flow.count += 1
        self._count += 1
        self._rate.note_waiting(now)
        heapq.heappush(
            self._deadlines, (entry.deadline_at, next(self._numbers), entry)
        )
        return None

    def pop(self, now: float) -> Entry | None:
        """Take the request that is served next.

        Args:
          now: Time in seconds.

        Returns:
          The request; None if none waits.
        """
        for priority in sorted(self._levels):
            level = self._levels[priority]
            flow = self._pop_flow(level)
            if flow is None:
                continue
            entry = flow.find_first()
            level.virtual_time = flow.tag
            flow.tag += entry.cost
            self._take(flow, entry)
            if flow.count:
                self._push(level, flow)
            self._rate.note_served(entry.cost, now)
            self._note_count(now)
            return entry
        return None

    def remove(self, entry: Entry, now: float) -> None:
        """Remove a request whose caller waits no longer."""
        if entry.waiting:
            flows = self._levels[entry.priority].flows
            self._take(flows[entry.account], entry)
            self._note_count(now)

    def refuse_overdue(self, now: float) -> list[tuple[Entry, Refusal]]:
        """Remove the requests whose deadline has passed.

        Args:
          now: Time in seconds.

        Returns:
          These requests with their refusals.
        """
        refused = []
        while self._deadlines and (
            self._deadlines[0][0] <= now or not self._deadlines[0][2].waiting
        ):
            entry = heapq.heappop(self._deadlines)[2]
            if entry.waiting:
                self.remove(entry, now)
                refused.append(entry)
        return [
            (entry, self._build_refusal(self._estimate_return(entry, now)))
            for entry in refused
        ]

    def find_next_deadline(self) -> float | None:
        """Find the earliest deadline of a waiting request; None if none."""
        while self._deadlines and not self._deadlines[0][2].waiting:
            heapq.heappop(self._deadlines)
        return self._deadlines[0][0] if self._deadlines else None

    def _pop_flow(self, level: _Level) -> _Flow | None:
        """Take the waiting flow with the lowest tag out of the order."""
        while level.order:
            tag, _, flow = heapq.heappop(level.order)
            flow.ordered = False
            if flow.count and tag == flow.tag:
                return flow
            if flow.count:
                # It stopped waiting and began again, with a later tag.
                self._push(level, flow)
        return None

    def _push(self, level: _Level, flow: _Flow) -> None:
        flow.ordered = True
        heapq.heappush(level.order, (flow.tag, next(self._numbers), flow))

    def _take(self, flow: _Flow, entry: Entry) -> None:
        entry.waiting = False
        # At each removal, as a flow of a low priority may never be served.
        flow.drop_removed()
        flow.count -= 1
        flow.cost = flow.cost - entry.cost if flow.count else 0.0
        self._count -= 1

    def _note_count(self, now: float) -> None:
        if not self._count:
            # All accounts have been served: they start anew together.
            self._levels.clear()
            self._rate.note_empty(now)

    def _estimate_return(self, entry: Entry, now: float) -> float:
        level = self._levels.get(entry.priority, _Level())
        return self._estimate_wait(level, entry, now)

    def _estimate_wait(self, level: _Level, entry: Entry, now: float) -> float:
        """Estimate the time until a new request would be served."""
        tag, ahead = level.virtual_time, 0.0
        flow = level.flows.get(entry.account)
        if flow is not None:
            ahead = flow.sum_before(entry)
            tag = max(tag, flow.tag) + ahead
        for other in level.flows.values():
            if other is not flow and other.count and other.tag <= tag:
                mean = other.cost / other.count
                ahead += min(other.cost, tag - other.tag + mean)
        for priority, higher in self._levels.items():
            if priority < entry.priority:
                ahead += higher.cost
        return self._rate.estimate_seconds(ahead, now)

    def _build_refusal(self, seconds: float) -> Refusal:
        bounded = min(MAX_RETRY_SECONDS, max(MIN_RETRY_SECONDS, seconds))
        return Refusal(bounded * (1 + RETRY_SPREAD * self._draw()))
