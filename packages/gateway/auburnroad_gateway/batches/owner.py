"""Runs the batches of this gateway and takes over orphaned batches.

The owner of a batch is recorded in the log. Results are log records too, and
only the first result of an item counts, so a former owner that has not read
the claim on its batch yet can at worst waste work.
"""

import asyncio
import time

from auburnroad_core import clock
from auburnroad_gateway.batches import claimer
from auburnroad_gateway.batches import fold
from auburnroad_gateway.batches import item_placement
from auburnroad_gateway.batches import journal
from auburnroad_gateway.batches import moves
from auburnroad_gateway.batches import owned_batches
from auburnroad_gateway.batches import partial_runs
from auburnroad_gateway.batches import reuse
from auburnroad_gateway.batches import run as runs
from auburnroad_gateway.batches import timeline
from auburnroad_gateway.batches import workload
from auburnroad_gateway.completion import finisher
from auburnroad_gateway.completion import reward_calls
from auburnroad_gateway.completion import scoring
from auburnroad_gateway.configuration import currency as currencies
from auburnroad_gateway.directory import placement
from auburnroad_gateway.log import service
from auburnroad_gateway.members import permits as all_permits
from auburnroad_gateway.telemetry import events
from auburnroad_gateway.telemetry import metrics
from auburnroad_gateway.weights import duty

# Interval of the checks for stalled runs, expired items and orphaned batches.
TICK_SECONDS = 0.1
# Time after which an item is sent again that asks for other weights than its
# replica has.
UNMET_RETRY_SECONDS = 0.5
# Time for which batches stay readable after the promised read life.
EXPIRY_MARGIN_MS = 10_000


class Owner:
    """Starts, monitors and finishes the runs of owned batches.

    Attributes:
      stopping: Whether this gateway is shutting down; it then neither claims
        nor starts further batches.
    """

    __slots__ = (
        '_settings',
        '_adapter',
        '_client',
        '_journal',
        '_membership',
        '_configuration',
        '_currency',
        '_directory',
        '_permits',
        '_placement',
        '_owned',
        '_claimer',
        '_resume_tasks',
        '_partial_runs',
        '_finisher',
        '_scoring',
        '_workload',
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
        currency: currencies.Currency,
        replicas,
        reward_caller: reward_calls.RewardCaller,
        permits: all_permits.Permits,
    ):
        self._settings = settings
        self._adapter = adapter
        self._client = http_client
        self._journal = batch_journal
        self._membership = membership
        self._configuration = holder
        self._currency = currency
        self._directory = replicas
        self._permits = permits
        self._placement = item_placement.ItemPlacement(
            holder, replicas, settings.failure_domain
        )
        self._owned: dict[str, owned_batches.OwnedBatch] = {}
        self._workload = workload.Workload(batch_journal.fold, self._owned)
        self._wake = asyncio.Event()
        self._partial_runs = partial_runs.PartialRunCache()
        self._claimer = claimer.BatchClaimer(
            batch_journal, membership, duties, holder, self._start_batch
        )
        self._resume_tasks: dict[str, asyncio.Task] = {}
        self._finisher = finisher.ItemFinisher(
            batch_journal, membership.incarnation
        )
        self._scoring = scoring.ItemScoring(self._finisher, reward_caller)
        self.stopping = False
        batch_journal.fold.on_change(self._handle_change)
        membership.on_change(self._wake.set)
        replicas.on_change(self._wake.set)

    @property
    def has_running_items(self) -> bool:
        """Whether this gateway runs items or waits for their scores."""
        return any(
            owned.running or owned.scoring for owned in self._owned.values()
        )

    @property
    def waiting_count(self) -> int:
        """Number of items that wait for a slot."""
        return sum(len(owned.waiting) for owned in self._owned.values())

    @property
    def workload(self) -> workload.Workload:
        """Work of the batches that this gateway runs."""
        return self._workload

    async def run(self) -> None:
        """Start and monitor runs until the process ends."""
        tick_at = 0.0
        while True:
            # Under load the wake event is set before each wait below, so the
            # wait never times out and the tick must not depend on the timeout.
            if time.monotonic() >= tick_at:
                tick_at = time.monotonic() + TICK_SECONDS
                self._tick()
            try:
                async with asyncio.timeout(tick_at - time.monotonic()):
                    await self._wake.wait()
            except TimeoutError:
                # The next tick is due.
                pass
            self._wake.clear()
            self._start_runs()

    def move_runs(self) -> None:
        """Move stalled runs and runs on slow or vacating replicas."""
        self._placement.recount_memory(self._owned.values())
        now = time.monotonic()
        for owned in list(self._owned.values()):
            self._move_runs(owned, now)

    def prepare_hand_over(self) -> None:
        """Save every partial text so that the next owner can resume it.

        Runs continue on this gateway until a claim by another gateway has been
        read from the log, since no gateway can claim a batch while the log
        service is unavailable.
        """
        self.stopping = True
        for owned in self._owned.values():
            self._finisher.save_unfinished(owned)

    def _handle_change(self, changed: fold.BatchState) -> None:
        owned = self._owned.get(changed.id)
        if owned is None:
            self._wake.set()
            return
        if changed.ended:
            for run in owned.runs.values():
                self._partial_runs.add(run, changed.account)
            owned.timeline.write(
                changed.id,
                changed.submission,
                clock.time_now_ms() - changed.submitted_ms,
                time.monotonic(),
            )
        elif changed.owner != self._membership.incarnation:
            # The new owner resumes after the last event generated here.
            self._finisher.save_unfinished(owned)
        if changed.ended or changed.owner != self._membership.incarnation:
            owned.stop()
            del self._owned[changed.id]
            return
        for index in changed.finished & owned.runs.keys():
            owned.drop_run(index)
        owned.timeline.note_listed(changed.finished, time.monotonic())
        outdated = owned_batches.list_runs_behind_log(owned)
        if outdated and changed.id not in self._resume_tasks:
            self._resume_tasks[changed.id] = asyncio.create_task(
                self._resume_from_log(owned)
            )

    async def _resume_from_log(self, owned: owned_batches.OwnedBatch) -> None:
        """Resume texts that the previous owner saved after the claim."""
        try:
            await self._journal.load(owned.state)
        except service.LogError as error:
            events.write(
                'batch_not_loaded', batch=owned.state.id, error=str(error)
            )
        else:
            for run in owned_batches.list_runs_behind_log(owned):
                owned.stop_attempt(run)
                owned_batches.resume_from_log(owned, run)
            self._wake.set()
        finally:
            del self._resume_tasks[owned.state.id]

    def _tick(self) -> None:
        if not self._journal.is_loaded:
            return
        metrics.ITEMS_WAITING.set(self.waiting_count)
        now_ms = clock.time_now_ms()
        for owned in list(self._owned.values()):
            self._terminate_expired(owned, now_ms)
        self.move_runs()
        self._finisher.save_long_runs(self._owned.values(), time.monotonic())
        life_ms = int(self._settings.bounds.read_life_s * 1000)
        for batch_id in self._journal.fold.drop_expired(
            now_ms - life_ms - EXPIRY_MARGIN_MS
        ):
            owned = self._owned.pop(batch_id, None)
            if owned is not None:
                owned.stop()

    def _start_batch(self, state: fold.BatchState) -> None:
        """Start an owned batch, reusing results and texts of other batches."""
        route = self._configuration.find_route(state.submission)
        if route is None:
            return
        owned = self._owned[state.id] = owned_batches.OwnedBatch(
            state, route, reuse.find_repeated_groups(self._journal.fold, state)
        )
        for result in reuse.list_reusable_results(self._journal.fold, owned):
            self._finisher.append_result(owned, result)
        reuse.resume_partial_runs(owned, self._partial_runs)
        self._wake.set()

    def _start_runs(self) -> None:
        """Assign free slots to waiting items in sort-key order."""
        if not self.stopping:
            self._claimer.claim_and_load(self._owned)
        queue = []
        now = time.monotonic()
        for owned in self._owned.values():
            route = self._configuration.find_route(owned.state.submission)
            if route is None:
                continue
            owned.route = route
            owned.account = self._configuration.find_account(owned.state)
            self._scoring.start_waiting(owned)
            if not owned.waiting:
                continue
            for name in route.services:
                self._refill_permits(name, now)
            candidates = self._placement.list_ready(route)
            owned.note_waiting(candidates, now)
            if placement.has_free_slot(candidates, now):
                queue.extend(self._placement.list_queue(owned, now))
        queue.sort(key=lambda entry: entry.sort_key)
        search = self._placement.start_search(now)
        # Only slots that no item of their own service takes are for others.
        for find in (
            self._placement.find_slot,
            self._placement.find_other_slot,
        ):
            queue = [
                entry
                for entry in queue
                if not self._start_at(entry, find(entry, search))
            ]

    def _start_at(self, entry: item_placement.QueueEntry, target) -> bool:
        """Start an item at a replica; return whether there was one."""
        if target is None:
            return False
        if entry.run.release not in (None, target.release):
            self._give_up_text(entry.owned, entry.run)
        self._start_attempt(entry.owned, entry.run, target)
        return True

    def _give_up_text(self, owned, run: runs.ItemRun) -> None:
        events.write(
            'item_restarted',
            batch=owned.state.id,
            item=run.item.id,
            release=run.release.software_version,
            events=len(run.texts),
        )
        run.give_up_text()

    def _refill_permits(self, service_name: str, now: float) -> None:
        """Get permits for the replicas that need one."""
        limited = placement.list_limited_with_slot(
            self._directory.list_ready(service_name), now
        )
        if limited:
            self._permits.refill(service_name, limited, self._wake.set)

    def _start_attempt(
        self, owned: owned_batches.OwnedBatch, run: runs.ItemRun, target
    ) -> None:
        del owned.waiting[run.index]
        owned.timeline.enter(
            run.index, timeline.Phase.GENERATING, time.monotonic()
        )
        run.replica = target
        run.progress_at = time.monotonic()
        run.started_at = run.progress_at
        run.restart_at = float('inf')
        target.in_flight += 1
        if target.rate_limit is not None:
            target.use_permit()
            # More permits may be left for this replica.
            self._wake.set()
        self._placement.add_memory(run)
        owned.running[run.index] = asyncio.ensure_future(
            self._run_attempt(owned, run)
        )

    async def _run_attempt(
        self, owned: owned_batches.OwnedBatch, run: runs.ItemRun
    ) -> None:
        target = run.replica
        try:
            end = await runs.run_attempt(
                self._client, self._adapter, run, owned.constraints
            )
        except Exception as error:
            # What a replica answers must not leave the item without a run.
            events.write_error(
                'item_attempt_failed',
                error,
                batch=owned.state.id,
                item=run.item.id,
                replica=target.id,
            )
            target.note_failure(time.monotonic())
            end = runs.AttemptEnd.BROKEN
        finally:
            target.in_flight -= 1
            if not target.in_flight:
                target.tokens = target.final_tokens = 0
            self._wake.set()
        if owned.running.pop(run.index, None) is not None:
            self._finish_attempt(owned, run, target, end)

    def _finish_attempt(
        self, owned, run, target, end: runs.AttemptEnd
    ) -> None:
        metrics.RUNS.labels(end.value).inc()
        if end is runs.AttemptEnd.DONE:
            metrics.RUN_SECONDS.observe(time.monotonic() - run.started_at)
            events.write(
                'item_done',
                batch=owned.state.id,
                item=run.item.id,
                replica=target.id,
                events=len(run.texts),
                versions=sorted(run.versions),
                sources=run.sources,
                software_version=target.release.software_version,
                took_ms=int((time.monotonic() - run.started_at) * 1000),
                reward=run.item.reward.id if run.item.reward else '',
            )
            self._scoring.finish_text(owned, run)
            return
        if end is runs.AttemptEnd.FAILED:
            run.failures += 1
        exhausted = run.failures >= owned.route.max_attempts
        if end is runs.AttemptEnd.IMPOSSIBLE or exhausted:
            self._finisher.terminate(owned, run, end.value)
            return
        if end is runs.AttemptEnd.FAILED:
            self._finisher.save(owned, [run])
        if end is runs.AttemptEnd.UNMET:
            run.not_before = time.monotonic() + UNMET_RETRY_SECONDS
        if end is not runs.AttemptEnd.NOT_RUN:
            events.write(
                'item_attempt_ended',
                batch=owned.state.id,
                item=run.item.id,
                replica=target.id,
                how=end.value,
                events=len(run.texts),
                failures=run.failures,
            )
        owned.put_back(run)

    def _terminate_expired(
        self, owned: owned_batches.OwnedBatch, now_ms: int
    ) -> None:
        """Terminate the items of a batch that is too old or has no route.

        A newer configuration that this gateway hasn't read may have the route
        again, or let items wait for longer.
        """
        if not self._currency.is_recent:
            return
        reason = ''
        if self._configuration.find_route(owned.state.submission) is None:
            reason = 'route removed'
        elif now_ms >= owned.state.submitted_ms + owned.route.give_up_ms:
            reason = 'too old'
        if reason:
            for run in list(owned.runs.values()):
                self._finisher.terminate(owned, run, reason)

    def _move_runs(self, owned: owned_batches.OwnedBatch, now: float) -> None:
        """Move stalled runs and runs on slow or vacating replicas."""
        paces = {
            name: self._measure_paces(owned, name, now)
            for name in {
                owned.runs[index].replica.registration.service
                for index in owned.running
            }
        }
        for index in list(owned.running):
            run = owned.runs[index]
            service_name = run.replica.registration.service
            if moves.is_stalled(run, now):
                run.replica.note_failure(now)
                reason = 'stalled'
            else:
                reason = moves.find_move_reason(
                    run,
                    self._placement.build_need(owned, run, service_name),
                    self._directory,
                    self._settings.failure_domain,
                    bool(self.waiting_count),
                    paces[service_name],
                    now,
                )
            if reason:
                self._move(owned, run, reason)
                # Assign the free slot before the next run is checked, so that
                # only one run is moved for each slot.
                self._start_runs()

    def _measure_paces(
        self, owned, service_name: str, now: float
    ) -> placement.Paces:
        submission = owned.state.submission
        fresh = placement.list_with_minimum_version(
            self._directory.list_ready(service_name),
            submission.model,
            submission.minimum_version,
        )
        return placement.measure_paces(fresh, now)

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
        owned.stop_attempt(run)
