"""What the gateway needs of the platform's log service.

An append fails in two ways that must not be mixed up: refused (nothing was
appended) and lost (sent, but the answer is missing). A producer's sequence
number makes it safe to send a lost append once more.
"""

import typing

import msgspec

from auburnroad_core import errors

# Topics with this prefix keep the newest record of each key for good; their
# records are built by encode_keyed.
KEYED_PREFIX = 'keyed.'
# Most bytes of one read: a megabyte, as the log service gives at most.
READ_BYTES = 1 << 20


class LogError(errors.AuburnroadError):
    """Base of the log service's failures."""


class LogRefusedError(LogError):
    """The call was not carried out: the service is down or overloaded."""


class LogLostError(LogError):
    """The call was sent and got no answer: carried out or not is unknown."""


class LogConflictError(LogError):
    """The partition's end or the producer's sequence is another one."""


class LogTrimmedError(LogError):
    """The records asked for have been deleted."""

    def __init__(self, first_offset: int):
        super().__init__(f'records before {first_offset} are deleted')
        self.first_offset = first_offset


class Producer(msgspec.Struct, frozen=True, array_like=True):
    """Identity of an append, by which a repeated one has no effect.

    Attributes:
      name: Writer's name, unique for each start of a process.
      epoch: An append of a lower epoch is refused.
      sequence: Follows the last one of the same epoch and partition.
    """

    name: str
    epoch: int
    sequence: int


class Slice(msgspec.Struct, frozen=True, array_like=True):
    """Records read from a partition.

    Attributes:
      end: Offset after the newest record of the partition.
      records: Consecutive records from the offset asked for.
    """

    end: int
    records: list[bytes]


class KeyedRecord(msgspec.Struct, frozen=True, array_like=True):
    """The newest record of a key.

    Attributes:
      key: Key's name.
      value: Its bytes; empty if the key was dropped.
      offset: Offset of the record.
    """

    key: str
    value: bytes
    offset: int


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """The newest records of a keyed topic.

    Attributes:
      records: One for each key.
      next_offset: Reading on from here misses no change after the snapshot.
    """

    records: list[KeyedRecord]
    next_offset: int


class LogService(typing.Protocol):
    """Calls of the log service; each has an upper time limit of its own."""

    def set_address(self, address: str) -> None:
        """Use another 'IP number:port' from the next call on."""

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
          The offset of the first one.

        Raises:
          LogRefusedError: If nothing was appended.
          LogLostError: If that is unknown.
          LogConflictError: If the partition's end isn't the expected one or
            the producer's sequence number doesn't follow.
        """

    async def read(
        self,
        topic: str,
        partition: int,
        from_offset: int,
        wait_ms: int,
        most_bytes: int = READ_BYTES,
    ) -> Slice:
        """Read records, waiting for one if there is none.

        At least one record is returned if there is one, and no further ones
        beyond most_bytes.

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


def encode_keyed(key: str, value: bytes) -> bytes:
    """Encode a record of a keyed topic.

    Args:
      key: At most 255 bytes in UTF-8.
      value: Its bytes; empty to drop the key.

    Returns:
      The record.
    """
    name = key.encode()
    return bytes([len(name)]) + name + value


def decode_keyed(record: bytes) -> tuple[str, bytes] | None:
    """Decode a record of a keyed topic.

    Args:
      record: As it was read.

    Returns:
      Key and value; None if it isn't a keyed record.
    """
    if not record or len(record) < 1 + record[0]:
        return None
    end = 1 + record[0]
    try:
        return record[1:end].decode(), record[end:]
    except UnicodeDecodeError:
        return None
