"""Routing policies that choose the host for a request.

Load reports lag behind the actual load, so requests that this entry sent
after the last report are added to the reported load. Each policy is a pure
function that returns one of the candidates and is registered under its name
in the configuration.
"""

import random
import typing

import msgspec
import xxhash

from auburnroad_core import registry

# Maximum difference between the load of the chosen host and the lowest load,
# in outstanding requests per slot.
IDLE_LOAD_SLACK = 0.25
QUEUED_LOAD_SLACK = 0.125
PREFIX_BYTES = 256


class Candidate(msgspec.Struct, frozen=True):
    """A host that can be chosen for a request.

    Attributes:
      host: Name of the host.
      failure_domain: Failure domain of the host.
      slots: Requests that the host's ready replicas of the service run
        concurrently.
      outstanding: Estimated number of requests that run or wait on the host.
      sent: Requests of this entry on the host that are not answered yet.
    """

    host: str
    failure_domain: str
    slots: int
    outstanding: int
    sent: int

    @property
    def load(self) -> float:
        """Outstanding requests per slot."""
        return self.outstanding / max(self.slots, 1)


class RoutingContext(msgspec.Struct, frozen=True):
    """Input of a policy besides the candidates.

    Attributes:
      affinity_key: Hash of the prompt's prefix, or zero without a prompt.
      failure_domain: Failure domain of the entry.
      turn: Number of requests that the entry has routed, for round robin.
    """

    affinity_key: int
    failure_domain: str
    turn: int


Policy = typing.Callable[
    [list[Candidate], RoutingContext, random.Random], Candidate
]
POLICIES: registry.Registry[Policy] = registry.Registry('routing policy')


def hash_prefix(prompt: bytes) -> int:
    """Hash the first PREFIX_BYTES bytes of a prompt.

    Prompts with the same prefix get the same hash and prefer the same host.

    Args:
      prompt: The encoded prompt.

    Returns:
      A 64-bit hash.
    """
    return xxhash.xxh3_64_intdigest(prompt[:PREFIX_BYTES])


@POLICIES.register('random')
def choose_random(candidates, context, rng) -> Candidate:
    """Choose a host uniformly at random; used as a baseline."""
    return rng.choice(candidates)


@POLICIES.register('round-robin')
def choose_round_robin(candidates, context, rng) -> Candidate:
    """Choose the hosts in rotation; used as a baseline."""
    return candidates[context.turn % len(candidates)]


@POLICIES.register('least-outstanding')
def choose_least_outstanding(candidates, context, rng) -> Candidate:
    """Choose the host with the fewest sent requests per slot (baseline)."""
    return min(candidates, key=lambda c: (c.sent / max(c.slots, 1), c.host))


@POLICIES.register('two-choices')
def choose_two_choices(candidates, context, rng) -> Candidate:
    """Choose the less loaded of two random hosts; used as a baseline."""
    pair = rng.sample(candidates, min(2, len(candidates)))
    return min(pair, key=lambda c: c.load)


@POLICIES.register('affinity')
def choose_affinity(candidates, context, rng) -> Candidate:
    """Send prompts with equal prefixes to one host unless it is overloaded.

    Hosts are ranked by rendezvous hashing of the prefix. The policy chooses
    the highest-ranked host whose load exceeds the lowest load by at most a
    slack. The slack is smaller for a host without an idle slot, since waiting
    in a queue costs more time than a cached prefix saves.
    """
    lowest_load = min(c.load for c in candidates)
    eligible = [
        c for c in candidates if c.load <= lowest_load + _get_load_slack(c)
    ]
    if not context.affinity_key:
        return min(eligible, key=lambda c: (c.load, rng.random()))
    return max(
        eligible, key=lambda c: _rank_host(c.host, context.affinity_key)
    )


def _get_load_slack(candidate: Candidate) -> float:
    idle = candidate.outstanding < candidate.slots
    return IDLE_LOAD_SLACK if idle else QUEUED_LOAD_SLACK


def _rank_host(host: str, key: int) -> int:
    return xxhash.xxh3_64_intdigest(host.encode(), seed=key)
