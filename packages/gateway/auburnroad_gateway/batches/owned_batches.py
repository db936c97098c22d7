"""State of a batch that this gateway runs: its runs and their results."""

import asyncio
import time

from auburnroad_gateway.batches import fold
from auburnroad_gateway.batches import lineage
from auburnroad_gateway.batches import records
from auburnroad_gateway.batches import run as runs
from auburnroad_gateway.batches import timeline
from auburnroad_gateway.directory import placement
from auburnroad_gateway.model import batch

# Events that a run may generate before its memory is counted again and the run
# can be moved.
GROWTH_MARGIN_EVENTS = 8
# A run switches to a text saved in the log only if that text is longer by more
# than this many events; a smaller gain is not worth a new attempt.
MIN_RESUME_GAIN_EVENTS = 8


class OwnedBatch:
    """A batch that this gateway runs.

    Attributes:
      state: State of the batch according to the log.
      route: Route of the batch, as found by the latest lookup.
      account: Name of the account that replicas are told, as found by the
        latest lookup; see ConfigurationHolder.find_account.
      waiting: Runs that wait for a slot, by item index.
      running: Tasks of the current attempts, by item index.
      scoring: Tasks that wait for the scores of complete texts, by item index.
      runs: All runs without a result, by item index.
      repeated_groups: Names of the groups that a batch of an earlier step
        already requested.
      timeline: Where the time of the items goes.
    """

    __slots__ = (
        'state',
        'route',
        'account',
        'waiting',
        'running',
        'scoring',
        'runs',
        'repeated_groups',
        'timeline',
    )

    def __init__(
        self, state: fold.BatchState, route, repeated_groups: set[str]
    ):
        self.state = state
        self.route = route
        self.account: str | None = state.submission.account or None
        self.repeated_groups = repeated_groups
        self.running: dict[int, asyncio.Task] = {}
        self.scoring: dict[int, asyncio.Task] = {}
        self.runs: dict[int, runs.ItemRun] = {}
        for index, item in enumerate(state.submission.items):
            if index not in state.finished:
                self.runs[index] = build_run(state, item, index)
        self.waiting = dict(self.runs)
        self.timeline = timeline.StepTimeline(self.runs, time.monotonic())

    @property
    def constraints(self) -> runs.Constraints:
        """Constraints on the generation of the batch's items."""
        submission = self.state.submission
        return runs.Constraints(
            submission.host,
            submission.model,
            submission.minimum_version,
            self.route.single_version,
            self.account,
        )

    def stop(self) -> None:
        """Cancel all runs."""
        for task in (*self.running.values(), *self.scoring.values()):
            task.cancel()
        self.running.clear()
        self.scoring.clear()
        self.waiting.clear()

    def stop_attempt(self, run: runs.ItemRun) -> None:
        """Cancel the attempt of a run, if any, and queue the run again."""
        task = self.running.pop(run.index, None)
        if task is not None:
            task.cancel()
            self.put_back(run)

    def put_back(self, run: runs.ItemRun) -> None:
        """Let a run wait for a slot again."""
        self.waiting[run.index] = run
        self.timeline.enter(run.index, timeline.Phase.SLOT, time.monotonic())

    def note_waiting(self, replicas: list, now: float) -> None:
        """Note what the waiting runs wait for.

        Args:
          replicas: Replicas of the service that accept work.
          now: Monotonic time in seconds.
        """
        submission = self.state.submission
        phase = timeline.Phase.VERSION
        if any(
            placement.has_minimum_version(
                target, submission.model, submission.minimum_version
            )
            for target in replicas
        ):
            phase = timeline.Phase.SLOT
        for index in self.waiting:
            self.timeline.enter(index, phase, now)

    def drop_run(self, index: int) -> None:
        """Drop a run whose item has its result."""
        if self.runs.pop(index, None) is not None:
            self.timeline.enter(
                index, timeline.Phase.LISTING, time.monotonic()
            )
        self.waiting.pop(index, None)
        for tasks in (self.running, self.scoring):
            task = tasks.pop(index, None)
            if task is not None:
                task.cancel()


def count_tokens(run: runs.ItemRun, tokens_per_event: int) -> int:
    """Count the tokens of a run in a replica's memory, with a margin.

    Args:
      run: The run.
      tokens_per_event: Number of tokens per event.

    Returns:
      Tokens of the prompt and of the text so far, plus a margin for growth.
    """
    events = count_events(run) + GROWTH_MARGIN_EVENTS
    return run.item.prompt_tokens + events * tokens_per_event


def estimate_final_tokens(run: runs.ItemRun, tokens_per_event: int) -> int:
    """Estimate the tokens that a run holds in memory when it ends."""
    predicted = run.item.prompt_tokens + run.item.length_hint
    return max(predicted, count_tokens(run, tokens_per_event))


def count_events(run: runs.ItemRun) -> int:
    """Count the events of a run's text, over all of its attempts."""
    return 0 if run.last_event is None else run.last_event + 1


class GroupEstimate:
    """Remaining work of a group of items.

    Attributes:
      items_left: Number of items without a result.
      expected_ms: Expected run times of these items in milliseconds, by item
        index.
    """

    __slots__ = ('items_left', 'expected_ms')

    def __init__(self):
        self.items_left = 0
        self.expected_ms: dict[int, int] = {}


def estimate_groups(
    owned: OwnedBatch, tokens_per_event: int, pace_ms: float
) -> dict[str, GroupEstimate]:
    """Estimate the remaining work of each group of a batch.

    Args:
      owned: The batch.
      tokens_per_event: Number of tokens per event.
      pace_ms: Time between two events in milliseconds.

    Returns:
      Estimates by group name; groups without remaining items are omitted.
    """
    groups: dict[str, GroupEstimate] = {}
    for run in owned.runs.values():
        group = groups.setdefault(run.item.group, GroupEstimate())
        group.items_left += 1
        events = estimate_events_left(run, tokens_per_event)
        group.expected_ms[run.index] = int(events * pace_ms)
    return groups


def estimate_events_left(run: runs.ItemRun, tokens_per_event: int) -> int:
    """Estimate the events that a run still has to generate."""
    predicted = run.item.length_hint // tokens_per_event
    return predict_events_left(predicted, count_events(run))


def predict_events_left(predicted: int, generated: int) -> int:
    """Predict the events that a text still needs.

    A text that has exceeded its predicted length may become much longer, so
    the result grows with the number of events generated so far.

    Args:
      predicted: Predicted number of events of the whole text.
      generated: Number of events so far.

    Returns:
      Number of events, at least 1.
    """
    return max(predicted - generated, generated // 2, 1)


def build_run(state: fold.BatchState, item, index: int) -> runs.ItemRun:
    """Build a run that resumes after the item's text in the log."""
    run = runs.ItemRun(item, index)
    saved = state.progress.get(index)
    if not saved:
        return run
    run.failures = saved[-1].failures
    if saved[-1].last_event >= 0:
        # A saved text holds several events, joined like the texts of a run.
        run.texts = [
            records.unpack_text(part.text)
            for part in saved
            if part.last_event != part.after
        ]
        run.last_event = saved[-1].last_event
        run.versions = set(saved[-1].versions)
        run.release = saved[-1].release
        run.complete = saved[-1].complete
        run.sources = [
            (part.after + 1, part.piece.writer if part.piece else '')
            for part in saved
        ]
        if saved[-1].piece is not None:
            run.saved_event = saved[-1].last_event
            run.saved_texts = len(run.texts)
            run.saved_versions = set(saved[-1].versions)
            run.saved_piece = saved[-1].piece
    return run


def list_unsaved_runs(owned: OwnedBatch) -> list[runs.ItemRun]:
    """List the running items with text that has not been saved yet."""
    return [
        owned.runs[index]
        for index in owned.running
        if len(owned.runs[index].texts) > owned.runs[index].saved_texts
    ]


def list_runs_behind_log(owned: OwnedBatch) -> list[runs.ItemRun]:
    """List the runs whose text in the log is longer than in memory.

    The text in the log must be complete, or longer by more than
    MIN_RESUME_GAIN_EVENTS events. This happens when the previous owner saved
    its texts only after this gateway had claimed the batch.
    """
    return [
        owned.runs[index]
        for index, saved in owned.state.progress.items()
        if index in owned.runs
        and saved
        and _is_run_behind(owned.runs[index], saved[-1])
    ]


def _is_run_behind(run: runs.ItemRun, saved: records.Progress) -> bool:
    if run.complete:
        return False
    if saved.complete:
        return True
    if saved.release is not None and saved.release == run.given_up_release:
        return False
    saved_events = saved.last_event + 1
    return saved_events > count_events(run) + MIN_RESUME_GAIN_EVENTS


def resume_from_log(owned: OwnedBatch, run: runs.ItemRun) -> None:
    """Resume a run after the item's text in the log."""
    saved = build_run(owned.state, run.item, run.index)
    run.resume_from(saved)
    run.saved_event = saved.saved_event
    run.saved_texts = saved.saved_texts
    run.saved_versions = saved.saved_versions
    run.saved_piece = saved.saved_piece
    run.failures = max(run.failures, saved.failures)


def checkpoint_run(
    batch_id: str, run: runs.ItemRun, piece: lineage.PieceId
) -> records.Progress:
    """Build the record of a run's unsaved text and mark the text as saved.

    Args:
      batch_id: Id of the batch.
      run: The run.
      piece: Id of the new piece of the text.

    Returns:
      The record.
    """
    last = -1 if run.last_event is None else run.last_event
    progress = records.Progress(
        batch_id,
        run.index,
        run.saved_event,
        last,
        records.pack_text('\n'.join(run.texts[run.saved_texts :])),
        sorted(run.versions),
        run.failures,
        complete=run.complete,
        release=run.release,
        versions_before=sorted(run.saved_versions),
        piece=piece,
        continues=run.saved_piece if run.saved_event >= 0 else None,
    )
    run.saved_piece = piece
    run.saved_event = last
    run.saved_texts = len(run.texts)
    run.saved_versions = set(run.versions)
    return progress


def build_result(
    run: runs.ItemRun, outcome, score: str = ''
) -> batch.ItemResult:
    """Build the result of a finished run."""
    return batch.ItemResult(
        run.index,
        outcome,
        records.pack_text(run.text),
        sorted(run.versions),
        score=score,
    )


def is_same_item(first: batch.Item, second: batch.Item) -> bool:
    """Tell whether two items with the same id have the same path and body."""
    return first.path == second.path and records.hash_body(
        first
    ) == records.hash_body(second)


def has_same_reward(first: batch.Item, second: batch.Item) -> bool:
    """Tell whether two items have the same reward call, or both none."""
    if first.reward is None or second.reward is None:
        return first.reward is second.reward
    return records.strip_body(first.reward) == records.strip_body(
        second.reward
    )


def is_reusable(
    run: runs.ItemRun,
    item: batch.Item,
    result: batch.ItemResult,
    constraints: runs.Constraints,
) -> bool:
    """Tell whether a result of another batch may be reused for a run.

    Args:
      run: The run.
      item: Item of the other batch to which the result belongs.
      result: Result of the other batch.
      constraints: Constraints on the generation of the run.

    Returns:
      Whether the item and its reward call are the same, the result succeeded
      and its weight versions satisfy the constraints.
    """
    if result.outcome is not batch.Outcome.SUCCEEDED:
        return False
    if not is_same_item(item, run.item):
        return False
    if not has_same_reward(item, run.item):
        return False
    if constraints.single_version and len(result.versions) != 1:
        return False
    return all(
        version >= constraints.minimum_version for version in result.versions
    )


def copy_result(result: batch.ItemResult, index: int) -> batch.ItemResult:
    """Copy a result for the same item at another index."""
    return batch.ItemResult(
        index,
        result.outcome,
        result.text,
        result.versions,
        result.place,
        result.further_locations,
        result.score,
    )
