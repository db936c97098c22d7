"""A gateway as another one observes it, and its rank for work."""

# Processes that started within this time count as equally old. The youngest
# is preferred: in a rolling restart it is not the next to be stopped.
START_BUCKET_MS = 5000
# A host with fewer cores runs batches only if every live host has fewer, since
# all runs of a service are the largest workload that a gateway can have.
PREFERRED_CORES = 1.0
# Starts of a host whose late heartbeats are told from those of its newest one.
MAX_FORMER = 8


class Member:
    """State of a gateway as observed by this gateway.

    Attributes:
      name: Name of the gateway's host.
      heartbeat: Newest heartbeat, a membership.Heartbeat.
      seen_at: Time at which the heartbeat was read, in seconds of the boot
        clock.
      alive: Whether the member is considered alive.
      former: Incarnations of the host before this one, the last few.
    """

    __slots__ = ('name', 'heartbeat', 'seen_at', 'alive', 'former')

    def __init__(
        self, name: str, heartbeat, seen_at: float, former: tuple[str, ...]
    ):
        self.name = name
        self.heartbeat = heartbeat
        self.seen_at = seen_at
        self.alive = True
        self.former = former

    def has_same_state(self, heartbeat) -> bool:
        """Tell whether a heartbeat leaves liveness and identity unchanged."""
        return (
            self.alive
            and self.heartbeat.incarnation == heartbeat.incarnation
            and self.heartbeat.leaving == heartbeat.leaving
        )

    def list_former(self, incarnation: str) -> tuple[str, ...]:
        """List the incarnations that an incarnation has replaced."""
        own = self.heartbeat.incarnation
        if own == incarnation:
            return self.former
        return (*self.former, own)[-MAX_FORMER:]


def build_rank(cores: float, started_ms: int) -> tuple[bool, int]:
    """Build the rank by which members are chosen for work.

    Args:
      cores: Processor capacity of the member, in reference cores.
      started_ms: Start time of the process in Unix milliseconds.

    Returns:
      A rank that is higher for a preferred member: hosts with enough cores
      come first, and among those the processes that started last.
    """
    return cores >= PREFERRED_CORES, started_ms // START_BUCKET_MS
