"""Answers calls on batches consistently at all gateways.

Results that this gateway has folded can be returned immediately, since their
positions and contents never change. The response that a batch or a result
does not exist is sent only after the log has been read to its current end.

A batch belongs to the account that submitted it. To other accounts, it must
look as if it didn't exist, also while the log can't be read.
"""

import asyncio

from auburnroad_core import clock
from auburnroad_core.http import messages
from auburnroad_gateway import adapter as adapters

from auburnroad_gateway.accounts import control
from auburnroad_gateway.batches import fold
from auburnroad_gateway.batches import journal
from auburnroad_gateway.batches import records
from auburnroad_gateway.forwarding import refusals
from auburnroad_gateway.log import appender
from auburnroad_gateway.log import service
from auburnroad_gateway.model import batch
from auburnroad_gateway.model import call

# Maximum size of the texts in one page. If the first text is larger, the page
# contains only this text.
MAX_PAGE_BYTES = 900_000
# Maximum time for which a read waits for a result.
MAX_WAIT_MS = 1000
# Timeout of ending a batch while the log service is unavailable.
END_TIMEOUT_SECONDS = 1.5
LOG_READ_TIMEOUT_SECONDS = 1.0
# Maximum age of the folded state from which a read may return no results.
# Readers expect every gateway to return a result 1 second after any gateway
# has returned it, so the limit is below 1 second.
MAX_STATE_AGE_SECONDS = 0.6
RETRY_AFTER_SECONDS = 0.5


class Reader:
    """Handles calls on existing batches."""

    __slots__ = ('_adapter', '_journal', '_access', '_waiters')

    def __init__(
        self,
        adapter: adapters.Adapter,
        batch_journal: journal.Journal,
        access_control: control.AccessControl,
    ):
        self._adapter = adapter
        self._journal = batch_journal
        self._access = access_control
        self._waiters: dict[str, asyncio.Event] = {}
        batch_journal.fold.on_change(self._wake)

    async def handle(
        self, request: call.BatchCall, head: call.CallHead
    ) -> messages.Response:
        """Handle a call.

        Args:
          request: The decoded call.
          head: Head of the call, with its key.

        Returns:
          The response. Its status is 401 if the key isn't known, 404 only if
          the batch or item certainly doesn't exist for the account of the key,
          503 if the log can't be read, and 504 if the end of the batch could
          not be confirmed in time.
        """
        state = await self._find_batch(request, head)
        if isinstance(state, messages.Response):
            return state
        return await _HANDLERS[request.verb](self, state, request)

    async def _read(
        self, state: fold.BatchState, request: call.BatchCall
    ) -> messages.Response:
        """Handle a read of results."""
        if request.position >= len(state.results):
            await self._wait_for_result(state, request)
        if request.position >= len(state.results):
            # Another gateway may have returned results that this gateway has
            # not folded yet.
            if not await self._ensure_recent_state(request.batch_id):
                return refusals.build_refusal('log_away', RETRY_AFTER_SECONDS)
        try:
            async with asyncio.timeout(LOG_READ_TIMEOUT_SECONDS):
                return await self._build_page(state, request.position)
        except (service.LogError, TimeoutError):
            return refusals.build_refusal('log_away', RETRY_AFTER_SECONDS)

    async def _read_body(
        self, state: fold.BatchState, request: call.BatchCall
    ) -> messages.Response:
        """Handle a read of an item's body."""
        for index, item in enumerate(state.submission.items):
            if item.id == request.item_id:
                return await self._read_item_body(state, index)
        return refusals.build_error(404, 'no_such_item')

    async def _end(
        self, state: fold.BatchState, request: call.BatchCall
    ) -> messages.Response:
        """Handle the end of a batch."""
        if state.ended:
            return messages.Response(200)
        record = records.encode(records.End(request.batch_id))
        try:
            await self._journal.append(
                request.batch_id, [record], END_TIMEOUT_SECONDS
            )
        except appender.AppendTimeoutError:
            return refusals.build_error(504, 'log_away')
        return messages.Response(200)

    async def _read_item_body(
        self, state: fold.BatchState, index: int
    ) -> messages.Response:
        try:
            async with asyncio.timeout(LOG_READ_TIMEOUT_SECONDS):
                bodies = await self._journal.read_bodies(state)
        except (service.LogError, TimeoutError):
            return refusals.build_refusal('log_away', RETRY_AFTER_SECONDS)
        return messages.Response(200, {}, bodies[index])

    async def _find_batch(
        self, request: call.BatchCall, head: call.CallHead
    ) -> fold.BatchState | messages.Response:
        """Find the batch of a call that the key allows.

        Returns:
          The batch, or the response if it doesn't exist for the account.
        """
        batch_id = request.batch_id
        batches = self._journal.fold.batches
        if batch_id not in batches and not await self._catch_up(batch_id):
            return refusals.build_refusal('log_away', RETRY_AFTER_SECONDS)
        state = batches.get(batch_id)
        if state is not None and not state.account:
            return state
        found = await self._access.check_batch(head)
        refusal = self._access.build_response(request.verb.value, head, found)
        if refusal is not None:
            return refusal
        if state is None:
            return refusals.build_error(404, 'no_such_batch')
        # Only a deployment without accounts allows a call without an account.
        if found.account is None or found.account.name == state.account:
            return state
        self._access.note_foreign_batch()
        # A batch that doesn't exist is answered with 404 only after a read.
        if not await self._catch_up(batch_id):
            return refusals.build_refusal('log_away', RETRY_AFTER_SECONDS)
        return refusals.build_error(404, 'no_such_batch')

    async def _ensure_recent_state(self, batch_id: str) -> bool:
        """Fold all results that other gateways may already have returned.

        Returns:
          Whether the folded state is at most MAX_STATE_AGE_SECONDS old; False
          if the log can't be read.
        """
        folded_at = self._journal.find_folded_at(batch_id)
        if (
            clock.read_boot_clock_seconds() - folded_at
            <= MAX_STATE_AGE_SECONDS
        ):
            return True
        return await self._catch_up(batch_id)

    async def _catch_up(self, batch_id: str) -> bool:
        """Read the log to its current end; tell whether that succeeded."""
        try:
            async with asyncio.timeout(LOG_READ_TIMEOUT_SECONDS):
                await self._journal.catch_up(batch_id)
        except (service.LogError, TimeoutError):
            return False
        return True

    async def _wait_for_result(
        self, state: fold.BatchState, request: call.BatchCall
    ) -> None:
        """Wait for a result at the requested position or the batch's end."""
        wait_seconds = min(request.wait_ms, MAX_WAIT_MS) / 1000
        try:
            async with asyncio.timeout(wait_seconds):
                while len(state.results) <= request.position:
                    if not state.is_open:
                        return
                    waiter = self._waiters.setdefault(
                        state.id, asyncio.Event()
                    )
                    await waiter.wait()
        except TimeoutError:
            return

    def _wake(self, changed: fold.BatchState) -> None:
        waiter = self._waiters.pop(changed.id, None)
        if waiter is not None:
            waiter.set()

    async def _build_page(
        self, state: fold.BatchState, position: int
    ) -> messages.Response:
        items = state.submission.items
        page = []
        size = 0
        for result in state.results[position:]:
            text = await self._journal.read_text(result)
            size += len(text)
            if page and size > MAX_PAGE_BYTES:
                break
            page.append(
                batch.PageEntry(
                    items[result.index].id,
                    result.outcome,
                    text,
                    result.versions,
                    result.score,
                )
            )
        return self._adapter.build_results_page(
            len(items), position + len(page), page
        )


_HANDLERS = {
    call.BatchVerb.READ: Reader._read,
    call.BatchVerb.READ_BODY: Reader._read_body,
    call.BatchVerb.END: Reader._end,
}
