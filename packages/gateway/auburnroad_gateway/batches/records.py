"""Records of batches in the log, and how contents are packed in them.

All records of a batch lie in one partition, so that every gateway folds them
in the same order: the position of a result is its order in the log.
"""

import zlib

import msgspec
import xxhash

from auburnroad_gateway.model import batch

TOPIC = 'batches'
# Texts and bodies in large deployments, where not every gateway can read
# everything; partitions are numbered as those of TOPIC.
CONTENTS_TOPIC = 'contents'
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
      bodies: Where the items' bodies lie if they aren't in the data: pieces
        of what pack_bodies gives.
    """

    batch_id: str
    attempt: str
    part: int
    parts: int
    owner: str
    submitted_ms: int
    data: bytes
    items: int
    bodies: list[batch.Place] = []


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
      place: Where the text lies if it isn't here.
      part: Number of the text among those at that place, as pack_texts has
        them.
    """

    batch_id: str
    index: int
    after: int
    last_event: int
    text: bytes
    versions: list[int]
    failures: int
    place: batch.Place | None = None
    part: int = 0


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
_BYTES = msgspec.msgpack.Decoder(list[bytes])


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


def pack_texts(texts: list[bytes]) -> bytes:
    """Put packed texts into one record."""
    return _ENCODER.encode(texts)


def unpack_texts(data: bytes) -> list[bytes]:
    """Undo pack_texts."""
    return _BYTES.decode(data)


def pack_bodies(submission: batch.Submission) -> bytes:
    """Compress the bodies of a batch's items."""
    bodies = [item.body for item in submission.items]
    return zlib.compress(_ENCODER.encode(bodies), COMPRESSION_LEVEL)


def unpack_bodies(data: bytes) -> list[bytes]:
    """Undo pack_bodies."""
    return _BYTES.decode(zlib.decompress(data))


def hash_body(item: batch.Item) -> int:
    """Compute a number that tells an item's body from others."""
    return item.body_hash or xxhash.xxh64_intdigest(item.body)


def strip_bodies(submission: batch.Submission) -> batch.Submission:
    """Build the same batch without its bodies, which lie elsewhere."""
    return msgspec.structs.replace(
        submission,
        items=[
            msgspec.structs.replace(item, body=b'', body_hash=hash_body(item))
            for item in submission.items
        ],
    )


def fill_bodies(
    submission: batch.Submission, bodies: list[bytes]
) -> batch.Submission:
    """Undo strip_bodies."""
    return msgspec.structs.replace(
        submission,
        items=[
            msgspec.structs.replace(item, body=body)
            for item, body in zip(submission.items, bodies, strict=True)
        ],
    )


def split(data: bytes, record_bytes: int) -> list[bytes]:
    """Split data into pieces that fit into a record each.

    Args:
      data: Any bytes.
      record_bytes: Most bytes of a record.

    Returns:
      One piece or more.
    """
    room = record_bytes - RECORD_HEAD_BYTES
    return [
        data[start : start + room]
        for start in range(0, max(1, len(data)), room)
    ]


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
    bodies: list[batch.Place] | None = None,
) -> list[bytes]:
    """Build the records of a submitted batch.

    Args:
      submission: The batch.
      attempt: Names this submission.
      owner: Incarnation that runs it.
      submitted_ms: Unix milliseconds.
      record_bytes: Most bytes of a record.
      bodies: Where the items' bodies lie; None if they go with the rest.

    Returns:
      Encoded records, in order.
    """
    if bodies is not None:
        submission = strip_bodies(submission)
    pieces = split(pack_submission(submission), record_bytes)
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
                bodies or [],
            )
        )
        for number, piece in enumerate(pieces)
    ]
