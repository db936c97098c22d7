"""One replica on this host: its target, its work and its versions."""

from auburnroad_core.http import client
from auburnroad_core.settings import daemon
from auburnroad_daemon.connection import engine
from auburnroad_daemon.connection import http_engine
from auburnroad_daemon.connection import plain
from auburnroad_daemon.connection import target_health

NO_VERSION = -1


class Replica:
    """State of one replica; exactly one of its two targets is used."""

    __slots__ = (
        'settings',
        'engine',
        'plain',
        'health',
        'running',
        'versions',
        '_noted_ms',
        '_load_ms',
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
        self._noted_ms: dict[str, int] = {}
        self._load_ms = 0
        self._engine_slots = 0

    @property
    def name(self) -> str:
        """Replica's name."""
        return self.settings.name

    @property
    def service(self) -> str:
        """Service that it provides."""
        return self.settings.service

    def has_free_slot(self, slots: int) -> bool:
        """Tell whether it takes one more request.

        Args:
          slots: Requests that it takes at a time.

        Returns:
          True when it is up and has room.
        """
        if not self.health.up:
            return False
        limit = 1 if self.health.on_trial else self.count_slots(slots)
        return len(self.running) < limit

    def count_slots(self, slots: int) -> int:
        """Count the requests that it takes at a time.

        Args:
          slots: Requests as configured.

        Returns:
          That number, or the engine's own where that is lower: more would
          only wait in the engine.
        """
        return min(slots, self._engine_slots) if self._engine_slots else slots

    def get_version(self, model: str) -> int:
        """Find the weight version that it serves.

        Args:
          model: Model's or adapter's name.

        Returns:
          The version as last reported, -1 when none was.
        """
        return self.versions.get(model, NO_VERSION)

    def note_version(self, model: str, version: int, at_ms: int) -> None:
        """Note a weight version that the engine reported.

        Args:
          model: Model's or adapter's name.
          version: The version, which may be lower than before after a crash
            of the engine.
          at_ms: Unix milliseconds of the report; one that is older than what
            is known is passed over.
        """
        if at_ms >= self._noted_ms.get(model, 0):
            self.versions[model] = version
            self._noted_ms[model] = at_ms

    def note_load(self, load: engine.EngineLoad) -> None:
        """Note what the engine says of itself, some time ago.

        Args:
          load: Its report. One that is older than the report before it comes
            from an engine that was started anew.
        """
        if load.at_ms < self._load_ms:
            self.versions.clear()
            self._noted_ms.clear()
        self._load_ms = load.at_ms
        self._engine_slots = load.slots
        for model, version in load.versions.items():
            self.note_version(model, version, load.at_ms)

    def forget_version(self, model: str) -> None:
        """Note that the engine does not have a model.

        Args:
          model: Model's or adapter's name.
        """
        self.versions.pop(model, None)


def build_replica(
    settings: daemon.Replica, http_client: client.HttpClient
) -> Replica:
    """Build a replica whose targets are reached over HTTP.

    Args:
      settings: The replica's settings.
      http_client: Client for its connections.

    Returns:
      The replica, not probed yet.
    """
    return Replica(
        settings,
        http_engine.HttpEngine(settings.address, http_client),
        plain.PlainTarget(settings.address, http_client),
    )
