"""State of the run of an item, and single attempts at a replica."""

import enum
import time

import msgspec

from auburnroad_core.http import client
from auburnroad_core.http import messages
from auburnroad_gateway import adapter as adapters
from auburnroad_gateway.batches import lineage
from auburnroad_gateway.directory import replica
from auburnroad_gateway.forwarding import attempt
from auburnroad_gateway.forwarding import event_stream
from auburnroad_gateway.model import batch
from auburnroad_gateway.model import registration

UNPROCESSABLE_STATUS = 422
# First events of an attempt whose gaps contain the prefill of its own text.
PREFILL_EVENTS = 2


class AttemptEnd(enum.Enum):
    """How an attempt of an item ended.

    Attributes:
      DONE: The text is complete.
      BROKEN: The connection or the event stream failed, or the replica
        answered with an unexpected status.
      FAILED: The replica answered with status 500.
      IMPOSSIBLE: The replica answered that the item cannot be processed.
      NOT_RUN: The replica certainly did not run the item.
      UNMET: The same, as it may not meet a condition of the item.
      STALE: The weight version violates the constraints.
    """

    DONE = 'done'
    BROKEN = 'broken'
    FAILED = 'failed'
    IMPOSSIBLE = 'impossible'
    NOT_RUN = 'not run'
    UNMET = 'unmet'
    STALE = 'stale'


class ItemRun:
    """An item that has no result yet.

    Attributes:
      item: The item.
      index: Position of the item in its submission.
      texts: Data of the events received so far.
      last_event: Id of the last event; None before the first event.
      versions: Weight versions that generated the events.
      release: Software that generated the text; None before the first event.
      given_up_release: Release whose text was given up last; None for none.
      restart_at: Monotonic time in seconds from which the text is given up if
        its release has no free slot; infinite if no slot was sought yet.
      not_before: Monotonic time in seconds before which no attempt starts.
      failures: Number of attempts that count towards the route's limit.
      progress_at: Monotonic time in seconds of the last event, or of the start
        of the attempt before its first event.
      started_at: Monotonic time in seconds at which the attempt started.
      attempt_events: Events of the current attempt.
      replica: Replica of the current or last attempt; None before the
        first attempt.
      saved_event: Id of the last event that was saved; -1 for none.
      saved_texts: Number of texts that were saved.
      saved_versions: Weight versions that generated the saved texts.
      saved_piece: Id of the piece of the text that was saved last; None if the
        next save has to contain the whole text.
      sources: Who made the text: number of the first event and id of the
        replica for each attempt, or incarnation of the gateway that saved the
        events.
      complete: Whether the text is complete and waits for its score.
    """

    __slots__ = (
        'item',
        'index',
        'texts',
        'last_event',
        'versions',
        'release',
        'given_up_release',
        'restart_at',
        'not_before',
        'failures',
        'progress_at',
        'started_at',
        'attempt_events',
        'replica',
        'saved_event',
        'saved_texts',
        'saved_versions',
        'saved_piece',
        'sources',
        'complete',
    )

    def __init__(self, item: batch.Item, index: int):
        self.item = item
        self.index = index
        self.texts: list[str] = []
        self.last_event: int | None = None
        self.versions: set[int] = set()
        self.release: registration.Release | None = None
        self.given_up_release: registration.Release | None = None
        self.restart_at = float('inf')
        self.not_before = float('-inf')
        self.failures = 0
        self.progress_at = 0.0
        self.started_at = 0.0
        self.attempt_events = 0
        self.replica: replica.Replica | None = None
        self.saved_event = -1
        self.saved_texts = 0
        self.saved_versions: set[int] = set()
        self.saved_piece: lineage.PieceId | None = None
        self.sources: list[tuple[int, str]] = []
        self.complete = False

    @property
    def text(self) -> str:
        """Data of the events received so far, in order."""
        return '\n'.join(self.texts)

    def resume_from(self, other: 'ItemRun') -> None:
        """Resume after the text of another run of the same item."""
        self.texts = other.texts
        self.last_event = other.last_event
        self.versions = other.versions
        self.release = other.release
        self.sources = other.sources
        self.complete = other.complete

    def give_up_text(self) -> None:
        """Discard the text, and don't take it up again from the log."""
        self.given_up_release = self.release
        self.reset_text()

    def reset_text(self) -> None:
        """Discard the text, so that the next attempt starts anew."""
        self.texts.clear()
        self.versions.clear()
        self.release = None
        self.last_event = None
        self.saved_event = -1
        self.saved_texts = 0
        self.saved_versions = set()
        self.saved_piece = None
        self.sources = []
        self.complete = False


class Constraints(msgspec.Struct, frozen=True):
    """Constraints on the generation of an item.

    Attributes:
      host: Value of the Host header.
      model: Name of the model; empty for any model.
      minimum_version: Oldest weight version that may generate events.
      single_version: Whether all events must have the same weight version.
      account: Name of the account that replicas are told; empty for none, None
        if the deployment has no accounts.
    """

    host: str
    model: str
    minimum_version: int
    single_version: bool
    account: str | None = None


async def run_attempt(
    http_client: client.HttpClient,
    adapter: adapters.Adapter,
    run: ItemRun,
    constraints: Constraints,
) -> AttemptEnd:
    """Make one attempt at the run's replica and add its events to the run.

    Args:
      http_client: HTTP client for the connections to replicas.
      adapter: Builds and decodes messages.
      run: The run; its replica must be set.
      constraints: Constraints on the generation.

    Returns:
      How the attempt ended.
    """
    target = run.replica
    run.attempt_events = 0
    headers = adapter.build_attempt_headers(
        attempt.drop_hop_by_hop_headers(
            adapter.build_item_headers(run.item, constraints.host)
        ),
        target.id,
        None,
        run.last_event,
        constraints.account,
    )
    request = messages.Request('POST', run.item.path, headers, run.item.body)
    try:
        opened = await attempt.send_attempt(
            http_client, adapter, target, request, run.item.id, False
        )
        if isinstance(opened, attempt.Outcome):
            if opened.unmet:
                return AttemptEnd.UNMET
            if opened.end is attempt.AttemptOutcomeKind.NOT_RUN:
                return AttemptEnd.NOT_RUN
            return AttemptEnd.BROKEN
        return await _read_response(adapter, run, constraints, opened)
    except client.TooLargeError:
        # A text without end is nobody's result, and its memory is needed.
        run.reset_text()
        target.note_failure(time.monotonic())
        return AttemptEnd.BROKEN
    except client.HttpError:
        target.note_failure(time.monotonic())
        return AttemptEnd.BROKEN


async def _read_response(adapter, run, constraints, opened) -> AttemptEnd:
    target = run.replica
    status = opened.reply.status
    version = opened.head.weight_version
    target.note_version(constraints.model, version)
    if status == 200:
        if not _accepts_version(run, constraints, version):
            opened.reply.close()
            return AttemptEnd.STALE
        return await _read_events(adapter, run, constraints, opened)
    await opened.reply.discard()
    if status == UNPROCESSABLE_STATUS:
        return AttemptEnd.IMPOSSIBLE
    target.note_failure(time.monotonic())
    return AttemptEnd.FAILED if status == 500 else AttemptEnd.BROKEN


async def _read_events(adapter, run, constraints, opened) -> AttemptEnd:
    target = run.replica
    version = opened.head.weight_version
    try:
        async for event in event_stream.iterate_events(opened.reply, adapter):
            if event.version is not None:
                version = event.version
                target.note_version(constraints.model, version)
                if not _accepts_version(run, constraints, version):
                    return AttemptEnd.STALE
            if target.superseded:
                # The release of the text since the last attempt is unknown.
                run.reset_text()
                return AttemptEnd.STALE
            opened.reply.keep(len(event.raw))
            if not _add_event(run, event):
                target.note_failure(time.monotonic())
                return AttemptEnd.BROKEN
            if version is not None:
                run.versions.add(version)
    finally:
        opened.reply.close()
    target.note_success()
    return AttemptEnd.DONE


def _add_event(run: ItemRun, event: event_stream.Event) -> bool:
    """Add an event to a run; return False if its id is out of order."""
    if event.id is None:
        return False
    if run.last_event is not None and event.id != run.last_event + 1:
        return False
    now = time.monotonic()
    gap_ms = (now - run.progress_at) * 1000
    if run.texts:
        run.replica.note_pace(gap_ms, now)
    if run.attempt_events >= PREFILL_EVENTS:
        run.replica.note_gap(gap_ms, now)
    if not run.attempt_events:
        run.sources.append((event.id, run.replica.id))
    run.attempt_events += 1
    run.last_event = event.id
    run.release = run.replica.release
    run.texts.append(event.data)
    run.progress_at = now
    return True


def _accepts_version(
    run: ItemRun, constraints: Constraints, version: int | None
) -> bool:
    """Tell whether events of a weight version may extend the text.

    If all events must have the same version, a text of a different version is
    discarded.
    """
    if version is None:
        return True
    if version < constraints.minimum_version:
        return False
    if constraints.single_version and run.versions - {version}:
        # The text has a different version, so the next attempt starts anew.
        run.reset_text()
        return False
    return True
