"""Records of batches in the log, and how contents are packed in them.

All records of a batch lie in one partition, so that every gateway folds them
in the same order: the position of a result is its order in the log.
"""

import zlib

import msgspec
import xxhash

from auburnroad_gateway.model import batch

TOPIC = 'batches'
# Texts of results in large deployments, where not every gateway can read
# everything; partitions are numbered as those of TOPIC.
TEXTS_TOPIC = 'texts'
# Enough that appends of 3 ms carry the largest deployment's batches, few
# enough that following all of them costs little.
PARTITIONS = 4
# Batches are compressed while their trainer waits: speed goes first.
COMPRESSION_LEVEL = 1
# Room for the fields of a record beside its data.
RECORD_HEAD_BYTES = 1024


class SubmissionPart(msgspec.Struct, frozen=True, array_like=True, tag='s'):
    """A part of a submitted batch; it exists once all parts are there.

    Attributes:
      batch_id: The batch.
      attempt: Names one submission, since the same batch may come twice.
      part: Number of this part, from zero.
      parts: Number of parts.
      owner: Incarnation that runs the batch.
      submitted_ms: Unix milliseconds of the submission.
      data: Compressed msgpack of the batch.Submission, or a piece of it.
      items: Number of its items.
    """

    batch_id: str
    attempt: str
    part: int
    parts: int
    owner: str
    submitted_ms: int
    data: bytes
    items: int


class Results(msgspec.Struct, frozen=True, array_like=True, tag='r'):
    """Results of items; the first one of an item counts."""

    batch_id: str
    results: list[batch.ItemResult]


class Progress(msgspec.Struct, frozen=True, array_like=True, tag='p'):
    """What an item has gained, for whoever goes on with it.

    Attributes:
      batch_id: The batch.
      index: The item's index.
      after: Id of the event that this text follows, -1 for the first.
      last_event: Id of the last event of this text, -1 for none.
      text: Packed text of the events between.
      versions: Weight versions of all the text up to here.
      failures: Answers that count as a failed run.
    """

    batch_id: str
    index: int
    after: int
    last_event: int
    text: bytes
    versions: list[int]
    failures: int


class End(msgspec.Struct, frozen=True, array_like=True, tag='e'):
    """Nothing more of a batch is wanted."""

    batch_id: str


class Claim(msgspec.Struct, frozen=True, array_like=True, tag='c'):
    """Another gateway takes a batch over.

    Attributes:
      batch_id: The batch.
      owner: Incarnation that takes it.
      previous: Incarnation that it is taken from; the claim has no effect
        if the owner is another one by then.
    """

    batch_id: str
    owner: str
    previous: str


Record = SubmissionPart | Results | Progress | End | Claim

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Record)
_SUBMISSIONS = msgspec.msgpack.Decoder(batch.Submission)


def encode(record: Record) -> bytes:
    """Encode a record."""
    return _ENCODER.encode(record)


def decode(data: bytes) -> Record:
    """Decode a record.

    Raises:
      msgspec.DecodeError: If it isn't one.
    """
    return _DECODER.decode(data)


def find_partition(batch_id: str) -> int:
    """Find the partition of a batch's records."""
    return xxhash.xxh64_intdigest(batch_id.encode()) % PARTITIONS


def pack_text(text: str) -> bytes:
    """Compress a text."""
    return zlib.compress(text.encode(), COMPRESSION_LEVEL)


def unpack_text(data: bytes) -> str:
    """Undo pack_text."""
    return zlib.decompress(data).decode()


def pack_submission(submission: batch.Submission) -> bytes:
    """Compress a batch."""
    return zlib.compress(_ENCODER.encode(submission), COMPRESSION_LEVEL)


def unpack_submission(data: bytes) -> batch.Submission:
    """Undo pack_submission."""
    return _SUBMISSIONS.decode(zlib.decompress(data))


def build_submission_records(
    submission: batch.Submission,
    attempt: str,
    owner: str,
    submitted_ms: int,
    record_bytes: int,
) -> list[bytes]:
    """Build the records of a submitted batch.

    Args:
      submission: The batch.
      attempt: Names this submission.
      owner: Incarnation that runs it.
      submitted_ms: Unix milliseconds.
      record_bytes: Most bytes of a record.

    Returns:
      Encoded records, in order.
    """
    data = pack_submission(submission)
    room = record_bytes - RECORD_HEAD_BYTES
    pieces = [
        data[start : start + room] for start in range(0, len(data), room)
    ]
    return [
        encode(
            SubmissionPart(
                submission.batch_id,
                attempt,
                number,
                len(pieces),
                owner,
                submitted_ms,
                piece,
                len(submission.items),
            )
        )
        for number, piece in enumerate(pieces)
    ]
