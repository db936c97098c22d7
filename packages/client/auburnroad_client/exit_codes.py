"""Exit codes of the operators' client and the errors that cause them.

The code alone tells a script how to react: correct its input, retry later, or
review another operator's change.
"""

import enum

from auburnroad_core import errors


class ExitCode(enum.IntEnum):
    """Outcome of a command; docs/OPERATIONS.md describes the reactions."""

    OK = 0
    FAILED = 1
    BAD_INPUT = 2
    CONFLICT = 3
    PLATFORM_UNAVAILABLE = 4
    TIMED_OUT = 5
    OUTCOME_UNKNOWN = 6
    NOT_FOUND = 7


class CommandError(errors.AuburnroadError):
    """Base class of the errors that end a command.

    Attributes:
      exit_code: Exit code of the process.
      remedy: What the operator can do about the error.
      details: Further lines, such as another operator's changes.
    """

    exit_code = ExitCode.FAILED

    def __init__(
        self, message: str, remedy: str = '', details: list[str] | None = None
    ):
        super().__init__(message)
        self.remedy = remedy
        self.details = details or []


class BadInputError(CommandError):
    """The arguments of the command are invalid."""

    exit_code = ExitCode.BAD_INPUT


class ConflictError(CommandError):
    """Another operator's change came into force first."""

    exit_code = ExitCode.CONFLICT


class UnavailableError(CommandError):
    """A service of the platform, or every daemon queried, doesn't answer."""

    exit_code = ExitCode.PLATFORM_UNAVAILABLE


class TimedOutError(CommandError):
    """The state that a command waits for was not reached in time."""

    exit_code = ExitCode.TIMED_OUT


class OutcomeUnknownError(CommandError):
    """A record may have been appended but could not be read back in time."""

    exit_code = ExitCode.OUTCOME_UNKNOWN


class NotFoundError(CommandError):
    """No daemon, log service or file has the requested object."""

    exit_code = ExitCode.NOT_FOUND
