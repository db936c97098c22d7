"""A replica on this host: its target, running requests and versions."""

from auburnroad_core.http import client
from auburnroad_core.settings import daemon
from auburnroad_daemon.connection import engine
from auburnroad_daemon.connection import http_engine
from auburnroad_daemon.connection import plain
from auburnroad_daemon.connection import target_health

NO_VERSION = -1


class Replica:
    """State of one replica.

    Only the client that matches the kind of the service is used.

    Attributes:
      settings: Settings of the replica.
      engine: Client for a replica of a model service.
      plain: Client for a replica of a plain service.
      health: Health of the target, derived from probes and requests.
      running: Ids of the requests that run on the replica.
      versions: Weight version by model, as last reported.
    """

    __slots__ = (
        'settings',
        'engine',
        'plain',
        'health',
        'running',
        'versions',
        '_version_reported_ms',
        '_load_reported_ms',
        '_engine_slots',
    )

    def __init__(
        self,
        settings: daemon.Replica,
        model_engine: engine.Engine,
        plain_target: plain.PlainTarget,
    ):
        self.settings = settings
        self.engine = model_engine
        self.plain = plain_target
        self.health = target_health.TargetHealth()
        self.running: set[str] = set()
        self.versions: dict[str, int] = {}
        self._version_reported_ms: dict[str, int] = {}
        self._load_reported_ms = 0
        self._engine_slots = 0

    @property
    def name(self) -> str:
        """Name of the replica."""
        return self.settings.name

    @property
    def service(self) -> str:
        """Name of the service that the replica provides."""
        return self.settings.service

    def has_free_slot(self, slots: int) -> bool:
        """Tell whether the replica can run one more request.

        Args:
          slots: Configured number of concurrent requests.

        Returns:
          True if the replica is up and below its limit, which is one request
          while its health is half-open.
        """
        if not self.health.up:
            return False
        limit = 1 if self.health.half_open else self.count_slots(slots)
        return len(self.running) < limit

    def count_slots(self, slots: int) -> int:
        """Count the requests that the replica runs concurrently.

        Args:
          slots: Configured number of concurrent requests.

        Returns:
          The configured number, or the engine's batch size if that is lower:
          further requests would only wait in the engine's queue.
        """
        return min(slots, self._engine_slots) if self._engine_slots else slots

    def get_version(self, model: str) -> int:
        """Get the weight version that the replica serves.

        Args:
          model: Name of the model or adapter.

        Returns:
          The version as last reported, or NO_VERSION if there was no report.
        """
        return self.versions.get(model, NO_VERSION)

    def record_version(self, model: str, version: int, at_ms: int) -> None:
        """Record a weight version that the engine reported.

        Args:
          model: Name of the model or adapter.
          version: The version; it may be lower than before if the engine
            crashed.
          at_ms: Time of the report in Unix milliseconds; a report that is
            older than the recorded version is ignored.
        """
        if at_ms >= self._version_reported_ms.get(model, 0):
            self.versions[model] = version
            self._version_reported_ms[model] = at_ms

    def record_load(self, load: engine.EngineLoad) -> None:
        """Record a load report of the engine.

        Args:
          load: The report. A report with an earlier time than the previous
            report comes from a restarted engine, so it clears the versions.
        """
        if load.at_ms < self._load_reported_ms:
            self.versions.clear()
            self._version_reported_ms.clear()
        self._load_reported_ms = load.at_ms
        self._engine_slots = load.slots
        for model, version in load.versions.items():
            self.record_version(model, version, load.at_ms)

    def remove_version(self, model: str) -> None:
        """Record that the engine has not loaded a model.

        Args:
          model: Name of the model or adapter.
        """
        self.versions.pop(model, None)


def build_replica(
    settings: daemon.Replica, http_client: client.HttpClient
) -> Replica:
    """Build a replica whose target is called over HTTP.

    Args:
      settings: Settings of the replica.
      http_client: HTTP client for the calls.

    Returns:
      The replica, which counts as down until its first successful probe.
    """
    return Replica(
        settings,
        http_engine.HttpEngine(settings.address, http_client),
        plain.PlainTarget(settings.address, http_client),
    )
