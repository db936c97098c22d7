"""The configuration in force, and the weight versions that are named."""

from auburnroad_gateway import adapter as adapters
from auburnroad_gateway.log import service
from auburnroad_gateway.model import batch
from auburnroad_gateway.model import configuration
from auburnroad_gateway.telemetry import events


class ConfigurationHolder:
    """Takes what operators and trainers write; never goes back.

    Attributes:
      current: The configuration in force, None before the first.
      named_versions: Newest weight version named by model.
    """

    __slots__ = ('current', 'named_versions', '_adapter', '_listeners')

    def __init__(self, adapter: adapters.Adapter):
        self.current: configuration.Configuration | None = None
        self.named_versions: dict[str, int] = {}
        self._adapter = adapter
        self._listeners = []

    def find_route(
        self, submission: batch.Submission
    ) -> configuration.Route | None:
        """Find the route of a batch; None if there is none at present."""
        if self.current is None:
            return None
        return configuration.match_route(
            self.current, submission.host, submission.path
        )

    def on_change(self, listener) -> None:
        """Call a function after anything has changed."""
        self._listeners.append(listener)

    def apply(self, record: service.KeyedRecord) -> None:
        """Take a record; one that can't be read leaves all as it was."""
        if not record.value:
            return
        try:
            decoded = self._adapter.decode_operator_record(record)
        except adapters.InvalidMessageError as error:
            events.write(
                'operator_record_invalid',
                key=record.key,
                offset=record.offset,
                error=str(error),
            )
            return
        if isinstance(decoded, configuration.Configuration):
            self._put_configuration(decoded)
        elif decoded is not None:
            self._put_version(*decoded)

    def _put_configuration(self, new: configuration.Configuration) -> None:
        if self.current and new.revision <= self.current.revision:
            return
        self.current = new
        events.write('configuration_in_force', revision=new.revision)
        self._notify()

    def _put_version(self, model: str, version: int) -> None:
        if version <= self.named_versions.get(model, 0):
            return
        self.named_versions[model] = version
        events.write('version_named', model=model, version=version)
        self._notify()

    def _notify(self) -> None:
        for listener in self._listeners:
            listener()
