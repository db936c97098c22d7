"""A parsed command that has not run yet.

Fire calls a command before it has parsed all arguments, so a mistyped flag
would be reported only after the command took effect. Commands therefore
return a plan, which main.py executes after all arguments were parsed.
"""

import functools
import typing

from auburnroad_client import output

Run = typing.Callable[..., typing.Awaitable[output.Report]]


class Plan:
    """A command with its arguments."""

    # No public members, since Fire would expose them as subcommands.
    __slots__ = ('_run',)

    def __init__(self, run: Run, *args: typing.Any):
        self._run = functools.partial(run, *args)


async def execute(plan: Plan) -> output.Report:
    """Run the command of a plan.

    Args:
      plan: Command with its arguments.

    Returns:
      The result of the command.
    """
    return await plan._run()
