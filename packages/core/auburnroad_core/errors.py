"""Typed errors with their source position, collected and shown together.

A reader that finds something wrong appends an error record and goes on, so
that an operator sees every mistake of a file at once. Only the edge that
started the reading turns the collected records into one exception group.
"""

import msgspec


class Source(msgspec.Struct, frozen=True):
    """Where the text that an error speaks of stands.

    Attributes:
      filename: Name of the file or of the interface, such as 'answers.jsonc'
        or 'POST /v1/completions'.
      line: Line number from 1, zero when there are no lines.
      column: Column from 1, zero when there are no lines.
    """

    filename: str
    line: int = 0
    column: int = 0

    def __str__(self) -> str:
        if not self.line:
            return self.filename
        return f'{self.filename}:{self.line}:{self.column}'


class ErrorRecord(msgspec.Struct, frozen=True):
    """One mistake, as data.

    Attributes:
      source: Where it stands.
      field: Path of the field, such as 'trainers[0].staleness_bound'; empty
        when no field is at fault.
      message: What is wrong, in a sentence without its full stop.
      remedy: What to do about it.
    """

    source: Source
    field: str
    message: str
    remedy: str = ''

    def __str__(self) -> str:
        field = f' {self.field}:' if self.field else ''
        remedy = f' ({self.remedy})' if self.remedy else ''
        return f'{self.source}:{field} {self.message}{remedy}'


class AuburnroadError(Exception):
    """Base of every error that the product raises on purpose."""


class RecordedError(AuburnroadError):
    """An error record on its way through the interpreter."""

    def __init__(self, record: ErrorRecord):
        super().__init__(str(record))
        self.record = record


class InvalidInputError(ExceptionGroup):
    """All error records of one input, raised together."""

    def __new__(cls, message: str, records: list[ErrorRecord]):
        """Wrap the records, since a group holds only exceptions."""
        wrapped = [RecordedError(record) for record in records]
        return super().__new__(cls, message, wrapped)

    def __init__(self, message: str, records: list[ErrorRecord]):
        self.records = list(records)

    def derive(self, excs):
        """Build the part of this group that a handler has not taken."""
        return InvalidInputError(self.message, [exc.record for exc in excs])


def raise_collected(message: str, records: list[ErrorRecord]) -> None:
    """Raise the collected records, if there are any.

    Args:
      message: What was being read.
      records: The errors found.

    Raises:
      InvalidInputError: If there is at least one record.
    """
    if records:
        raise InvalidInputError(message, records)
