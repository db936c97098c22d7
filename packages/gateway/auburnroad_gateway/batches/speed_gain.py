"""Decides which runs move because another replica generates faster.

Hosts may be shared with other programs. A training step waits for its longest
text, and while a run stays where its text began, it loses the difference
between two hosts at each event, and more in each slow moment. A move costs a
request, another prefill of the text, and the events that the replica was about
to send. It pays only for runs that still have much to generate. Replicas that
state their slowness call for these rules; for all others, an average pace
decides.
"""

import msgspec

from auburnroad_gateway.batches import owned_batches
from auburnroad_gateway.batches import run as runs
from auburnroad_gateway.directory import placement
from auburnroad_gateway.directory import replica

# Time that a move costs besides the prefill: a round trip, the wait for the
# replica's next batch of tokens, and the event that was under way.
MOVE_MS = 90.0
# Tokens that a replica prefills in a millisecond, if it is among the slowest.
PREFILL_TOKENS_PER_MS = 200.0
# Minimum ratio of the expected gain to the cost. Estimates of the length and
# of both paces are uncertain, and each move takes capacity for the prefill.
MIN_GAIN_RATIO = 1.5
# Expected rest of a slow moment when it shows in a gap.
SLOW_MOMENT_MS = 400.0
# Pace in a slow moment as a multiple of the lasting pace.
SLOW_MOMENT_RATIO = 2.5
# Events from which a text is long enough that its step probably waits for it.
# A shorter text waits out slow moments.
LONG_TEXT_EVENTS = 30


class SpeedGain(msgspec.Struct, frozen=True):
    """Expected effect of a move in milliseconds.

    Attributes:
      lasting_ms: Time saved as the other replica is faster for good.
      present_ms: Time saved in the slow moment of the current replica.
      cost_ms: Time that the move takes.
    """

    lasting_ms: float
    present_ms: float
    cost_ms: float

    @property
    def pays(self) -> bool:
        """Whether the gain exceeds the cost by the required ratio."""
        gain_ms = self.lasting_ms + self.present_ms
        return gain_ms > MIN_GAIN_RATIO * self.cost_ms


def find_reason(
    run: runs.ItemRun,
    need: placement.ItemRequirements,
    ready: list[replica.Replica],
    failure_domain: str,
    paces: placement.Paces,
    now: float,
) -> str:
    """Find the reason for which a run should move to a faster replica.

    Args:
      run: A run at a replica that states its slowness.
      need: Requirements of the run on a replica.
      ready: Replicas of the service that accept new work.
      failure_domain: Failure domain of this gateway.
      paces: Paces of the replicas that may run the item.
      now: Monotonic time in seconds.

    Returns:
      'slow' if the replica is slower for good than one with a free slot,
      'slow moment' if it is slow at present and another one isn't, or an
      empty string if the run stays.
    """
    current = run.replica
    is_slow = (
        current.pace.is_slow(now)
        and owned_batches.count_events(run) >= LONG_TEXT_EVENTS
    )
    current_ms = placement.expect_pace(current, paces.median_ms, now)
    if not is_slow and current_ms <= paces.fastest_ms:
        return ''
    candidate = placement.choose_for_item(ready, failure_domain, need, now)
    if candidate is None or candidate is current:
        return ''
    if candidate.pace is not None and candidate.pace.is_slow(now):
        return ''
    gain = estimate_gain(
        estimate_events_left(run, need),
        current_ms,
        placement.expect_pace(candidate, paces.median_ms, now),
        is_slow,
        need.tokens,
    )
    if not gain.pays:
        return ''
    return 'slow' if gain.lasting_ms > gain.present_ms else 'slow moment'


def estimate_gain(
    events_left: float,
    current_ms: float,
    other_ms: float,
    is_slow: bool,
    tokens: int,
) -> SpeedGain:
    """Estimate what a move saves and costs.

    Args:
      events_left: Expected number of events left to generate.
      current_ms: Lasting pace of the current replica, in milliseconds between
        two events.
      other_ms: Lasting pace of the other replica, likewise.
      is_slow: Whether the current replica is in a slow moment.
      tokens: Tokens that the other replica has to prefill.

    Returns:
      The gain and the cost.
    """
    present_ms = 0.0
    if is_slow:
        slow_ms = min(
            SLOW_MOMENT_MS, events_left * current_ms * SLOW_MOMENT_RATIO
        )
        present_ms = slow_ms * (1 - 1 / SLOW_MOMENT_RATIO)
    return SpeedGain(
        events_left * (current_ms - other_ms),
        present_ms,
        MOVE_MS + tokens / PREFILL_TOKENS_PER_MS,
    )


def estimate_events_left(
    run: runs.ItemRun, need: placement.ItemRequirements
) -> float:
    """Estimate the events that a run still has to generate.

    Lengths vary so much that a text beyond its predicted length is expected to
    go on for as long as it is beyond, up to its limit.
    """
    generated = owned_batches.count_events(run)
    tokens_per_event = need.tokens_per_event
    predicted = run.item.length_hint / tokens_per_event
    limit = (run.item.tokens - run.item.prompt_tokens) / tokens_per_event
    expected = max(predicted - generated, generated / 2)
    if run.item.tokens > run.item.prompt_tokens:
        expected = min(expected, limit - generated)
    return max(1.0, expected)
