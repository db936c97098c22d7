"""Registries of implementations by name, filled by a decorator.

A policy, a message handler or a scenario step is registered under the name
that configuration or scripts use, so that adding one changes only one file.
"""

import typing

from auburnroad_core import errors

Value = typing.TypeVar('Value')


class UnknownNameError(errors.AuburnroadError):
    """The name is not registered."""


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
        """Return a decorator that registers a value under a name.

        Args:
          name: Name used in configuration or scripts.

        Returns:
          A decorator that returns the registered value unchanged. It raises
          ValueError for a name that is already registered, which is a
          programming error.
        """

        def decorate(value: Value) -> Value:
            if name in self._values:
                raise ValueError(f'{self._kind} {name!r} is registered twice')
            self._values[name] = value
            return value

        return decorate

    def get(self, name: str) -> Value:
        """Find the value that is registered under a name.

        Args:
          name: Name used in configuration or scripts.

        Returns:
          The registered value.

        Raises:
          UnknownNameError: If the name is not registered; the message lists
            the registered names.
        """
        try:
            return self._values[name]
        except KeyError:
            raise UnknownNameError(
                f'unknown {self._kind} {name!r}; one of: '
                + ', '.join(self.names)
            ) from None
