"""Brings items with a complete text to their result.

The text of an item without a reward call is its result. Other texts are saved
as complete while their score is fetched: an owner that claims the batch then
asks for the score alone. The result carries the text and the score of the
same completion, since both come from the same run.
"""

import asyncio
import time

from auburnroad_gateway.batches import owned_batches
from auburnroad_gateway.batches import run as runs
from auburnroad_gateway.batches import timeline
from auburnroad_gateway.completion import finisher
from auburnroad_gateway.completion import reward_calls
from auburnroad_gateway.model import batch
from auburnroad_gateway.telemetry import events
from auburnroad_gateway.telemetry import metrics


class ItemScoring:
    """Fetches the scores of complete texts and appends the results."""

    __slots__ = ('_finisher', '_reward_caller')

    def __init__(
        self,
        item_finisher: finisher.ItemFinisher,
        reward_caller: reward_calls.RewardCaller,
    ):
        self._finisher = item_finisher
        self._reward_caller = reward_caller

    def finish_text(
        self, owned: owned_batches.OwnedBatch, run: runs.ItemRun
    ) -> None:
        """Finish an item whose text has just become complete."""
        run.complete = True
        if run.item.reward is not None:
            self._finisher.save(owned, [run])
        self._start(owned, run)

    def start_waiting(self, owned: owned_batches.OwnedBatch) -> None:
        """Finish the waiting items whose text was complete already.

        Their texts come from the log or from an earlier batch.
        """
        for run in [run for run in owned.waiting.values() if run.complete]:
            del owned.waiting[run.index]
            self._start(owned, run)

    def _start(
        self, owned: owned_batches.OwnedBatch, run: runs.ItemRun
    ) -> None:
        if run.item.reward is None:
            self._append_result(owned, run, '')
        else:
            owned.timeline.enter(
                run.index, timeline.Phase.SCORING, time.monotonic()
            )
            owned.scoring[run.index] = asyncio.create_task(
                self._score(owned, run)
            )

    async def _score(
        self, owned: owned_batches.OwnedBatch, run: runs.ItemRun
    ) -> None:
        started = time.monotonic()
        metrics.ITEMS_WAITING_FOR_SCORE.inc()
        try:
            score = await self._reward_caller.fetch_score(
                run.item.reward,
                owned.state.submitted_ms + owned.route.due_ms,
                owned.route.max_attempts,
            )
        except reward_calls.RewardFailedError:
            # The task must not be cancelled by the result that it appends.
            del owned.scoring[run.index]
            self._finisher.terminate(owned, run, 'reward call failed')
            return
        finally:
            metrics.ITEMS_WAITING_FOR_SCORE.dec()
        del owned.scoring[run.index]
        events.write(
            'item_scored',
            batch=owned.state.id,
            item=run.item.id,
            reward=run.item.reward.id,
            took_ms=int((time.monotonic() - started) * 1000),
        )
        self._append_result(owned, run, score)

    def _append_result(
        self, owned: owned_batches.OwnedBatch, run: runs.ItemRun, score: str
    ) -> None:
        self._finisher.append_result(
            owned,
            owned_batches.build_result(run, batch.Outcome.SUCCEEDED, score),
        )
