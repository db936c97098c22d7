"""A batch that this gateway runs, as data: its runs and their results."""

import asyncio

from auburnroad_gateway.batches import fold
from auburnroad_gateway.batches import records
from auburnroad_gateway.batches import run as runs
from auburnroad_gateway.model import batch

# Room that a run needs in memory until it is counted again and can move.
GROWTH_EVENTS = 8
# A run goes on behind a saved text that is longer by more events; for fewer a
# new attempt isn't worth it.
BEHIND_EVENTS = 8


class OwnedBatch:
    """A batch that this gateway runs.

    Attributes:
      state: What the log tells of it.
      route: Its route, when last looked up.
      waiting: Runs that wait for a slot, by item index.
      running: Task by item index.
      runs: All runs without a result, by item index.
    """

    __slots__ = ('state', 'route', 'waiting', 'running', 'runs', 'carried')

    def __init__(self, state: fold.Batch, route, carried: set[str]):
        self.state = state
        self.route = route
        self.carried = carried
        self.running: dict[int, asyncio.Task] = {}
        self.runs: dict[int, runs.ItemRun] = {}
        for index, item in enumerate(state.submission.items):
            if index not in state.finished:
                self.runs[index] = build_run(state, item, index)
        self.waiting = dict(self.runs)

    @property
    def terms(self) -> runs.Terms:
        """What the generation of its items has to keep to."""
        submission = self.state.submission
        return runs.Terms(
            submission.host,
            submission.model,
            submission.minimum_version,
            self.route.single_version,
        )

    def stop(self) -> None:
        """Cancel all runs."""
        for task in self.running.values():
            task.cancel()
        self.running.clear()
        self.waiting.clear()


def count_tokens(run: runs.ItemRun, tokens_per_event: int) -> int:
    """Count the tokens that a run is about to hold in memory.

    Args:
      run: The run.
      tokens_per_event: Tokens that one of its events stands for.

    Returns:
      Its prompt and its text so far, with some room to grow.
    """
    events = count_events(run) + GROWTH_EVENTS
    return run.item.prompt_tokens + events * tokens_per_event


def count_final_tokens(run: runs.ItemRun, tokens_per_event: int) -> int:
    """Count the tokens that a run is expected to hold when it ends."""
    predicted = run.item.prompt_tokens + run.item.length_hint
    return max(predicted, count_tokens(run, tokens_per_event))


def count_events(run: runs.ItemRun) -> int:
    """Count the events that a run has made, here or before."""
    return 0 if run.last_event is None else run.last_event + 1


class Group:
    """What is left of a group of a batch's items.

    Attributes:
      left: Items without a result.
      expected_ms: Time that each of them is expected to run, by item index.
    """

    __slots__ = ('left', 'expected_ms')

    def __init__(self):
        self.left = 0
        self.expected_ms: dict[int, int] = {}


def measure_groups(
    owned: OwnedBatch, tokens_per_event: int, pace_ms: float
) -> dict[str, Group]:
    """Measure what is left of each group.

    Args:
      owned: The batch.
      tokens_per_event: Tokens that one event stands for.
      pace_ms: Time between two events, in milliseconds.

    Returns:
      Groups by name; those without any item left are missing.
    """
    groups: dict[str, Group] = {}
    for run in owned.runs.values():
        group = groups.setdefault(run.item.group, Group())
        group.left += 1
        events = count_events_left(run, tokens_per_event)
        group.expected_ms[run.index] = int(events * pace_ms)
    return groups


def count_events_left(run: runs.ItemRun, tokens_per_event: int) -> int:
    """Count the events that a run is expected to make from now on.

    A run that has made more than was predicted may go on for long: the more
    it has made, the more are expected.
    """
    made = count_events(run)
    predicted = run.item.length_hint // tokens_per_event
    return max(predicted - made, made // 2, 1)


def build_run(state: fold.Batch, item, index: int) -> runs.ItemRun:
    """Build a run that goes on with what the log has of its text."""
    run = runs.ItemRun(item, index)
    saved = state.progress.get(index)
    if not saved:
        return run
    run.failures = saved[-1].failures
    if saved[-1].last_event >= 0:
        # One text stands for several events; they join the same way.
        run.texts = [
            records.unpack_text(part.text)
            for part in saved
            if part.last_event != part.after
        ]
        run.last_event = run.saved_event = saved[-1].last_event
        run.saved_texts = len(run.texts)
        run.versions = set(saved[-1].versions)
    return run


def list_gained(owned: OwnedBatch) -> list[runs.ItemRun]:
    """List the running items that have more text than was saved of them."""
    return [
        owned.runs[index]
        for index in owned.running
        if len(owned.runs[index].texts) > owned.runs[index].saved_texts
    ]


def list_behind(owned: OwnedBatch) -> list[runs.ItemRun]:
    """List the runs of which the log has more text than they have here.

    That is so when an earlier owner could save only after it had lost the
    batch.
    """
    return [
        owned.runs[index]
        for index, saved in owned.state.progress.items()
        if index in owned.runs
        and saved
        and saved[-1].last_event + 1
        > count_events(owned.runs[index]) + BEHIND_EVENTS
    ]


def resume_saved(owned: OwnedBatch, run: runs.ItemRun) -> None:
    """Let a run go on behind what the log has of its text."""
    saved = build_run(owned.state, run.item, run.index)
    run.adopt_text(saved)
    run.saved_event = saved.saved_event
    run.saved_texts = saved.saved_texts
    run.failures = max(run.failures, saved.failures)


def take_progress(batch_id: str, run: runs.ItemRun) -> records.Progress:
    """Build the record of what a run has gained, and count it as saved."""
    last = -1 if run.last_event is None else run.last_event
    gained = records.Progress(
        batch_id,
        run.index,
        run.saved_event,
        last,
        records.pack_text('\n'.join(run.texts[run.saved_texts :])),
        sorted(run.versions),
        run.failures,
    )
    run.saved_event = last
    run.saved_texts = len(run.texts)
    return gained


def build_result(run: runs.ItemRun, outcome) -> batch.ItemResult:
    """Build the result of a run that has ended."""
    return batch.ItemResult(
        run.index,
        outcome,
        records.pack_text(run.text),
        sorted(run.versions),
    )


def is_same_item(one: batch.Item, other: batch.Item) -> bool:
    """Tell whether two items of one id ask for the same text."""
    return one.path == other.path and records.hash_body(
        one
    ) == records.hash_body(other)


def fits_earlier(
    run: runs.ItemRun,
    item: batch.Item,
    result: batch.ItemResult,
    terms: runs.Terms,
) -> bool:
    """Tell whether an earlier result may stand for a run.

    Args:
      run: The run.
      item: The item that the result is of.
      result: A result of another batch.
      terms: What the run's generation has to keep to.

    Returns:
      Whether it is the same item and its versions are new enough.
    """
    if result.outcome is not batch.Outcome.SUCCEEDED:
        return False
    if not is_same_item(item, run.item):
        return False
    if terms.single_version and len(result.versions) != 1:
        return False
    return all(version >= terms.minimum_version for version in result.versions)


def move_result(result: batch.ItemResult, index: int) -> batch.ItemResult:
    """Build a result that stands for an item of another batch."""
    return batch.ItemResult(
        index,
        result.outcome,
        result.text,
        result.versions,
        result.place,
        result.further,
    )
