"""A command that is understood and not yet run.

Fire calls a command before it has looked at all arguments, so that a mistyped
flag would be reported after the command took effect. Commands therefore
return a plan, which main.py runs once every argument was understood.
"""

import functools
import typing

from auburnroad_client import output

Run = typing.Callable[..., typing.Awaitable[output.Report]]


class Plan:
    """A command with its arguments."""

    # Nothing public: Fire would take a member for a further command.
    __slots__ = ('_run',)

    def __init__(self, run: Run, *args: typing.Any):
        self._run = functools.partial(run, *args)


async def execute(plan: Plan) -> output.Report:
    """Run a command.

    Args:
      plan: The command.

    Returns:
      Its result.
    """
    return await plan._run()
