"""What a seed stands for: the size of a deployment and its faults.

Everything that varies is drawn here, so that a seed names a run, and a run
can be played again with fewer faults.
"""

import itertools
import random

import msgspec

# The first fault comes once everything has begun to work.
FIRST_FAULT_SECONDS = 2.0
# After the last fault has ended, a run goes on so that the system recovers.
GATEWAYS = (3, 4, 5, 6, 14)
ENGINES = (3, 4, 6)
FAULT_SECONDS = (0.5, 6.0)
LONG_FAULT_SHARE = 0.3
# Kinds of faults of deployments with accounts. They are drawn apart from the
# others, so that a seed has the same other faults as before they were added.
KEY_KINDS = ('key-added', 'key-removed')
KEY_FAULTS = (1, 5)
# The same for the loss of all gateways at a release, in every fourth seed.
RELEASE_KINDS = ('all-gateways-lost-at-release',)
RELEASE_FAULTS = (1, 3)
# The same for what may make two gateways order weight loads, in every other
# seed. These worlds have relays between gateways.
DUTY_KINDS = (
    'gateway-apart',
    'holder-frozen',
    'log-partitions-down',
    'duties-answered-late',
)
DUTY_FAULTS = (2, 4)
DUTY_FAULT_SECONDS = (1.2, 8.0)
# The same for what lets gateways learn late of changes, in every third seed.
READ_KINDS = ('operators-unread', 'reads-lost-in-series')
READ_FAULTS = (1, 3)
READ_FAULT_SECONDS = (2.5, 6.0)


class Fault(msgspec.Struct, frozen=True):
    """One fault.

    Attributes:
      kind: Name in the registry of faults.
      at: When it begins, in seconds from the start of traffic.
      seconds: How long it lasts, where it lasts.
      draw: A number from zero to one from which subjects are chosen.
    """

    kind: str
    at: float
    seconds: float
    draw: float


class Schedule(msgspec.Struct, frozen=True):
    """One run.

    Attributes:
      seed: What it was drawn from.
      seconds: How long faults come.
      gateways: How many gateways.
      engines: How many model engines.
      slots: Slots of an engine.
      faults: In the order in which they begin.
      has_accounts: Whether callers need keys.
      checks_fences: Whether replicas refuse orders of a former holder.
    """

    seed: int
    seconds: float
    gateways: int
    engines: int
    slots: int
    faults: tuple[Fault, ...]
    has_accounts: bool = False
    checks_fences: bool = False

    @property
    def has_peer_relays(self) -> bool:
        """Whether relays stand between the gateways."""
        return any(fault.kind in DUTY_KINDS for fault in self.faults)


def draw(
    seed: int, seconds: float, kinds: list[str], gateways: int = 0
) -> Schedule:
    """Draw a schedule.

    Args:
      seed: Names it.
      seconds: How long faults come.
      kinds: Kinds of faults to draw from.
      gateways: How many gateways, zero to draw that, too.

    Returns:
      The schedule, the same for the same arguments.
    """
    source = random.Random(seed)
    drawn_gateways = source.choice(GATEWAYS)
    faults = []
    at = FIRST_FAULT_SECONDS
    # Some runs have one fault after the other, some have them overlap.
    mean_gap = source.choice((0.4, 1.0, 2.5))
    apart = KEY_KINDS + RELEASE_KINDS + DUTY_KINDS + READ_KINDS
    others = [kind for kind in kinds if kind not in apart]
    favourites = source.sample(others, min(len(others), 6))
    while favourites and at < seconds:
        low, high = FAULT_SECONDS
        is_long = source.random() < LONG_FAULT_SHARE
        faults.append(
            Fault(
                source.choice(favourites),
                round(at, 2),
                round(source.uniform(low, high if is_long else 2.0), 2),
                source.random(),
            )
        )
        at += source.expovariate(1 / mean_gap)
    drawn_apart = {
        name: _draw_apart(name, seed, seconds, kinds) for name in _APART
    }
    faults.extend(itertools.chain(*drawn_apart.values()))
    return Schedule(
        seed,
        seconds,
        gateways or drawn_gateways,
        source.choice(ENGINES),
        source.choice((2, 4)),
        tuple(sorted(faults, key=lambda fault: fault.at)),
        bool(drawn_apart['keys']),
        # Most of the users' deployments have replicas that check nothing.
        seed % 4 == 0,
    )


# Kinds of faults that are drawn apart, in which seeds, how many, how long.
_APART = {
    'keys': (KEY_KINDS, lambda seed: seed % 3 != 0, KEY_FAULTS, None),
    'releases': (
        RELEASE_KINDS,
        lambda seed: seed % 4 == 2,
        RELEASE_FAULTS,
        None,
    ),
    'duties': (
        DUTY_KINDS,
        lambda seed: seed % 2 == 1,
        DUTY_FAULTS,
        DUTY_FAULT_SECONDS,
    ),
    'reads': (
        READ_KINDS,
        lambda seed: seed % 3 == 1,
        READ_FAULTS,
        READ_FAULT_SECONDS,
    ),
}


def _draw_apart(
    name: str, seed: int, seconds: float, kinds: list[str]
) -> list[Fault]:
    """Draw the faults of kinds that only some seeds have."""
    apart, has_them, (fewest, most), lasting = _APART[name]
    drawn = [kind for kind in kinds if kind in apart]
    # Seeds that are drawn from such kinds alone all have them.
    has_any = has_them(seed) or len(drawn) == len(kinds)
    if not drawn or not has_any or seconds <= FIRST_FAULT_SECONDS:
        return []
    source = random.Random(f'{name} {seed}')
    return [
        Fault(
            source.choice(drawn),
            round(source.uniform(FIRST_FAULT_SECONDS, seconds), 2),
            round(source.uniform(*lasting), 2) if lasting else 0.0,
            source.random(),
        )
        for _ in range(source.randint(fewest, most))
    ]
