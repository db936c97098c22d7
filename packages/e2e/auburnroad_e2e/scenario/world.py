"""What a running scenario knows, and the registries of its language.

Every sentence of the grammar has an implementation in one of the registries,
under the name of its rule. An implementation gets the world and the phrase's
arguments.
"""

import pathlib
import random
import time
import typing

import msgspec

from auburnroad_core import clock
from auburnroad_core import errors
from auburnroad_core.http import client
from auburnroad_core import registry
from auburnroad_e2e import book_types
from auburnroad_e2e import cluster as clusters
from auburnroad_e2e.scenario import script

Step = typing.Callable[..., typing.Awaitable[None]]
Condition = typing.Callable[..., typing.Awaitable[bool]]

STEPS: registry.Registry[Step] = registry.Registry('sentence')
CONDITIONS: registry.Registry[Condition] = registry.Registry('condition')
CLAIMS: registry.Registry[Step] = registry.Registry('claim')
REFERENCES: registry.Registry = registry.Registry('process')
LINKS: registry.Registry = registry.Registry('link')

STOP_SECONDS = 40.0


class ScenarioError(errors.AuburnroadError):
    """A scenario whose condition or claim does not hold."""


class World:
    """The state of one running scenario.

    Attributes:
      cluster: The deployment, once it is started.
      random: Source of all choices.
      seed: Seed of the users' choices.
      users: Names of trainers and callers that were started.
      excused: Addresses of entries that were killed on purpose.
      left_at_ms: Unix milliseconds at which hosts were told to leave.
      revision: Revision of the last accepted change.
      statuses: Exit statuses of operators that raced, by name.
      marks: Counts noted when a condition was first looked at.
      notes: Faults that were chosen, in order.
      killed_at_ms: Unix milliseconds at which daemons were killed.
    """

    __slots__ = (
        '_cluster',
        'directory',
        'random',
        'seed',
        'users',
        'excused',
        'left_at_ms',
        'revision',
        'statuses',
        'marks',
        'notes',
        'killed_at_ms',
    )

    def __init__(self, directory: pathlib.Path, seed: int):
        self._cluster: clusters.Cluster | None = None
        self.directory = directory
        self.random = random.Random(seed)
        self.seed = seed
        self.users: list[str] = []
        self.excused: set[str] = set()
        self.left_at_ms: dict[str, int] = {}
        self.revision = 0
        self.statuses: dict[str, int] = {}
        self.marks: dict[object, int] = {}
        self.notes: list[str] = []
        self.killed_at_ms: list[int] = []

    @property
    def cluster(self) -> clusters.Cluster:
        """The deployment.

        Raises:
          ScenarioError: If none was started.
        """
        if self._cluster is None:
            raise ScenarioError('no deployment was started')
        return self._cluster

    @cluster.setter
    def cluster(self, cluster: clusters.Cluster) -> None:
        self._cluster = cluster

    async def find(self, phrase: script.Phrase) -> str:
        """Find the process that a phrase speaks of.

        Args:
          phrase: A process of the grammar.

        Returns:
          The process's name.
        """
        return await REFERENCES.get(phrase.name)(self, *phrase.arguments)

    async def ask_status(self, name: str) -> dict:
        """Ask a daemon for its status.

        Args:
          name: Daemon's name.

        Returns:
          The status, empty when it does not answer.
        """
        if not self.cluster.processes[name].responsive:
            return {}
        try:
            response = await self.cluster.get(name, '/status')
        except client.HttpError:
            return {}
        return msgspec.json.decode(response.body)

    def note(self, fault: str) -> None:
        """Note a fault that was chosen, for the report of a failure."""
        self.notes.append(fault)

    def note_kill(self, name: str) -> None:
        """Note when a daemon was killed, to measure the recovery."""
        if name in [settings.name for settings in self.cluster.daemons]:
            self.killed_at_ms.append(clock.time_now_ms())

    async def end_users(self) -> None:
        """Let the users end what they began, and wait for them.

        Raises:
          ScenarioError: If one of them doesn't end.
        """
        for name in self.users:
            self.cluster.processes[name].terminate()
        for name in self.users:
            await self.wait_user(name, STOP_SECONDS)

    async def wait_user(self, name: str, seconds: float) -> None:
        """Wait until a user has ended without an error.

        Args:
          name: Name of a trainer or of callers.
          seconds: How long to wait.

        Raises:
          ScenarioError: If it doesn't end, or ends with an error.
        """
        status = await self.cluster.processes[name].wait(seconds)
        if status != 0:
            log = self.cluster.processes[name].read_log()[-300:]
            raise ScenarioError(f'{name} ended with status {status}: {log}')

    def close(self) -> typing.Awaitable[None]:
        """End every process of the scenario."""
        return self._cluster.close() if self._cluster else _do_nothing()


async def _do_nothing() -> None:
    pass


def list_daemons(world: World, role: str) -> list[str]:
    """List the daemons of a role.

    Args:
      world: The scenario.
      role: 'entry' or 'side'.

    Returns:
      Their names.
    """
    return [d.name for d in world.cluster.daemons if d.role == role]


def read_clock() -> float:
    """Read a clock that only goes forward, in seconds."""
    return time.monotonic()


def count_events(events: list[book_types.Event], name: str) -> int:
    """Count the events of one name."""
    return sum(event['event'] == name for event in events)
