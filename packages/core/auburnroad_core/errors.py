"""Error records with source positions, and the base exception classes.

A parser or check that finds an error adds a record and continues, so that an
operator sees all errors of a file at once. Only the outermost caller raises
the collected records as one exception group.
"""

import msgspec


class Source(msgspec.Struct, frozen=True):
    """Position of an error in its source.

    Attributes:
      filename: Name of the file or of the interface, such as 'answers.jsonc'
        or 'POST /v1/completions'.
      line: Line number from 1, zero for a source without lines.
      column: Column number from 1, zero for a source without lines.
    """

    filename: str
    line: int = 0
    column: int = 0

    def __str__(self) -> str:
        if not self.line:
            return self.filename
        return f'{self.filename}:{self.line}:{self.column}'


class ErrorRecord(msgspec.Struct, frozen=True):
    """Description of one error.

    Attributes:
      source: Position of the error.
      field: Path of the field, such as 'trainers[0].staleness_bound'; empty
        for an error without a field.
      message: Description of the error, without a full stop.
      remedy: Suggested correction, or empty.
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
    """Base class of the product's own exceptions."""


class RecordedError(AuburnroadError):
    """Exception that wraps one error record."""

    def __init__(self, record: ErrorRecord):
        super().__init__(str(record))
        self.record = record


class InvalidInputError(ExceptionGroup):
    """Exception group with all error records of one input."""

    def __new__(cls, message: str, records: list[ErrorRecord]):
        """Wrap the records, because a group may contain only exceptions."""
        wrapped = [RecordedError(record) for record in records]
        return super().__new__(cls, message, wrapped)

    def __init__(self, message: str, records: list[ErrorRecord]):
        self.records = list(records)

    def derive(self, excs):
        """Build a group of the same type from some of its exceptions."""
        return InvalidInputError(self.message, [exc.record for exc in excs])


def raise_collected(message: str, records: list[ErrorRecord]) -> None:
    """Raise the collected error records, if there are any.

    Args:
      message: Message of the exception group.
      records: Collected error records.

    Raises:
      InvalidInputError: If there is at least one record.
    """
    if records:
        raise InvalidInputError(message, records)
