"""The configuration in force; its revision only ever goes up."""

import typing

from auburnroad_daemon.version import side_configuration


class ConfigurationHolder(side_configuration.SideConfiguration):
    """The highest revision seen, with listeners."""

    __slots__ = ('_listeners',)

    def __init__(self):
        super().__init__()
        self._listeners = []

    def on_change(self, listener: typing.Callable[[], None]) -> None:
        """Call a function after a higher revision came into force."""
        self._listeners.append(listener)

    def apply(self, message) -> bool:
        """Put a configuration in force if its revision is higher."""
        changed = super().apply(message)
        for listener in self._listeners if changed else ():
            listener()
        return changed
