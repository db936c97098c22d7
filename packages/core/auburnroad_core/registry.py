"""Registries that decorators fill, for behaviour that varies by name.

A policy, a message handler or a scenario step registers itself under the
name that configuration or scripts use, so that adding one touches one file.
"""

import typing

from auburnroad_core import errors

Value = typing.TypeVar('Value')


class UnknownNameError(errors.AuburnroadError):
    """A name that nothing was registered under."""


class Registry(typing.Generic[Value]):
    """A mapping from name to implementation, filled by a decorator."""

    __slots__ = ('_kind', '_values')

    def __init__(self, kind: str):
        self._kind = kind
        self._values: dict[str, Value] = {}

    @property
    def names(self) -> list[str]:
        """All registered names, sorted."""
        return sorted(self._values)

    def register(self, name: str) -> typing.Callable[[Value], Value]:
        """Return a decorator that registers its subject under a name.

        Args:
          name: The name that configuration uses.

        Returns:
          A decorator that returns its subject unchanged.

        Raises:
          ValueError: If the name is taken, which is a programming error.
        """

        def decorate(value: Value) -> Value:
            if name in self._values:
                raise ValueError(f'{self._kind} {name!r} is registered twice')
            self._values[name] = value
            return value

        return decorate

    def get(self, name: str) -> Value:
        """Find what is registered under a name.

        Args:
          name: The name that configuration uses.

        Returns:
          The registered value.

        Raises:
          UnknownNameError: If there is none; the message lists the names.
        """
        try:
            return self._values[name]
        except KeyError:
            raise UnknownNameError(
                f'unknown {self._kind} {name!r}; one of: '
                + ', '.join(self.names)
            ) from None
