"""Chooses the host for a request, from what the entry knows of each host.

Load reports lag, so the requests that this entry has sent since a report
count on top of it. Each policy is a pure function from candidates to one of
them, registered under the name that the configuration uses.
"""

import random
import typing

import msgspec
import xxhash

from auburnroad_core import registry

# Outstanding requests for each slot above the least loaded host.
IDLE_SLACK = 0.25
QUEUE_SLACK = 0.125
PREFIX_BYTES = 256


class Candidate(msgspec.Struct, frozen=True):
    """A host that may take a request.

    Attributes:
      host: Host's name.
      failure_domain: Its failure domain.
      slots: Requests that its ready replicas of the service take at a time.
      outstanding: Requests that run or wait there, as estimated now.
      sent: Requests that this entry has sent there and not seen answered.
    """

    host: str
    failure_domain: str
    slots: int
    outstanding: int
    sent: int

    @property
    def load(self) -> float:
        """Outstanding requests for each slot."""
        return self.outstanding / max(self.slots, 1)


class Choice(msgspec.Struct, frozen=True):
    """What a policy may look at besides the candidates.

    Attributes:
      affinity_key: Hash of the prompt's prefix, zero for none.
      failure_domain: Failure domain of the entry.
      turn: How many requests the entry has routed, for round robin.
    """

    affinity_key: int
    failure_domain: str
    turn: int


Policy = typing.Callable[[list[Candidate], Choice, random.Random], Candidate]
POLICIES: registry.Registry[Policy] = registry.Registry('routing policy')


def hash_prefix(prompt: bytes) -> int:
    """Hash the part of a prompt that requests of one context share.

    Args:
      prompt: The prompt in bytes.

    Returns:
      A hash of 64 bits.
    """
    return xxhash.xxh3_64_intdigest(prompt[:PREFIX_BYTES])


@POLICIES.register('random')
def choose_random(candidates, choice, rng) -> Candidate:
    """Choose evenly; a baseline."""
    return rng.choice(candidates)


@POLICIES.register('round-robin')
def choose_round_robin(candidates, choice, rng) -> Candidate:
    """Choose in turn; a baseline."""
    return candidates[choice.turn % len(candidates)]


@POLICIES.register('least-outstanding')
def choose_least_outstanding(candidates, choice, rng) -> Candidate:
    """Choose the host to which this entry has sent least; a baseline."""
    return min(candidates, key=lambda c: (c.sent / max(c.slots, 1), c.host))


@POLICIES.register('two-choices')
def choose_two_choices(candidates, choice, rng) -> Candidate:
    """Choose the less loaded of two random hosts; a baseline."""
    pair = rng.sample(candidates, min(2, len(candidates)))
    return min(pair, key=lambda c: c.load)


@POLICIES.register('affinity')
def choose_affinity(candidates, choice, rng) -> Candidate:
    """Keep one context on one host, as long as that costs no waiting.

    Hosts are ranked by rendezvous hashing of the prefix. The highest one
    whose load is close to the least takes the request: closer when it would
    wait there for a slot than when one is idle, since a cached prefix saves
    less than a turn in the queue costs.
    """
    least = min(c.load for c in candidates)
    close = [c for c in candidates if c.load <= least + _find_slack(c)]
    if not choice.affinity_key:
        return min(close, key=lambda c: (c.load, rng.random()))
    return max(close, key=lambda c: _rank(c.host, choice.affinity_key))


def _find_slack(candidate: Candidate) -> float:
    idle = candidate.outstanding < candidate.slots
    return IDLE_SLACK if idle else QUEUE_SLACK


def _rank(host: str, key: int) -> int:
    return xxhash.xxh3_64_intdigest(host.encode(), seed=key)
