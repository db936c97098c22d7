"""Decides how many replicas of a service each failure domain should run.

Replicas cost by the second and take seconds to start. Known work with a due
time therefore orders more of them at once, and fewer are ordered only after
the lower number has sufficed for some time. Nothing can be read back from the
platform: for twice the start time of a replica, an order counts as if it had
been carried out, and only then do the registered replicas decide again.

All times are seconds of one clock that does not step.
"""

import math

import msgspec

from auburnroad_gateway.model import configuration

# Interval between two batches of a trainer.
STEP_SECONDS = 4.0
# Slots ordered for each slot that the work needs.
MARGIN = 1.2
# Minimum time for which a lower number must have sufficed.
MIN_HOLD_SECONDS = 10.0
MS_PER_SECOND = 1000
# Keeps rounding errors from ordering one more replica.
EPSILON = 1e-9


class Work(msgspec.Struct, frozen=True):
    """An item that waits or runs.

    Attributes:
      due_at: Time at which its result is due.
      expected_seconds: Expected remaining run time.
    """

    due_at: float
    expected_seconds: float


class DomainInputs(msgspec.Struct, frozen=True):
    """Replicas of a service in one failure domain.

    Attributes:
      ready: Number of replicas that accept work.
      slots: Number of slots of these replicas.
      running_texts: Number of batch items that run on them.
    """

    ready: int = 0
    slots: int = 0
    running_texts: int = 0


class ServiceInputs(msgspec.Struct, frozen=True):
    """Replicas, work and load of a service.

    Attributes:
      service: Name of the service.
      scaling: Bounds of its numbers of replicas.
      domains: Inputs by failure domain, also of those without replicas.
      work: Items that wait or run.
      waiting_callers: Number of single requests that wait for a slot.
      plain_load: Running single requests per slot.
    """

    service: str
    scaling: configuration.Scaling
    domains: dict[str, DomainInputs]
    work: tuple[Work, ...] = ()
    waiting_callers: int = 0
    plain_load: float = 0.0

    @property
    def slots(self) -> int:
        """Number of slots in all failure domains."""
        return sum(domain.slots for domain in self.domains.values())

    @property
    def used_slots(self) -> float:
        """Number of slots that texts and single requests use."""
        texts = sum(domain.running_texts for domain in self.domains.values())
        return texts + self.plain_load * self.slots

    @property
    def boot_seconds(self) -> float:
        """Time from an order until a new replica serves."""
        return self.scaling.boot_ms / MS_PER_SECOND


class Order(msgspec.Struct, frozen=True):
    """An order of the number of replicas in one failure domain.

    Attributes:
      service: Name of the service.
      domain: Name of the failure domain.
      count: Number of replicas.
    """

    service: str
    domain: str
    count: int


class Ordered:
    """The newest order for a failure domain and what became of it.

    Attributes:
      count: Ordered number of replicas.
      ready: Number of ready replicas when the order was made.
      ordered_at: Time of the order.
      reached: Whether this number has been ready since.
      missed: Whether the failure domain did not provide this number, or an
        earlier one, in twice the start time of a replica.
    """

    __slots__ = ('count', 'ready', 'ordered_at', 'reached', 'missed')

    def __init__(
        self, count: int, ready: int, ordered_at: float, missed: bool
    ):
        self.count = count
        self.ready = ready
        self.ordered_at = ordered_at
        self.reached = False
        self.missed = missed

    @property
    def lowers(self) -> bool:
        """Whether the order ends replicas."""
        return self.count < self.ready


class ServiceState:
    """What the holder of the duty remembers of a service.

    Attributes:
      started_at: Time at which this holder took over.
      replica_slots: Slots of one replica; zero before a replica was seen.
      ordered: Newest order by failure domain.
      lower_since: Time since which fewer replicas suffice; None if they do
        not.
      lower_peak: Highest number of replicas wanted since then.
      lower_used: Sum of the slots in use at each decision since then.
      lower_checks: Number of these decisions.
    """

    __slots__ = (
        'started_at',
        'replica_slots',
        'ordered',
        'lower_since',
        'lower_peak',
        'lower_used',
        'lower_checks',
    )

    def __init__(self, started_at: float):
        self.started_at = started_at
        self.replica_slots = 0.0
        self.ordered: dict[str, Ordered] = {}
        self.lower_since: float | None = None
        self.lower_peak = 0
        self.lower_used = 0.0
        self.lower_checks = 0

    def begin_lower(self, now: float) -> None:
        """Begin to observe whether fewer replicas suffice."""
        self.lower_since = now
        self.lower_peak = 0
        self.lower_used = 0.0
        self.lower_checks = 0

    def note_lower(self, wanted: int, used: float) -> None:
        """Record the replicas wanted and the slots in use now."""
        self.lower_peak = max(self.lower_peak, wanted)
        self.lower_used += used
        self.lower_checks += 1

    def count_sufficient(self) -> int:
        """Count the replicas that have sufficed since lower_since.

        Work that has not been submitted yet is not part of what is wanted, so
        that the mean use counts as well: it is what the present flow of work
        takes.
        """
        if not self.replica_slots:
            return self.lower_peak
        used = MARGIN * self.lower_used / max(1, self.lower_checks)
        return max(
            self.lower_peak, math.ceil(used / self.replica_slots - EPSILON)
        )

    def note_sent(self, order: Order, now: float) -> None:
        """Count the time for the effect of an order from now on.

        Args:
          order: An order that was answered now, or that waits to be sent.
          now: Time in seconds.
        """
        known = self.ordered.get(order.domain)
        if known is not None and known.count == order.count:
            known.ordered_at = now


def decide(
    inputs: ServiceInputs, state: ServiceState, now: float
) -> list[Order]:
    """Decide which numbers of replicas to order.

    Args:
      inputs: Replicas, work and load of the service.
      state: State of the service, which is updated.
      now: Time in seconds.

    Returns:
      The orders, which the state counts as given.
    """
    _note_replicas(inputs, state, now)
    needed = estimate_work_slots(inputs, now)
    wanted = count_wanted(inputs, state, needed)
    targets = _spread(inputs, state, wanted, now)
    orders = _order_more(inputs, state, targets, now)
    if now < state.started_at + inputs.boot_seconds:
        # The effects of the previous holder's orders are not known yet.
        if needed <= inputs.slots:
            return []
    else:
        orders += _order_fewer(inputs, state, wanted, targets, now)
    for order in orders:
        known = state.ordered.get(order.domain)
        state.ordered[order.domain] = Ordered(
            order.count,
            inputs.domains[order.domain].ready,
            now,
            known is not None and known.missed,
        )
    return orders


def estimate_work_slots(inputs: ServiceInputs, now: float) -> float:
    """Estimate the slots that finish all items by their due times.

    Args:
      inputs: Work of the service, and the start time of its replicas.
      now: Time in seconds.

    Returns:
      Number of slots without a margin: the highest ratio, over all due
      times, of the work due until then to the time left. Items that are
      overdue or due within one step count as due after one step.
    """
    due: dict[float, float] = {}
    for work in inputs.work:
        left = max(STEP_SECONDS, work.due_at - now)
        # An item takes one slot at most, however late it is.
        used = min(work.expected_seconds, left)
        due[left] = due.get(left, 0.0) + used
    slots = total = 0.0
    for left in sorted(due):
        total += due[left]
        slots = max(slots, total / left)
    return slots


def count_wanted(
    inputs: ServiceInputs, state: ServiceState, needed: float
) -> int:
    """Count the replicas that work and callers need in all failure domains.

    Args:
      inputs: Replicas, work and load of the service.
      state: State of the service.
      needed: Slots that the items need.

    Returns:
      Number of replicas, before the bounds of the failure domains.
    """
    plain = inputs.plain_load * inputs.slots + inputs.waiting_callers
    slots = (needed + plain) * MARGIN
    if slots <= EPSILON:
        return 0
    if not state.replica_slots:
        # The first replica states how many slots one has.
        return 1
    return math.ceil(slots / state.replica_slots - EPSILON)


def _note_replicas(
    inputs: ServiceInputs, state: ServiceState, now: float
) -> None:
    """Update the state from the registered replicas."""
    ready = sum(domain.ready for domain in inputs.domains.values())
    if ready:
        state.replica_slots = inputs.slots / ready
    for domain, known in state.ordered.items():
        present = inputs.domains.get(domain, DomainInputs()).ready
        if known.lowers:
            known.reached = known.reached or present <= known.count
        elif present >= known.count:
            known.reached = True
            known.missed = False
        elif not known.reached and not _is_pending(known, inputs, now):
            known.missed = True


def _is_pending(known: Ordered, inputs: ServiceInputs, now: float) -> bool:
    """Tell whether the effect of an order may still be outstanding."""
    return now < known.ordered_at + 2 * inputs.boot_seconds


def _count_current(
    inputs: ServiceInputs, state: ServiceState, domain: str, now: float
) -> int:
    """Count the replicas of a failure domain, as ordered or as registered."""
    known = state.ordered.get(domain)
    if known is not None and _is_pending(known, inputs, now):
        return known.count
    return inputs.domains[domain].ready


def _spread(
    inputs: ServiceInputs, state: ServiceState, wanted: int, now: float
) -> dict[str, int]:
    """Spread replicas evenly over the failure domains, within the bounds.

    What a failure domain did not provide although it was ordered is shared
    by the others.
    """
    if not inputs.domains:
        return {}
    low, high = inputs.scaling.minimum, inputs.scaling.maximum
    share, extra = divmod(wanted, len(inputs.domains))
    ranked = sorted(
        inputs.domains,
        key=lambda name: (-_count_current(inputs, state, name, now), name),
    )
    targets = {
        name: min(high, max(low, share + (rank < extra)))
        for rank, name in enumerate(ranked)
    }
    missed = [
        name
        for name, known in state.ordered.items()
        if known.missed and name in targets
    ]
    shortfall = sum(
        max(0, targets[name] - inputs.domains[name].ready) for name in missed
    )
    others = [name for name in ranked if name not in missed]
    for _ in range(shortfall):
        open_to_more = [name for name in others if targets[name] < high]
        if not open_to_more:
            break
        targets[min(open_to_more, key=targets.__getitem__)] += 1
    return targets


def _order_more(
    inputs: ServiceInputs,
    state: ServiceState,
    targets: dict[str, int],
    now: float,
) -> list[Order]:
    """Order the failure domains that need more replicas."""
    high = inputs.scaling.maximum
    return [
        # Texts may run on replicas that an earlier order of fewer ends.
        Order(
            inputs.service,
            name,
            max(target, min(high, _count_for_texts(inputs, state, name))),
        )
        for name, target in targets.items()
        if target > _count_current(inputs, state, name, now)
    ]


def _order_fewer(
    inputs: ServiceInputs,
    state: ServiceState,
    wanted: int,
    targets: dict[str, int],
    now: float,
) -> list[Order]:
    """Order fewer replicas in one failure domain, if that has sufficed."""
    if not _list_lower(inputs, state, targets, now):
        state.lower_since = None
        return []
    if state.lower_since is None:
        state.begin_lower(now)
    state.note_lower(wanted, inputs.used_slots)
    hold = max(MIN_HOLD_SECONDS, 2 * inputs.boot_seconds)
    if now < state.lower_since + hold:
        return []
    if _is_lowering(inputs, state, now):
        return []
    sufficient = _spread(inputs, state, state.count_sufficient(), now)
    if not _list_lower(inputs, state, sufficient, now):
        # What was wanted earlier no longer counts.
        state.begin_lower(now)
        return []
    # Running texts keep their replicas; they do not prolong the hold time.
    for name, target in sufficient.items():
        sufficient[name] = max(target, _count_for_texts(inputs, state, name))
    lower = {
        name: target
        for name, target in _list_lower(inputs, state, sufficient, now).items()
        if target <= inputs.scaling.maximum
    }
    if not lower:
        return []
    chosen = max(lower, key=lambda name: (inputs.domains[name].ready, name))
    return [Order(inputs.service, chosen, lower[chosen])]


def _count_for_texts(
    inputs: ServiceInputs, state: ServiceState, domain: str
) -> int:
    """Count the replicas that the running texts of a domain take."""
    if not state.replica_slots:
        return 0
    texts = inputs.domains[domain].running_texts
    return math.ceil(texts / state.replica_slots - EPSILON)


def _list_lower(
    inputs: ServiceInputs,
    state: ServiceState,
    targets: dict[str, int],
    now: float,
) -> dict[str, int]:
    """List the targets that are below the present numbers of replicas."""
    lower = {}
    for name, target in targets.items():
        current = _count_current(inputs, state, name, now)
        known = state.ordered.get(name)
        if known is not None and known.missed:
            # Replicas that were ordered in vain may still come.
            current = max(current, known.count)
        if target < current:
            lower[name] = target
    return lower


def _is_lowering(
    inputs: ServiceInputs, state: ServiceState, now: float
) -> bool:
    """Tell whether an order of fewer replicas is still being carried out."""
    return any(
        known.lowers and not known.reached and _is_pending(known, inputs, now)
        for known in state.ordered.values()
    )
