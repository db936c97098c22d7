"""Tests of how owners use the trainers' stream."""

import unittest

from auburnroad_core import clock
from auburnroad_core.log import appender as appenders
from auburnroad_core.log import records
from auburnroad_core.log import verdict
from auburnroad_core.platform import log_service
from auburnroad_daemon.version import trainer_log

CLAIM = records.Claim('t', 'e', 'i', -1)


class FakeTail:
    state = None
    up = True


class FakeAppender:
    """Gives each record the same fate."""

    def __init__(self, fate):
        self.fate = fate
        self.deadlines = []

    async def append(self, record, deadline_ms):
        self.deadlines.append(deadline_ms)
        return self.fate


class TrainerLogTest(unittest.IsolatedAsyncioTestCase):
    """An append is refused at once or confirmed, and never guessed."""

    def build(self, fate):
        self.tail = FakeTail()
        self.appender = FakeAppender(fate)
        return trainer_log.TrainerLog(self.tail, self.appender)

    async def test_a_log_known_to_be_down_is_not_waited_for(self):
        log = self.build(appenders.NotAppended(False))
        self.tail.up = False
        with self.assertRaises(log_service.LogUnavailableError):
            await log.append(CLAIM)
        self.assertEqual([], self.appender.deadlines)

    async def test_a_record_that_was_not_read_back_is_no_success(self):
        log = self.build(appenders.NotAppended(True))
        with self.assertRaises(log_service.LogUnavailableError):
            await log.append(CLAIM)

    async def test_the_offset_of_a_record_read_back_is_returned(self):
        fate = appenders.Appended(7, verdict.Verdict.EFFECTIVE)
        log = self.build(fate)
        self.assertEqual(7, await log.append(CLAIM))
        self.assertGreater(self.appender.deadlines[0], clock.time_now_ms())
