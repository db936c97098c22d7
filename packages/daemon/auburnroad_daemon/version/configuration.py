"""The configuration in force at an entry and the operators' host orders.

The revision and the offset of the orders only increase, regardless of the
order in which states arrive from the log or, during a log outage, from a peer.
A daemon that was paused, or that starts while its peers have older state,
can't put an earlier state in force.
"""

import typing

from auburnroad_core.log import configuration_fold
from auburnroad_core.wire import messages
from auburnroad_daemon.process import entry_metrics as metrics
from auburnroad_daemon.version import side_configuration

Listener = typing.Callable[[], None]


class ConfigurationHolder(side_configuration.SideConfiguration):
    """Holds the highest revision and the newest orders; calls listeners."""

    __slots__ = (
        '_listeners',
        '_order_listeners',
        '_draining',
        '_orders_offset',
    )

    def __init__(self):
        super().__init__()
        self._listeners: list[Listener] = []
        self._order_listeners: list[Listener] = []
        self._draining: frozenset[str] = frozenset()
        self._orders_offset = -1

    @property
    def draining(self) -> frozenset[str]:
        """Hosts that operators have ordered to drain."""
        return self._draining

    def on_change(self, listener: Listener) -> None:
        """Register a function to call after a new revision is in force."""
        self._listeners.append(listener)

    def on_orders(self, listener: Listener) -> None:
        """Register a function to call after the draining hosts change."""
        self._order_listeners.append(listener)

    def apply_log(self, state: configuration_fold.State) -> None:
        """Apply the configuration and orders from the log.

        Args:
          state: Folded state of the configuration stream; may be outdated.
        """
        draining = sorted(state.draining)
        message = messages.Configuration(
            state.revision, bytes(state.deployment), draining, state.applied
        )
        self._apply(message, 'log')

    def apply(self, message: messages.Configuration) -> bool:
        """Apply the configuration and orders of a peer if they are newer.

        Args:
          message: A peer's configuration.

        Returns:
          True if the message put a new revision in force.
        """
        return self._apply(message, 'peer')

    def needs_configuration(
        self, message: messages.Hello | messages.Heartbeat
    ) -> bool:
        """Decide whether to send this configuration to a peer.

        A peer's revision doesn't show which orders the peer has, so an entry
        is sent the configuration after each of its Hello messages.

        Args:
          message: Hello or heartbeat of the peer.

        Returns:
          True if the peer may have an older state.
        """
        if message.revision < self.revision:
            return True
        is_entry = isinstance(message, messages.Hello) and (
            message.role == 'entry'
        )
        return is_entry and self._orders_offset >= 0

    def build_message(self) -> messages.Configuration:
        """Build the message with the configuration and the orders."""
        message = super().build_message()
        message.draining = sorted(self._draining)
        message.orders_offset = self._orders_offset
        return message

    def _apply(self, message: messages.Configuration, origin: str) -> bool:
        self._apply_orders(message)
        changed = super().apply(message)
        if changed:
            metrics.CONFIGURATIONS.labels(origin).inc()
            metrics.REVISION.set(self.revision)
        for listener in self._listeners if changed else ():
            listener()
        return changed

    def _apply_orders(self, message: messages.Configuration) -> None:
        if message.orders_offset <= self._orders_offset:
            return
        self._orders_offset = message.orders_offset
        draining = frozenset(message.draining)
        if draining == self._draining:
            return
        metrics.HOST_ORDERS.inc(len(draining ^ self._draining))
        self._draining = draining
        for listener in self._order_listeners:
            listener()
