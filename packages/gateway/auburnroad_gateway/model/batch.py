"""Batches: sets of requests that are submitted together and run later."""

import enum

import msgspec

from auburnroad_gateway.model import call


class Item(msgspec.Struct, frozen=True, array_like=True):
    """One request of a batch.

    Attributes:
      id: Id of the item, unique within its batch only.
      path: Request path.
      headers: Request headers.
      body: Request body, decoded from the submission.
      tokens: Prompt tokens plus maximum output tokens.
      group: Name of the item's group. A group is useful only if all of its
        items succeed.
      length_hint: Trainer's estimate of the output tokens; zero for none.
      prompt_tokens: Tokens of the prompt, which are processed before the first
        output token.
      body_hash: Hash that identifies a body stored in another record; zero if
        the body is present.
      reward: Call that scores the complete text; None if the text needs no
        score.
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
    reward: call.RewardCall | None = None


class Submission(msgspec.Struct, frozen=True, array_like=True):
    """A batch as its trainer submitted it.

    Attributes:
      batch_id: Idempotency key, chosen by the trainer; a retried submission
        repeats it.
      host: Value of the Host header, also for the requests of its items.
      path: Path of the submission.
      step: Training step, counted from zero.
      model: Model that generates the output; empty if the batch isn't for
        training.
      minimum_version: Oldest weight version that may generate the output.
      groups_wanted: Number of complete groups that the trainer waits for.
      items: Items in the trainer's order.
      account: Name of the account that submitted the batch; empty if none.
        The last field, so that records of older versions can be read.
    """

    batch_id: str
    host: str
    path: str
    step: int
    model: str
    minimum_version: int
    groups_wanted: int
    items: list[Item]
    account: str = ''


class Outcome(enum.StrEnum):
    """Final state of an item."""

    SUCCEEDED = 'succeeded'
    TERMINATED = 'terminated'


class RecordLocation(msgspec.Struct, frozen=True, array_like=True):
    """Position of a contents record in the log.

    Attributes:
      partition: Partition of the contents topic.
      offset: Offset of the record.
      size: Size of the record in bytes.
    """

    partition: int
    offset: int
    size: int


class ItemResult(msgspec.Struct, frozen=True, array_like=True):
    """Final result of an item.

    Attributes:
      index: Position of the item in its submission.
      outcome: Final state of the item.
      text: Data of all events in order, compressed by pack_text.
      versions: Weight versions that generated the events, in ascending order.
      place: Position of the text if it is stored in another record.
      further_locations: Positions of the remaining text if one record can't
        hold it.
      score: Score of the text; empty if the item has no reward call.
    """

    index: int
    outcome: Outcome
    text: bytes
    versions: list[int]
    place: RecordLocation | None = None
    further_locations: list[RecordLocation] = []
    score: str = ''


class PageEntry(msgspec.Struct, frozen=True, array_like=True):
    """A result as a page of results shows it.

    Attributes:
      item_id: Id of the item.
      outcome: Final state of the item.
      text: Data of all events in order.
      versions: Weight versions that generated the events, in ascending order.
      score: Score of the text; empty if the item has no reward call.
    """

    item_id: str
    outcome: Outcome
    text: str
    versions: list[int]
    score: str = ''
