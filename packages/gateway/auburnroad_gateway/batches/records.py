"""Defines the log records of batches and the encoding of their contents.

All records of a batch are in one partition, so that all gateways fold them in
the same order: the position of a result follows its order in the log.
"""

import zlib

import msgspec
import xxhash

from auburnroad_core import decoding
from auburnroad_gateway.batches import lineage
from auburnroad_gateway.model import batch
from auburnroad_gateway.model import call
from auburnroad_gateway.model import registration

TOPIC = 'batches'
# Texts and bodies in large deployments, where not every gateway can read
# all contents. A batch has the same partition number as in TOPIC.
CONTENTS_TOPIC = 'contents'
# At 3 ms per append, 4 partitions have enough throughput for the batches of
# the largest deployment, and every gateway can tail all of them at low cost.
PARTITIONS = 4
# The fastest level of zlib, since the trainer waits during the compression.
COMPRESSION_LEVEL = 1
# Bytes reserved for the fields of a record other than its data.
RECORD_OVERHEAD_BYTES = 1024


class SubmissionPart(msgspec.Struct, frozen=True, array_like=True, tag='s'):
    """A part of a submitted batch; the batch exists once all parts are read.

    Attributes:
      batch_id: Id of the batch.
      attempt: Id of the submission, since a batch may be submitted twice.
      part: Number of this part, counted from zero.
      parts: Number of parts.
      owner: Incarnation of the gateway that runs the batch.
      submitted_ms: Time of the submission in Unix milliseconds.
      data: Compressed msgpack of the batch.Submission, or a piece of it.
      items: Number of items of the batch.
      bodies: Locations of the items' bodies if the data doesn't contain them;
        the records there are pieces of the result of pack_bodies.
    """

    batch_id: str
    attempt: str
    part: int
    parts: int
    owner: str
    submitted_ms: int
    data: bytes
    items: int
    bodies: list[batch.RecordLocation] = []


class Results(msgspec.Struct, frozen=True, array_like=True, tag='r'):
    """Results of items; only the first result of an item counts."""

    batch_id: str
    results: list[batch.ItemResult]


class Progress(msgspec.Struct, frozen=True, array_like=True, tag='p'):
    """A partial text of an item, from which another owner can resume it.

    Attributes:
      batch_id: Id of the batch.
      index: Index of the item.
      after: Id of the event that precedes this text; -1 for the start.
      last_event: Id of the last event of this text; -1 for none.
      text: Compressed text of the events from after + 1 to last_event.
      versions: Weight versions that generated the item's text up to
        last_event.
      failures: Number of attempts that count towards the route's limit.
      place: Location of the text if this record doesn't contain it.
      part: Index of the text at that location, in the order of pack_texts.
      complete: Whether the item's text is complete and waits for its score.
      release: Software that generated the item's text up to last_event; None
        if not recorded.
      versions_before: Weight versions that generated the item's text up to
        after, as its writer has it; None if not recorded. Only gateways that
        don't know pieces read it.
      piece: Id of this piece of the text; None if its writer knows none.
      continues: Id of the piece that this one goes on from; None for the
        start of a text.
      further_locations: Locations of the rest if one record can't hold the
        texts at the location.
    """

    batch_id: str
    index: int
    after: int
    last_event: int
    text: bytes
    versions: list[int]
    failures: int
    place: batch.RecordLocation | None = None
    part: int = 0
    complete: bool = False
    release: registration.Release | None = None
    versions_before: list[int] | None = None
    piece: lineage.PieceId | None = None
    continues: lineage.PieceId | None = None
    further_locations: list[batch.RecordLocation] = []


class End(msgspec.Struct, frozen=True, array_like=True, tag='e'):
    """Ends a batch: its remaining items are not run."""

    batch_id: str


class Claim(msgspec.Struct, frozen=True, array_like=True, tag='c'):
    """Makes another gateway the owner of a batch.

    Attributes:
      batch_id: Id of the batch.
      owner: Incarnation of the new owner.
      previous: Incarnation of the previous owner; the claim has no effect if
        the batch has a different owner when the claim is folded.
    """

    batch_id: str
    owner: str
    previous: str


Record = SubmissionPart | Results | Progress | End | Claim

_ENCODER = msgspec.msgpack.Encoder()


def encode(record: Record) -> bytes:
    """Encode a record."""
    return _ENCODER.encode(record)


def decode(data: bytes) -> Record:
    """Decode a record.

    Raises:
      msgspec.DecodeError: If the data is not a valid record.
    """
    return decoding.decode_msgpack(data, Record)


def find_partition(batch_id: str) -> int:
    """Find the partition of a batch's records."""
    return xxhash.xxh64_intdigest(batch_id.encode()) % PARTITIONS


def pack_text(text: str) -> bytes:
    """Compress a text."""
    return zlib.compress(text.encode(), COMPRESSION_LEVEL)


def unpack_text(data: bytes) -> str:
    """Decompress a text."""
    return zlib.decompress(data).decode()


def pack_texts(texts: list[bytes]) -> bytes:
    """Encode compressed texts as one record of contents."""
    return _ENCODER.encode(texts)


def unpack_texts(data: bytes) -> list[bytes]:
    """Decode the compressed texts of a record of contents."""
    return decoding.decode_msgpack(data, list[bytes])


def pack_bodies(submission: batch.Submission) -> bytes:
    """Encode and compress the bodies of a batch.

    The bodies of the reward calls follow those of all items.
    """
    bodies = [item.body for item in submission.items]
    bodies += [item.reward.body for item in submission.items if item.reward]
    return zlib.compress(_ENCODER.encode(bodies), COMPRESSION_LEVEL)


def unpack_bodies(data: bytes) -> list[bytes]:
    """Decompress and decode the bodies of a batch; see pack_bodies."""
    return decoding.decode_msgpack(zlib.decompress(data), list[bytes])


def hash_body(owner: batch.Item | call.RewardCall) -> int:
    """Return the stored hash of a body, or compute the hash."""
    return owner.body_hash or xxhash.xxh64_intdigest(owner.body)


def strip_bodies(submission: batch.Submission) -> batch.Submission:
    """Build a copy of a batch with body hashes in place of the bodies."""
    return msgspec.structs.replace(
        submission,
        items=[
            strip_body(item, reward=item.reward and strip_body(item.reward))
            for item in submission.items
        ],
    )


def strip_body(owner: batch.Item | call.RewardCall, **fields):
    """Build a copy of an item or reward call with a hash for the body.

    Args:
      owner: The item or reward call.
      fields: Further fields to replace.

    Returns:
      The copy; equal copies have equal bodies.
    """
    return msgspec.structs.replace(
        owner, body=b'', body_hash=hash_body(owner), **fields
    )


def fill_bodies(
    submission: batch.Submission, bodies: list[bytes]
) -> batch.Submission:
    """Build a copy of a stripped batch with its bodies; see pack_bodies."""
    remaining = iter(bodies)
    items = [
        msgspec.structs.replace(item, body=next(remaining))
        for item in submission.items
    ]
    return msgspec.structs.replace(
        submission,
        items=[
            msgspec.structs.replace(
                item,
                reward=item.reward
                and msgspec.structs.replace(item.reward, body=next(remaining)),
            )
            for item in items
        ],
    )


def split(data: bytes, record_bytes: int) -> list[bytes]:
    """Split data into pieces that each fit into a record.

    Args:
      data: The data; may be empty.
      record_bytes: Maximum size of a record in bytes.

    Returns:
      At least one piece.
    """
    piece_bytes = record_bytes - RECORD_OVERHEAD_BYTES
    return [
        data[start : start + piece_bytes]
        for start in range(0, max(1, len(data)), piece_bytes)
    ]


def pack_submission(submission: batch.Submission) -> bytes:
    """Encode and compress a submission."""
    return zlib.compress(_ENCODER.encode(submission), COMPRESSION_LEVEL)


def unpack_submission(data: bytes) -> batch.Submission:
    """Decompress and decode a submission.

    Raises:
      msgspec.DecodeError: If the data is not a valid submission.
    """
    try:
        plain = zlib.decompress(data)
    except zlib.error as error:
        raise msgspec.DecodeError(str(error)) from error
    return decoding.decode_msgpack(plain, batch.Submission)


def build_submission_records(
    submission: batch.Submission,
    attempt: str,
    owner: str,
    submitted_ms: int,
    record_bytes: int,
    bodies: list[batch.RecordLocation] | None = None,
) -> list[bytes]:
    """Build the records of a submitted batch.

    Args:
      submission: The batch.
      attempt: Id of the submission.
      owner: Incarnation of the gateway that runs the batch.
      submitted_ms: Time of the submission in Unix milliseconds.
      record_bytes: Maximum size of a record in bytes.
      bodies: Locations of the items' bodies; None to include the bodies.

    Returns:
      Encoded records in the order in which they are to be appended.
    """
    if bodies is not None:
        submission = strip_bodies(submission)
    # Each record names all locations.
    pieces = split(
        pack_submission(submission),
        record_bytes - len(_ENCODER.encode(bodies)),
    )
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
