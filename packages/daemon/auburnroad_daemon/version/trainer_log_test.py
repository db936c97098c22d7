"""Tests of appends to the trainers' log stream."""

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
    is_up_to_date = True


class FakeAppender:
    """Returns the same result for each append."""

    def __init__(self, result):
        self.result = result
        self.deadlines = []

    async def append(self, record, deadline_ms):
        self.deadlines.append(deadline_ms)
        return self.result


class TrainerLogTest(unittest.IsolatedAsyncioTestCase):
    """An append succeeds only if the record was read back.

    An unconfirmed record may be missing from the log, so the caller must not
    rely on it.
    """

    def build(self, result):
        self.tail = FakeTail()
        self.appender = FakeAppender(result)
        return trainer_log.TrainerLog(self.tail, self.appender)

    async def test_append_fails_at_once_while_log_is_down(self):
        log = self.build(appenders.NotAppended(False))
        self.tail.is_up_to_date = False
        with self.assertRaises(log_service.LogUnavailableError):
            await log.append(CLAIM)
        self.assertEqual([], self.appender.deadlines)

    async def test_append_fails_if_record_is_not_read_back(self):
        log = self.build(appenders.NotAppended(True))
        with self.assertRaises(log_service.LogUnavailableError):
            await log.append(CLAIM)

    async def test_append_returns_offset_of_record_read_back(self):
        result = appenders.Appended(7, verdict.Verdict.EFFECTIVE)
        log = self.build(result)
        self.assertEqual(7, await log.append(CLAIM))
        self.assertGreater(self.appender.deadlines[0], clock.time_now_ms())
