"""Answers reads of batches, the same at every gateway.

What this gateway has folded can be given out at once, since positions and
contents never change. That something does not exist is said only after the
log was read to its present end.
"""

import asyncio

from auburnroad_core import clock
from auburnroad_core.http import messages
from auburnroad_gateway import adapter as adapters
from auburnroad_gateway.batches import fold
from auburnroad_gateway.batches import journal
from auburnroad_gateway.batches import records
from auburnroad_gateway.forwarding import refusals
from auburnroad_gateway.log import appender
from auburnroad_gateway.log import service
from auburnroad_gateway.model import call

# Most bytes of the texts in one page.
PAGE_BYTES = 900_000
# A reader is kept waiting for at most so long.
WAIT_MOST_MS = 1000
# How long the end of a batch waits for a log service that is away.
END_SECONDS = 1.5
SYNC_SECONDS = 1.0
# "No result yet" is said only if all that was there so long ago is folded:
# below the second after which readers rely on what others were shown.
FRESH_SECONDS = 0.6
RETRY_SECONDS = 0.5


class Reader:
    """Answers calls on existing batches."""

    __slots__ = ('_adapter', '_journal', '_waiters')

    def __init__(
        self, adapter: adapters.Adapter, batch_journal: journal.Journal
    ):
        self._adapter = adapter
        self._journal = batch_journal
        self._waiters: dict[str, asyncio.Event] = {}
        batch_journal.fold.on_change(self._wake)

    async def handle(self, request: call.BatchCall) -> messages.Response:
        """Answer a call.

        Args:
          request: The decoded call.

        Returns:
          The answer; 404 only if no such batch exists for certain.
        """
        return await _VERBS[request.verb](self, request)

    async def read(self, request: call.BatchCall) -> messages.Response:
        """Answer a read of results."""
        found = await self._find(request.batch_id)
        if isinstance(found, messages.Response):
            return found
        if request.position >= len(found.results):
            await self._wait(found, request)
        if request.position >= len(found.results):
            # Another gateway may have shown what isn't folded here yet.
            if not await self._make_fresh(request.batch_id):
                return refusals.refuse('log_away', RETRY_SECONDS)
        try:
            async with asyncio.timeout(SYNC_SECONDS):
                return await self._build_page(found, request.position)
        except (service.LogError, TimeoutError):
            return refusals.refuse('log_away', RETRY_SECONDS)

    async def read_body(self, request: call.BatchCall) -> messages.Response:
        """Answer a read of an item's body."""
        found = await self._find(request.batch_id)
        if isinstance(found, messages.Response):
            return found
        for index, item in enumerate(found.submission.items):
            if item.id == request.item_id:
                return await self._answer_body(found, index)
        return refusals.build_error(404, 'no_such_item')

    async def end(self, request: call.BatchCall) -> messages.Response:
        """Answer the end of a batch."""
        found = await self._find(request.batch_id)
        if isinstance(found, messages.Response):
            return found
        if found.ended:
            return messages.Response(200)
        record = records.encode(records.End(request.batch_id))
        try:
            await self._journal.append(request.batch_id, [record], END_SECONDS)
        except appender.AppendTimeoutError:
            return refusals.build_error(504, 'log_away')
        return messages.Response(200)

    async def _answer_body(
        self, found: fold.Batch, index: int
    ) -> messages.Response:
        try:
            async with asyncio.timeout(SYNC_SECONDS):
                bodies = await self._journal.read_bodies(found)
        except (service.LogError, TimeoutError):
            return refusals.refuse('log_away', RETRY_SECONDS)
        return messages.Response(200, {}, bodies[index])

    async def _find(self, batch_id: str) -> fold.Batch | messages.Response:
        batches = self._journal.fold.batches
        if batch_id not in batches:
            if not await self._sync(batch_id):
                return refusals.refuse('log_away', RETRY_SECONDS)
        if batch_id not in batches:
            return refusals.build_error(404, 'no_such_batch')
        return batches[batch_id]

    async def _make_fresh(self, batch_id: str) -> bool:
        """Fold what others may have shown; tell whether that is done."""
        known = self._journal.find_complete_at(batch_id)
        if clock.time_boot_seconds() - known <= FRESH_SECONDS:
            return True
        return await self._sync(batch_id)

    async def _sync(self, batch_id: str) -> bool:
        """Read the log to its end; tell whether that was possible."""
        try:
            async with asyncio.timeout(SYNC_SECONDS):
                await self._journal.catch_up(batch_id)
        except (service.LogError, TimeoutError):
            return False
        return True

    async def _wait(self, found: fold.Batch, request: call.BatchCall) -> None:
        """Wait for the first result from the position on."""
        wait_seconds = min(request.wait_ms, WAIT_MOST_MS) / 1000
        try:
            async with asyncio.timeout(wait_seconds):
                while len(found.results) <= request.position:
                    if not found.open:
                        return
                    waiter = self._waiters.setdefault(
                        found.id, asyncio.Event()
                    )
                    await waiter.wait()
        except TimeoutError:
            return

    def _wake(self, changed: fold.Batch) -> None:
        waiter = self._waiters.pop(changed.id, None)
        if waiter is not None:
            waiter.set()

    async def _build_page(
        self, found: fold.Batch, position: int
    ) -> messages.Response:
        items = found.submission.items
        page = []
        size = 0
        for result in found.results[position:]:
            text = await self._journal.read_text(result)
            size += len(text)
            if page and size > PAGE_BYTES:
                break
            page.append(
                (
                    items[result.index].id,
                    result.outcome.value,
                    text,
                    result.versions,
                )
            )
        return self._adapter.build_results_page(
            len(items), position + len(page), page
        )


_VERBS = {
    call.BatchVerb.READ: Reader.read,
    call.BatchVerb.READ_BODY: Reader.read_body,
    call.BatchVerb.END: Reader.end,
}
