"""Exit codes of the operators' client, and the errors that lead to them.

A script can tell from the code alone what to do next: mend its input, ask
again later, or look at another operator's change.
"""

import enum

from auburnroad_core import errors


class ExitCode(enum.IntEnum):
    """What became of a command; docs/OPERATIONS.md says what to do."""

    OK = 0
    FAILED = 1
    BAD_INPUT = 2
    CONFLICT = 3
    PLATFORM_UNAVAILABLE = 4
    TIMED_OUT = 5
    OUTCOME_UNKNOWN = 6
    NOT_FOUND = 7


class CommandError(errors.AuburnroadError):
    """A command that ends with an exit code of its own.

    Attributes:
      exit_code: Exit code of the process.
      remedy: What the operator can do.
      details: Lines that say more, such as another operator's changes.
    """

    exit_code = ExitCode.FAILED

    def __init__(
        self, message: str, remedy: str = '', details: list[str] | None = None
    ):
        super().__init__(message)
        self.remedy = remedy
        self.details = details or []


class BadInputError(CommandError):
    """The command was called wrongly."""

    exit_code = ExitCode.BAD_INPUT


class ConflictError(CommandError):
    """Another operator's change was in force first."""

    exit_code = ExitCode.CONFLICT


class UnavailableError(CommandError):
    """A service of the platform, or every daemon asked, doesn't answer."""

    exit_code = ExitCode.PLATFORM_UNAVAILABLE


class TimedOutError(CommandError):
    """What was waited for did not come in time."""

    exit_code = ExitCode.TIMED_OUT


class OutcomeUnknownError(CommandError):
    """A record may have been appended; it could not be read back in time."""

    exit_code = ExitCode.OUTCOME_UNKNOWN


class NotFoundError(CommandError):
    """What was asked about is known to nobody who answered."""

    exit_code = ExitCode.NOT_FOUND
