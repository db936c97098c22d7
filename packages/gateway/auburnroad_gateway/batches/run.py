"""One item on its way: its text so far, and one attempt at a replica."""

import enum
import time

import msgspec

from auburnroad_core.http import client
from auburnroad_core.http import messages
from auburnroad_gateway import adapter as adapters
from auburnroad_gateway.directory import replica
from auburnroad_gateway.forwarding import attempt
from auburnroad_gateway.forwarding import event_stream
from auburnroad_gateway.model import batch

UNPROCESSABLE = 422


class RunEnd(enum.Enum):
    """How an attempt of an item ended."""

    DONE = 'done'
    BROKEN = 'broken'
    FAILED = 'failed'
    IMPOSSIBLE = 'impossible'
    NOT_RUN = 'not run'
    STALE = 'stale'


class ItemRun:
    """An item that has no result yet.

    Attributes:
      item: The item.
      index: Its position in the submission.
      texts: Data of the events so far.
      last_event: Id of the last one, None before the first.
      versions: Weight versions that generated them.
      failures: Answers that count as a failed run.
      progress_at: When the last event came, or the attempt began, in
        monotonic seconds.
      started_at: When the attempt began, in monotonic seconds.
      replica: Where it runs or ran last, None before.
      saved_event: Id of the last event that was saved, -1 for none.
      saved_texts: How many of the texts were saved.
    """

    __slots__ = (
        'item',
        'index',
        'texts',
        'last_event',
        'versions',
        'failures',
        'progress_at',
        'started_at',
        'replica',
        'saved_event',
        'saved_texts',
    )

    def __init__(self, item: batch.Item, index: int):
        self.item = item
        self.index = index
        self.texts: list[str] = []
        self.last_event: int | None = None
        self.versions: set[int] = set()
        self.failures = 0
        self.progress_at = 0.0
        self.started_at = 0.0
        self.replica: replica.Replica | None = None
        self.saved_event = -1
        self.saved_texts = 0

    @property
    def text(self) -> str:
        """Data of the events so far, in order."""
        return '\n'.join(self.texts)

    def adopt_text(self, other: 'ItemRun') -> None:
        """Go on behind the text of another run of the same item."""
        self.texts = other.texts
        self.last_event = other.last_event
        self.versions = other.versions

    def drop_text(self) -> None:
        """Begin again, since the text so far can't be used."""
        self.texts.clear()
        self.versions.clear()
        self.last_event = None
        self.saved_event = -1
        self.saved_texts = 0


class Terms(msgspec.Struct, frozen=True):
    """What an item's generation has to keep to.

    Attributes:
      host: Value of the Host header.
      model: Model that generates; empty if any may.
      minimum_version: Oldest weight version that may generate.
      single_version: Whether all events must have one version.
    """

    host: str
    model: str
    minimum_version: int
    single_version: bool


async def run_attempt(
    http_client: client.HttpClient,
    adapter: adapters.Adapter,
    run: ItemRun,
    terms: Terms,
) -> RunEnd:
    """Make one attempt at the run's replica; its events go into the run.

    Args:
      http_client: Connections to replicas.
      adapter: Builds and decodes messages.
      run: The item; its replica is set.
      terms: What the generation has to keep to.

    Returns:
      How the attempt ended.
    """
    target = run.replica
    headers = adapter.build_attempt_headers(
        adapter.build_item_headers(run.item, terms.host),
        target.id,
        None,
        run.last_event,
    )
    request = messages.Request('POST', run.item.path, headers, run.item.body)
    try:
        opened = await attempt.open_attempt(
            http_client, adapter, target, request, run.item.id, False
        )
        if isinstance(opened, attempt.Outcome):
            if opened.end is attempt.End.NOT_RUN:
                return RunEnd.NOT_RUN
            return RunEnd.BROKEN
        return await _read_answer(adapter, run, terms, opened)
    except client.HttpError:
        target.note_failure(time.monotonic())
        return RunEnd.BROKEN


async def _read_answer(adapter, run, terms, opened) -> RunEnd:
    target = run.replica
    status = opened.reply.status
    version = opened.head.weight_version
    target.note_version(terms.model, version)
    if status == 200:
        if not _fits(run, terms, version):
            opened.reply.close()
            return RunEnd.STALE
        return await _read_events(adapter, run, terms, opened)
    await opened.reply.read()
    if status == UNPROCESSABLE:
        return RunEnd.IMPOSSIBLE
    target.note_failure(time.monotonic())
    return RunEnd.FAILED if status == 500 else RunEnd.BROKEN


async def _read_events(adapter, run, terms, opened) -> RunEnd:
    target = run.replica
    version = opened.head.weight_version
    try:
        async for event in event_stream.iterate_events(opened.reply, adapter):
            if event.version is not None:
                version = event.version
                target.note_version(terms.model, version)
                if not _fits(run, terms, version):
                    return RunEnd.STALE
            if not _take_event(run, event):
                target.note_failure(time.monotonic())
                return RunEnd.BROKEN
            if version is not None:
                run.versions.add(version)
    finally:
        opened.reply.close()
    target.note_success()
    return RunEnd.DONE


def _take_event(run: ItemRun, event: event_stream.Event) -> bool:
    """Take the next event; tell whether it follows the last one."""
    if event.id is None:
        return False
    if run.last_event is not None and event.id != run.last_event + 1:
        return False
    now = time.monotonic()
    if run.texts:
        run.replica.note_pace((now - run.progress_at) * 1000, now)
    run.last_event = event.id
    run.texts.append(event.data)
    run.progress_at = now
    return True


def _fits(run: ItemRun, terms: Terms, version: int | None) -> bool:
    """Tell whether events of a version may join the text so far."""
    if version is None:
        return True
    if version < terms.minimum_version:
        return False
    if terms.single_version and run.versions - {version}:
        # The text so far is of another version: begin again under this one.
        run.drop_text()
        return False
    return True
