"""Runs the batches that this gateway owns, and takes over orphaned ones.

The log says who owns a batch. Results are records too, and the first one of
an item counts, so a former owner that doesn't know yet wastes work at most.
"""

import asyncio
import time

from auburnroad_core import clock
from auburnroad_gateway.batches import adoption
from auburnroad_gateway.batches import carried
from auburnroad_gateway.batches import fold
from auburnroad_gateway.batches import journal
from auburnroad_gateway.batches import leftovers
from auburnroad_gateway.batches import moves
from auburnroad_gateway.batches import ordering
from auburnroad_gateway.batches import owned as owned_batches
from auburnroad_gateway.batches import run as runs
from auburnroad_gateway.directory import placement
from auburnroad_gateway.log import service
from auburnroad_gateway.model import batch
from auburnroad_gateway.model import configuration
from auburnroad_gateway.telemetry import events
from auburnroad_gateway.telemetry import metrics
from auburnroad_gateway.weights import duty

# How often stalled runs, expired items and orphaned batches are looked for.
TICK_SECONDS = 0.1
# How often the texts of runs that last longer are saved.
SAVE_SECONDS = 0.8
# Time between two events until it was measured, in milliseconds: that of a
# replica of the present deployments with half its slots taken.
USUAL_PACE_MS = 48.0
# Batches stay readable a little longer than promised.
FORGET_SLACK_MS = 10_000


class Owner:
    """Starts, watches and finishes the runs of owned batches."""

    __slots__ = (
        '_settings',
        '_adapter',
        '_client',
        '_journal',
        '_membership',
        '_configuration',
        '_directory',
        '_owned',
        '_adoption',
        '_catching_up',
        '_leftovers',
        '_saved_at',
        '_wake',
        'stopping',
    )

    def __init__(
        self,
        settings,
        adapter,
        http_client,
        batch_journal: journal.Journal,
        membership,
        duties: duty.Duties,
        holder,
        replicas,
    ):
        self._settings = settings
        self._adapter = adapter
        self._client = http_client
        self._journal = batch_journal
        self._membership = membership
        self._configuration = holder
        self._directory = replicas
        self._owned: dict[str, owned_batches.OwnedBatch] = {}
        self._wake = asyncio.Event()
        self._leftovers = leftovers.Leftovers()
        self._adoption = adoption.Adoption(
            batch_journal, membership, duties, holder, self._begin
        )
        self._catching_up: dict[str, asyncio.Task] = {}
        self._saved_at = 0.0
        self.stopping = False
        batch_journal.fold.on_change(self._handle_change)
        membership.on_change(self._wake.set)
        replicas.on_change(self._wake.set)

    @property
    def busy(self) -> bool:
        """Whether items are running here."""
        return any(owned.running for owned in self._owned.values())

    @property
    def waiting(self) -> int:
        """How many items wait for a slot."""
        return sum(len(owned.waiting) for owned in self._owned.values())

    async def run(self) -> None:
        """Work for as long as the process lives."""
        tick_at = 0.0
        while True:
            # Under load something wakes this loop all the time.
            if time.monotonic() >= tick_at:
                tick_at = time.monotonic() + TICK_SECONDS
                self._tick()
            try:
                async with asyncio.timeout(tick_at - time.monotonic()):
                    await self._wake.wait()
            except TimeoutError:
                # Time for the next look.
                pass
            self._wake.clear()
            self._start_runs()

    def estimate_work(self, models: tuple[str, ...]) -> dict[str, float]:
        """Estimate the work of models by the newest batch of each.

        Args:
          models: Models of one service.

        Returns:
          Expected tokens by model; the mean for a model without a batch.
        """
        if len(models) <= 1:
            return dict.fromkeys(models, 1.0)
        known: dict[str, float] = {}
        for state in reversed(self._journal.fold.batches.values()):
            submission = state.submission
            if submission.model in models and submission.model not in known:
                known[submission.model] = float(
                    sum(item.length_hint or 1 for item in submission.items)
                )
            if len(known) == len(models):
                break
        mean = sum(known.values()) / len(known) if known else 1.0
        return {model: known.get(model, mean) for model in models}

    def count_waiting(self, model: str, version: int) -> int:
        """Count the waiting items that older weights may generate, too.

        Args:
          model: The model.
          version: Weight version.

        Returns:
          Items of the model that wait for a slot and allow an older version.
        """
        return sum(
            len(owned.waiting)
            for owned in self._owned.values()
            if owned.state.submission.model == model
            and owned.state.submission.minimum_version < version
        )

    def look(self) -> None:
        """Look for runs that are better off elsewhere, now."""
        self._count_memory()
        now = time.monotonic()
        for owned in list(self._owned.values()):
            self._watch(owned, now)

    def hand_over(self) -> None:
        """Save every text, so that the next owner goes on with it.

        Runs go on here until the log shows that somebody else has taken
        their batch: while the log is away nobody can.
        """
        self.stopping = True
        for owned in self._owned.values():
            self._save(owned, owned_batches.list_gained(owned))

    def _handle_change(self, changed: fold.Batch) -> None:
        owned = self._owned.get(changed.id)
        if owned is None:
            self._wake.set()
            return
        if changed.ended:
            for run in owned.runs.values():
                self._leftovers.keep(run)
        elif changed.owner != self._membership.incarnation:
            # Whoever has claimed it goes on behind all that was made here.
            self._save(owned, owned_batches.list_gained(owned))
        if changed.ended or changed.owner != self._membership.incarnation:
            owned.stop()
            del self._owned[changed.id]
            return
        for index in changed.finished & owned.runs.keys():
            self._drop_run(owned, index)
        behind = owned_batches.list_behind(owned)
        if behind and changed.id not in self._catching_up:
            self._catching_up[changed.id] = asyncio.create_task(
                self._catch_up(owned)
            )

    async def _catch_up(self, owned: owned_batches.OwnedBatch) -> None:
        """Go on behind what the owner before has saved after our claim."""
        try:
            await self._journal.load(owned.state)
        except service.LogError as error:
            events.write(
                'batch_not_loaded', batch=owned.state.id, error=str(error)
            )
        else:
            for run in owned_batches.list_behind(owned):
                self._stop_attempt(owned, run)
                owned_batches.resume_saved(owned, run)
            self._wake.set()
        finally:
            del self._catching_up[owned.state.id]

    def _stop_attempt(self, owned, run: runs.ItemRun) -> None:
        """End a run's attempt, if it has one; it waits for a place."""
        task = owned.running.pop(run.index, None)
        if task is not None:
            task.cancel()
            owned.waiting[run.index] = run

    def _drop_run(self, owned: owned_batches.OwnedBatch, index: int) -> None:
        owned.runs.pop(index, None)
        owned.waiting.pop(index, None)
        task = owned.running.pop(index, None)
        if task is not None:
            task.cancel()

    def _tick(self) -> None:
        if not self._journal.loaded:
            return
        metrics.ITEMS_WAITING.set(self.waiting)
        now_ms = clock.time_now_ms()
        for owned in list(self._owned.values()):
            self._give_up(owned, now_ms)
        self.look()
        self._save_long_runs(time.monotonic())
        life_ms = int(self._settings.bounds.read_life_s * 1000)
        for batch_id in self._journal.fold.forget(
            now_ms - life_ms - FORGET_SLACK_MS
        ):
            owned = self._owned.pop(batch_id, None)
            if owned is not None:
                owned.stop()

    def _begin(self, state: fold.Batch) -> None:
        """Run a batch that is ours, with what earlier ones have of it."""
        route = self._configuration.find_route(state.submission)
        if route is None:
            return
        owned = self._owned[state.id] = owned_batches.OwnedBatch(
            state, route, carried.find_groups(self._journal.fold, state)
        )
        for result in carried.list_results(self._journal.fold, owned):
            self._append_result(owned, result)
        carried.resume_texts(owned, self._leftovers)
        self._wake.set()

    def _start_runs(self) -> None:
        """Give free slots to waiting items, in order."""
        if not self.stopping:
            self._adoption.adopt(self._owned)
        queue = []
        for owned in self._owned.values():
            route = self._configuration.find_route(owned.state.submission)
            if route is None:
                continue
            owned.route = route
            if owned.waiting:
                queue.extend(self._list_waiting(owned))
        queue.sort(key=lambda entry: entry[0])
        full = set()
        now = time.monotonic()
        for _, owned, run in queue:
            service = owned.route.backends[0].service
            need = self._build_need(owned, run)
            key = (service, need.model, need.minimum_version)
            if key in full:
                continue
            target = placement.choose_for_item(
                self._directory.list_ready(service),
                self._settings.failure_domain,
                need,
                now,
            )
            if target is None:
                full.add(key)
                continue
            self._start(owned, run, target)

    def _build_need(self, owned, run: runs.ItemRun) -> placement.Need:
        submission = owned.state.submission
        service = self._find_service(owned)
        return placement.Need(
            submission.model,
            submission.minimum_version,
            owned_batches.count_tokens(run, service.tokens_per_event),
            owned_batches.count_final_tokens(run, service.tokens_per_event),
            service.memory_tokens,
        )

    def _find_service(self, owned) -> configuration.Service:
        name = owned.route.backends[0].service
        known = self._configuration.current.services.get(name)
        return known or configuration.Service(name)

    def _count_memory(self) -> None:
        """Count anew the tokens that running items hold in each replica."""
        running = [
            (owned, owned.runs[index])
            for owned in self._owned.values()
            for index in owned.running
        ]
        for _, run in running:
            run.replica.tokens = run.replica.final_tokens = 0
        for owned, run in running:
            self._add_memory(owned, run)

    def _add_memory(self, owned, run: runs.ItemRun) -> None:
        per_event = self._find_service(owned).tokens_per_event
        run.replica.tokens += owned_batches.count_tokens(run, per_event)
        run.replica.final_tokens += owned_batches.count_final_tokens(
            run, per_event
        )

    def _list_waiting(self, owned: owned_batches.OwnedBatch):
        due_ms = owned.state.submitted_ms + owned.route.due_ms
        service = self._find_service(owned)
        pace_ms = placement.find_median_pace(
            self._directory.list_ready(service.name), time.monotonic()
        )
        groups = owned_batches.measure_groups(
            owned, service.tokens_per_event, pace_ms or USUAL_PACE_MS
        )
        for run in owned.waiting.values():
            group = groups[run.item.group]
            entry = ordering.Waiting(
                due_ms,
                run.item.group in owned.carried,
                group.left,
                group.expected_ms[run.index],
                run.index,
            )
            yield ordering.build_sort_key(entry), owned, run

    def _start(
        self, owned: owned_batches.OwnedBatch, run: runs.ItemRun, target
    ) -> None:
        del owned.waiting[run.index]
        run.replica = target
        run.progress_at = time.monotonic()
        run.started_at = run.progress_at
        target.in_flight += 1
        self._add_memory(owned, run)
        owned.running[run.index] = asyncio.ensure_future(
            self._attempt(owned, run)
        )

    async def _attempt(
        self, owned: owned_batches.OwnedBatch, run: runs.ItemRun
    ) -> None:
        target = run.replica
        try:
            end = await runs.run_attempt(
                self._client, self._adapter, run, owned.terms
            )
        finally:
            target.in_flight -= 1
            if not target.in_flight:
                target.tokens = target.final_tokens = 0
            self._wake.set()
        if owned.running.pop(run.index, None) is not None:
            self._finish_attempt(owned, run, target, end)

    def _finish_attempt(self, owned, run, target, end: runs.RunEnd) -> None:
        metrics.RUNS.labels(end.value).inc()
        if end is runs.RunEnd.DONE:
            metrics.RUN_SECONDS.observe(time.monotonic() - run.started_at)
            events.write(
                'item_done',
                batch=owned.state.id,
                item=run.item.id,
                replica=target.id,
                events=len(run.texts),
                versions=sorted(run.versions),
                took_ms=int((time.monotonic() - run.started_at) * 1000),
            )
            self._append_result(
                owned, owned_batches.build_result(run, batch.Outcome.SUCCEEDED)
            )
            return
        if end is runs.RunEnd.FAILED:
            run.failures += 1
        exhausted = run.failures >= owned.route.max_attempts
        if end is runs.RunEnd.IMPOSSIBLE or exhausted:
            self._terminate(owned, run, end.value)
            return
        if end is runs.RunEnd.FAILED:
            self._save(owned, [run])
        if end is not runs.RunEnd.NOT_RUN:
            events.write(
                'item_attempt_ended',
                batch=owned.state.id,
                item=run.item.id,
                replica=target.id,
                how=end.value,
                events=len(run.texts),
                failures=run.failures,
            )
        owned.waiting[run.index] = run

    def _terminate(self, owned, run: runs.ItemRun, reason: str) -> None:
        events.write(
            'item_terminated',
            batch=owned.state.id,
            item=run.item.id,
            reason=reason,
            failures=run.failures,
        )
        self._append_result(
            owned, owned_batches.build_result(run, batch.Outcome.TERMINATED)
        )

    def _append_result(self, owned, result: batch.ItemResult) -> None:
        self._drop_run(owned, result.index)
        self._journal.add_result(owned.state.id, result)

    def _save_long_runs(self, now: float) -> None:
        """Save all longer runs at once, which takes one append a batch."""
        if now - self._saved_at < SAVE_SECONDS:
            return
        self._saved_at = now
        for owned in self._owned.values():
            self._save(
                owned,
                [
                    run
                    for run in owned_batches.list_gained(owned)
                    if now - run.started_at > SAVE_SECONDS
                ],
            )

    def _save(
        self, owned: owned_batches.OwnedBatch, running: list[runs.ItemRun]
    ) -> None:
        """Save what runs have gained since they were last saved."""
        if running:
            self._journal.add_progress(
                [
                    owned_batches.take_progress(owned.state.id, run)
                    for run in running
                ]
            )

    def _give_up(self, owned: owned_batches.OwnedBatch, now_ms: int) -> None:
        """Terminate what may not be run any more, or is too old."""
        reason = ''
        if self._configuration.find_route(owned.state.submission) is None:
            reason = 'route removed'
        elif now_ms >= owned.state.submitted_ms + owned.route.give_up_ms:
            reason = 'too old'
        if reason:
            for run in list(owned.runs.values()):
                self._terminate(owned, run, reason)

    def _watch(self, owned: owned_batches.OwnedBatch, now: float) -> None:
        """Move runs that stall or crawl."""
        submission = owned.state.submission
        fresh = placement.list_fresh(
            self._directory.list_ready(owned.route.backends[0].service),
            submission.model,
            submission.minimum_version,
        )
        paces = placement.measure_paces(fresh, now)
        for index in list(owned.running):
            run = owned.runs[index]
            if moves.is_stalled(run, now):
                run.replica.note_failure(now)
                reason = 'stalled'
            else:
                reason = moves.find_reason(
                    run,
                    self._build_need(owned, run),
                    self._directory,
                    self._settings.failure_domain,
                    bool(self.waiting),
                    paces,
                    now,
                )
            if reason:
                self._move(owned, run, reason)
                # The place that it was moved for must not be promised twice.
                self._start_runs()

    def _move(self, owned, run: runs.ItemRun, reason: str) -> None:
        events.write(
            'item_moved',
            batch=owned.state.id,
            item=run.item.id,
            replica=run.replica.id,
            reason=reason,
            events=len(run.texts),
            pace_ms=round(run.replica.find_pace(time.monotonic()), 1),
        )
        self._stop_attempt(owned, run)
