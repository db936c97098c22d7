"""Decides when a sample that is late gets a second attempt elsewhere.

A few stragglers stall a whole step. A second attempt costs engine time, so
it is made only for the step that the trainer waits for, near its end, when
slots would stand idle anyway. Policies are pure and registered by name.
"""

import typing

import msgspec

from auburnroad_core import registry
from auburnroad_core.settings import deployment

TAIL_FRACTION = 0.15
TAIL_AGE_FACTOR = 1.5
MIN_DURATIONS = 8
MAX_ATTEMPTS_AT_ONCE = 2


class Straggler(msgspec.Struct, frozen=True):
    """A sample in generation, as a hedging policy sees it.

    Attributes:
      age_ms: Time since its attempt began, in milliseconds.
      attempts: Attempts at it that run now.
      missing: Samples that its step still misses.
      wanted: Samples that its step consists of.
      durations_ms: Times that recent samples took, in milliseconds.
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
    """Never make a second attempt; a baseline."""
    return False


@POLICIES.register('age')
def hedge_by_age(straggler: Straggler, trainer: deployment.Trainer) -> bool:
    """Make one at the age that the configuration names."""
    return (
        trainer.hedge_after_ms > 0
        and straggler.attempts < MAX_ATTEMPTS_AT_ONCE
        and straggler.age_ms > trainer.hedge_after_ms
    )


@POLICIES.register('tail')
def hedge_tail(straggler: Straggler, trainer: deployment.Trainer) -> bool:
    """Make one near the step's end for a sample much older than usual."""
    if straggler.attempts >= MAX_ATTEMPTS_AT_ONCE:
        return False
    if straggler.missing > straggler.wanted * TAIL_FRACTION:
        return False
    if len(straggler.durations_ms) < MIN_DURATIONS:
        return False
    ordered = sorted(straggler.durations_ms)
    usual_ms = ordered[len(ordered) * 9 // 10]
    return straggler.age_ms > usual_ms * TAIL_AGE_FACTOR
