"""Seeds of the soak that once failed, each with its cause.

They are played again by `python -m auburnroad_e2e.soak.run --known`.
"""

import msgspec

from auburnroad_e2e.soak import duty_faults
from auburnroad_e2e.soak import faults
from auburnroad_e2e.soak import read_faults
from auburnroad_e2e.soak import schedule as schedules


class Case(msgspec.Struct, frozen=True):
    """A seed that failed.

    Attributes:
      seed: The seed.
      seconds: How long faults came.
      cause: What was wrong.
      later_kinds: Kinds of faults that were added since, which the seed is
        drawn without.
    """

    seed: int
    seconds: float
    cause: str
    later_kinds: tuple[str, ...] = ()


_NEXT_START = (
    'the check of replicas that leave counted requests to their next start, '
    'after overlapping announcements or a pause of the gateway'
)
_CRASHED = (
    'the check of replicas that leave took the start after a crash for the '
    'one that had said so'
)
_HANG_UP = 'a hang-up ended a gateway that was still importing its modules'
# Kinds of faults added after the cases below failed.
_ADDED_LATER = (
    faults.HISTORY_LOST_BEHIND_CUT,
    faults.ALL_SILENT,
    faults.LIMITED,
    faults.ENDLESS,
    faults.CRASHING,
    faults.RELEASED,
    faults.ALL_LOST_AT_RELEASE,
    *schedules.KEY_KINDS,
    *schedules.DUTY_KINDS,
    *schedules.READ_KINDS,
)

CASES: tuple[Case, ...] = (
    Case(1035, 12.0, _HANG_UP, (faults.LEAVING, *_ADDED_LATER)),
    Case(1041, 12.0, _HANG_UP, (faults.LEAVING, *_ADDED_LATER)),
    Case(2001, 12.0, _NEXT_START, _ADDED_LATER),
    Case(2006, 12.0, _NEXT_START, _ADDED_LATER),
    Case(2027, 12.0, _NEXT_START, _ADDED_LATER),
    Case(2049, 12.0, _NEXT_START, _ADDED_LATER),
    Case(
        52036,
        12.0,
        _CRASHED,
        schedules.DUTY_KINDS + schedules.READ_KINDS,
    ),
)

# Streams that callers took up were joined from two software versions after
# all gateways were lost, when the replicas of the older one had just gone.
LOST_AT_RELEASE = schedules.Schedule(
    seed=2,
    seconds=20.0,
    gateways=4,
    engines=4,
    slots=4,
    faults=tuple(
        schedules.Fault(faults.ALL_LOST_AT_RELEASE, at, 0.0, draw)
        for at, draw in ((3.0, 0.002), (8.0, 0.012), (13.0, 0.022))
    ),
)

# A gateway that had been replaced as the holder ordered loads by its old fence
# once its heartbeats were confirmed again and before it had read of its
# successor: after it had been cut off, and from answers that were held back.
FORMER_HOLDER = schedules.Schedule(
    seed=2,
    seconds=20.0,
    gateways=4,
    engines=4,
    slots=2,
    faults=(
        schedules.Fault(duty_faults.APART, 5.0, 5.0, 0.1753),
        schedules.Fault(duty_faults.ANSWERED_LATE, 16.0, 4.0, 0.0043),
    ),
)

# Routes were denied 2 s after their acknowledgement and later: reads were lost
# one after the other beside cut-off peers, and by all gateways at once.
LOST_READS = schedules.Schedule(
    seed=1,
    seconds=20.0,
    gateways=4,
    engines=3,
    slots=2,
    faults=(
        schedules.Fault(read_faults.LOST_IN_SERIES, 3.0, 6.0, 0.1),
        schedules.Fault(read_faults.UNREAD, 12.0, 6.0, 0.0055),
    ),
)


def list_schedules() -> list[schedules.Schedule]:
    """List the schedules of all cases."""
    return [LOST_AT_RELEASE, FORMER_HOLDER, LOST_READS] + [
        schedules.draw(
            case.seed,
            case.seconds,
            [
                kind
                for kind in faults.KINDS.names
                if kind not in case.later_kinds
            ],
        )
        for case in CASES
    ]
