"""Tests that a tail tells how recent its state is while a poll is lost."""

import asyncio
import unittest

from auburnroad_core.log import configuration_fold
from auburnroad_core.log import tail
from auburnroad_core.platform import log_service

LONG_SECONDS = 3600.0
TIMEOUT_SECONDS = 20.0


class LosingLog:
    """An empty log whose polls can be lost.

    Attributes:
      lost: Whether polls get no answer.
      down: Whether reads are refused.
    """

    def __init__(self):
        self.lost = self.down = False

    async def read(self, stream, from_offset, wait_seconds):
        if self.down:
            raise log_service.LogUnavailableError('down')
        if self.lost and wait_seconds:
            await asyncio.Event().wait()
        await asyncio.sleep(0)
        return log_service.Batch(0, 0, [])


class ConfirmRecentTest(unittest.IsolatedAsyncioTestCase):
    """A tail of the configuration."""

    async def asyncSetUp(self):
        self.log = LosingLog()
        self.subject = tail.Tail(self.log, configuration_fold)

    async def confirm(self, max_age_seconds=LONG_SECONDS):
        async with asyncio.timeout(TIMEOUT_SECONDS):
            return await self.subject.confirm_recent(
                max_age_seconds, TIMEOUT_SECONDS
            )

    async def test_state_that_was_never_read_is_read(self):
        self.assertTrue(await self.confirm())

    # Guards against a state that counts as current while a poll is lost.
    async def test_lost_poll_does_not_make_the_state_recent(self):
        self.log.lost = True
        polling = asyncio.create_task(self.subject.run())
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while not self.subject.is_up_to_date:
                await asyncio.sleep(0)
        self.log.down = True
        self.assertTrue(self.subject.is_up_to_date)
        self.assertFalse(await self.confirm(max_age_seconds=0.0))
        self.assertTrue(await self.confirm())
        polling.cancel()

    async def test_recent_state_needs_no_read(self):
        await self.confirm()
        self.log.down = True
        self.assertTrue(await self.confirm())
