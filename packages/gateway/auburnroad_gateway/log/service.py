"""Interface of the platform's log service as the gateway uses it.

An append fails in two ways that must not be confused: refused, if nothing was
appended, and lost, if the call was sent but has no response. A producer's
sequence number makes it safe to retry a lost append.
"""

import typing

import msgspec

from auburnroad_core import errors

# Topics with this prefix retain the newest record of each key forever; their
# records are built by encode_keyed.
KEYED_PREFIX = 'keyed.'
# Maximum size of one read: one megabyte, the limit of the log service.
MAX_READ_BYTES = 1 << 20
# Size of the length that precedes each record in an append.
LENGTH_PREFIX_BYTES = 4
# Connections to the log service and to relaying peers are reused only within
# this time: all of them may go silent at once, and a call that meets a silent
# one fails after more than a second.
MAX_IDLE_SECONDS = 1.0


class LogError(errors.AuburnroadError):
    """Base class of the errors of the log service."""


class LogRefusedError(LogError):
    """The call was not carried out: the service is down or overloaded."""


class LogLostError(LogError):
    """The call was sent and got no response; it may have been carried out."""


class LogConflictError(LogError):
    """The partition's end or the producer's sequence is not as expected."""


class LogTooLargeError(LogError):
    """Records that no call can carry, since they exceed its maximum size."""


class LogTrimmedError(LogError):
    """The requested records have been deleted.

    Attributes:
      first_offset: Offset of the first record that still exists.
    """

    def __init__(self, first_offset: int):
        super().__init__(f'records before {first_offset} are deleted')
        self.first_offset = first_offset


class Producer(msgspec.Struct, frozen=True, array_like=True):
    """Identity of an append, which makes its retries idempotent.

    Attributes:
      name: Name of the writer, unique for each start of a process.
      epoch: Epoch of the writer; appends of a lower epoch are refused.
      sequence: Sequence number; increases by 1 with each append of the same
        epoch to the same partition.
    """

    name: str
    epoch: int
    sequence: int


class Slice(msgspec.Struct, frozen=True, array_like=True):
    """Records read from a partition.

    Attributes:
      end: Offset after the newest record of the partition.
      records: Consecutive records from the requested offset.
    """

    end: int
    records: list[bytes]


class KeyedRecord(msgspec.Struct, frozen=True, array_like=True):
    """The newest record of a key.

    Attributes:
      key: Name of the key.
      value: Value in bytes; empty if the key was dropped.
      offset: Offset of the record.
    """

    key: str
    value: bytes
    offset: int


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """The newest records of a keyed topic.

    Attributes:
      records: The newest record of each key.
      next_offset: Offset from which reads return every later change.
    """

    records: list[KeyedRecord]
    next_offset: int


class LogService(typing.Protocol):
    """Calls of the log service, each with its own timeout."""

    def set_address(self, address: str) -> None:
        """Use a new address from the next call on.

        Args:
          address: Address as 'IP address:port'.
        """

    def discard_idle_connections(self, before: float) -> None:
        """Close connections that may have gone silent.

        Args:
          before: Loop time in seconds since before which they have been idle.
        """

    async def append(
        self,
        topic: str,
        partition: int,
        records: list[bytes],
        producer: Producer | None = None,
        expected_end: int | None = None,
    ) -> int:
        """Append records, all or none.

        Returns:
          The offset of the first record.

        Raises:
          LogRefusedError: If nothing was appended.
          LogLostError: If the records may have been appended.
          LogConflictError: If the end of the partition is not expected_end,
            or the producer's sequence number is not the next.
        """

    async def read(
        self,
        topic: str,
        partition: int,
        from_offset: int,
        wait_ms: int,
        max_bytes: int = MAX_READ_BYTES,
    ) -> Slice:
        """Read records from an offset.

        Args:
          topic: Topic of the partition.
          partition: Number of the partition.
          from_offset: Offset of the first record to read.
          wait_ms: Milliseconds to wait at most for a record at the offset.
          max_bytes: Maximum total size of the records; a single larger
            record is still returned.

        Returns:
          The records; empty if no record was appended in that time.

        Raises:
          LogError: If the service can't be read.
          LogTrimmedError: If the records have been deleted.
        """

    async def read_newest(self, topic: str) -> Snapshot:
        """Read the newest record of each key of a keyed topic.

        Raises:
          LogError: If the service can't be read.
        """

    async def trim(self, topic: str, partition: int, before: int) -> None:
        """Delete the records before an offset.

        Raises:
          LogError: If the service can't be reached.
        """


def check_not_outdated(end: int, known_end: int) -> None:
    """Check that an answer doesn't show a partition as it was before.

    Args:
      end: End of the partition in the answer.
      known_end: End that an earlier answer has shown.

    Raises:
      LogLostError: If it does.
    """
    if end < known_end:
        raise LogLostError(f'the end is {end} after it was {known_end}')


def measure_records(records: list[bytes]) -> int:
    """Measure records as they count for the maximum size of an append.

    Returns:
      Total size in bytes, with the length prefix of each record.
    """
    return sum(len(record) + LENGTH_PREFIX_BYTES for record in records)


def encode_keyed(key: str, value: bytes) -> bytes:
    """Encode a record of a keyed topic.

    Args:
      key: Name of the key, at most 255 bytes in UTF-8.
      value: Value in bytes; empty to drop the key.

    Returns:
      The record.
    """
    name = key.encode()
    return bytes([len(name)]) + name + value


def decode_keyed(record: bytes) -> tuple[str, bytes] | None:
    """Decode a record of a keyed topic.

    Args:
      record: Bytes of the record.

    Returns:
      Key and value; None if the bytes are not a valid keyed record.
    """
    if not record or len(record) < 1 + record[0]:
        return None
    end = 1 + record[0]
    try:
        return record[1:end].decode(), record[end:]
    except UnicodeDecodeError:
        return None
