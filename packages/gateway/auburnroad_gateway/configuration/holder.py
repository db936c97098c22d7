"""Holds the configuration in force and the announced weight versions."""

from auburnroad_gateway import adapter as adapters

from auburnroad_gateway.accounts import registry as registries
from auburnroad_gateway.configuration import route_table
from auburnroad_gateway.log import service
from auburnroad_gateway.model import batch
from auburnroad_gateway.model import configuration
from auburnroad_gateway.telemetry import events
from auburnroad_gateway.telemetry import metrics


class ConfigurationHolder:
    """Applies records of operators and trainers.

    Revisions and versions only increase: older records are ignored.

    Attributes:
      announced_versions: Newest announced weight version by model.
    """

    __slots__ = (
        'announced_versions',
        '_adapter',
        '_current',
        '_listeners',
        '_registry',
        '_routes',
    )

    def __init__(self, adapter: adapters.Adapter):
        self._current: configuration.Configuration | None = None
        self._routes = route_table.RouteTable()
        self._registry: registries.AccountRegistry | None = None
        self.announced_versions: dict[str, int] = {}
        self._adapter = adapter
        self._listeners = []

    @property
    def current(self) -> configuration.Configuration | None:
        """Configuration in force; None before the first one was read."""
        return self._current

    @current.setter
    def current(self, new: configuration.Configuration | None) -> None:
        self._registry = registries.AccountRegistry(new) if new else None
        self._current = new
        self._routes = route_table.RouteTable(new.routes if new else ())

    @property
    def registry(self) -> registries.AccountRegistry | None:
        """Accounts of the configuration in force; None before the first."""
        return self._registry

    @property
    def has_accounts(self) -> bool:
        """Whether the configuration in force has accounts."""
        return self._registry is not None and self._registry.has_accounts

    def find_route(
        self, submission: batch.Submission
    ) -> configuration.Route | None:
        """Find the route of a batch; None if no route matches."""
        return self.match_route(submission.host, submission.path)

    def match_route(self, host: str, path: str) -> configuration.Route | None:
        """Find the route of a request; None if no route matches.

        Args:
          host: Value of the Host header.
          path: Path without the query.
        """
        return self._routes.match(host, path)

    def find_account(self, state) -> str | None:
        """Find the name of the account under which a batch's items run.

        Args:
          state: State of the batch.

        Returns:
          Name of the account; empty if the batch has none, None if the
          deployment has no accounts either.
        """
        return state.account or ('' if self.has_accounts else None)

    def on_change(self, listener) -> None:
        """Call a function after each change of configuration or versions.

        Args:
          listener: Function without arguments.
        """
        self._listeners.append(listener)

    def apply(self, record: service.KeyedRecord) -> None:
        """Apply a record of the log; log and ignore an invalid one."""
        if not record.value:
            return
        try:
            decoded = self._adapter.decode_operator_record(record)
        except adapters.InvalidMessageError as error:
            self._write_invalid(record, error)
            return
        if isinstance(decoded, configuration.Configuration):
            self._put_configuration(decoded, record)
        elif decoded is not None:
            self._put_version(*decoded)

    def _put_configuration(
        self, new: configuration.Configuration, record: service.KeyedRecord
    ) -> None:
        if self.current and new.revision <= self.current.revision:
            return
        try:
            self.current = new
        except registries.InvalidAccountsError as error:
            self._write_invalid(record, error)
            return
        events.write('configuration_in_force', revision=new.revision)
        self._notify()

    def _put_version(self, model: str, version: int) -> None:
        if version <= self.announced_versions.get(model, 0):
            return
        self.announced_versions[model] = version
        events.write('version_named', model=model, version=version)
        self._notify()

    def _write_invalid(self, record: service.KeyedRecord, error) -> None:
        metrics.INVALID_RECORDS.labels(self._adapter.operator_topic).inc()
        events.write(
            'operator_record_invalid',
            key=record.key,
            offset=record.offset,
            error=str(error),
        )

    def _notify(self) -> None:
        for listener in self._listeners:
            listener()
