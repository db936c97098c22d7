"""A batch: many requests that are submitted at once and run later."""

import enum

import msgspec


class Item(msgspec.Struct, frozen=True, array_like=True):
    """One request of a batch.

    Attributes:
      id: Item's id; unique in its batch, not over all batches.
      path: Path that it is sent to.
      headers: Headers that it is sent with.
      body: Decoded body.
      tokens: Prompt tokens and the most output tokens together.
      group: Items of one group are wanted all or not at all.
      length_hint: Caller's estimate of the output tokens, zero for none.
      prompt_tokens: Tokens that are read before the first one is generated.
      body_hash: Tells bodies apart where the body itself lies elsewhere;
        zero as long as it is here.
    """

    id: str
    path: str
    headers: dict[str, str]
    body: bytes
    tokens: int
    group: str
    length_hint: int = 0
    prompt_tokens: int = 0
    body_hash: int = 0


class Submission(msgspec.Struct, frozen=True, array_like=True):
    """A batch as its trainer submitted it.

    Attributes:
      batch_id: Chosen by the trainer; a repeated submission has the same.
      host: Value of the Host header, which its items are sent with.
      path: Path that it was submitted to.
      step: Training step, counted from zero.
      model: Model that generates; empty if the batch isn't for training.
      minimum_version: Oldest weight version that may generate.
      groups_wanted: Complete groups that the trainer waits for.
      items: In the trainer's order.
    """

    batch_id: str
    host: str
    path: str
    step: int
    model: str
    minimum_version: int
    groups_wanted: int
    items: list[Item]


class Outcome(enum.StrEnum):
    """How an item ended."""

    SUCCEEDED = 'succeeded'
    TERMINATED = 'terminated'


class Place(msgspec.Struct, frozen=True, array_like=True):
    """Where a record of contents lies in the log.

    Attributes:
      partition: Partition of the topic of contents.
      offset: Offset of its record.
      size: Bytes of the record.
    """

    partition: int
    offset: int
    size: int


class ItemResult(msgspec.Struct, frozen=True, array_like=True):
    """The final result of an item.

    Attributes:
      index: Position of the item in its submission.
      outcome: How it ended.
      text: Data of all events, in order, as compressed by pack_text.
      versions: Weight versions that generated the events, ascending.
      place: Where the text lies if it isn't here.
      further: Where the rest of it lies if one record doesn't hold it all.
    """

    index: int
    outcome: Outcome
    text: bytes
    versions: list[int]
    place: Place | None = None
    further: list[Place] = []
