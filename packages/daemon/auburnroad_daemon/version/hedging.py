"""Decides when a straggling sample gets a second attempt on another host.

A few stragglers delay an entire step. A second attempt costs engine time, so
it is started only near the end of the step that the trainer waits for, when
engine slots would be idle otherwise. Policies are pure functions, registered
by name.
"""

import typing

import msgspec

from auburnroad_core import registry
from auburnroad_core.settings import deployment

# A step is near its end when at most this fraction of its samples is missing.
TAIL_FRACTION = 0.15
TAIL_AGE_FACTOR = 1.5
MIN_DURATIONS = 8
MAX_CONCURRENT_ATTEMPTS = 2


class Straggler(msgspec.Struct, frozen=True):
    """Input of a hedging policy: a sample that is being generated.

    Attributes:
      age_ms: Time since its first attempt started, in milliseconds.
      attempts: Number of its attempts that run now.
      missing: Number of samples that the requested step still needs.
      wanted: Number of samples in a step.
      durations_ms: Durations of recent successful attempts, in milliseconds.
    """

    age_ms: int
    attempts: int
    missing: int
    wanted: int
    durations_ms: typing.Sequence[int]


Policy = typing.Callable[[Straggler, deployment.Trainer], bool]
POLICIES: registry.Registry[Policy] = registry.Registry('hedging policy')


@POLICIES.register('never')
def hedge_never(straggler: Straggler, trainer: deployment.Trainer) -> bool:
    """Never start a second attempt; the baseline for comparisons."""
    return False


@POLICIES.register('age')
def hedge_by_age(straggler: Straggler, trainer: deployment.Trainer) -> bool:
    """Start a second attempt for a sample above the configured age."""
    return (
        trainer.hedge_after_ms > 0
        and straggler.attempts < MAX_CONCURRENT_ATTEMPTS
        and straggler.age_ms > trainer.hedge_after_ms
    )


@POLICIES.register('tail')
def hedge_tail(straggler: Straggler, trainer: deployment.Trainer) -> bool:
    """Start a second attempt for a slow sample near the end of a step.

    The threshold is TAIL_AGE_FACTOR times the 90th percentile of recent
    durations. No second attempt is started while fewer than MIN_DURATIONS
    durations are known.
    """
    if straggler.attempts >= MAX_CONCURRENT_ATTEMPTS:
        return False
    if straggler.missing > straggler.wanted * TAIL_FRACTION:
        return False
    if len(straggler.durations_ms) < MIN_DURATIONS:
        return False
    ordered = sorted(straggler.durations_ms)
    p90_ms = ordered[len(ordered) * 9 // 10]
    return straggler.age_ms > p90_ms * TAIL_AGE_FACTOR
