"""Tests that a tail applies each record once, in order and up to the end.

Reads may overlap or fail, and records may be deleted before they are read.
"""

import asyncio
import contextlib
import unittest

from auburnroad_core import clock
from auburnroad_gateway.log import service
from auburnroad_gateway.log import tail
from auburnroad_standins import partition_log

PACE_SECONDS = 0.001
TIMEOUT_SECONDS = 20


@contextlib.asynccontextmanager
async def running(subject):
    task = asyncio.create_task(subject.run())
    try:
        async with asyncio.timeout(TIMEOUT_SECONDS):
            await subject.wait_until_loaded()
            yield
    finally:
        task.cancel()


async def wait_until(condition):
    while not condition():
        await asyncio.sleep(0.001)


class TailTest(unittest.IsolatedAsyncioTestCase):
    """A tail of a partition without keys."""

    def setUp(self):
        self.log = partition_log.PartitionLog()
        self.applied = []
        self.subject = tail.Tail(self.log, 't', 0, self.collect, PACE_SECONDS)

    def collect(self, offset, record):
        self.applied.append((offset, record))

    async def test_overlapping_reads_apply_each_record_once(self):
        self.log.write('t', 0, [b'a', b'b'])
        await asyncio.gather(*(self.subject.catch_up() for _ in range(5)))
        self.assertEqual([(0, b'a'), (1, b'b')], self.applied)

    async def test_deleted_records_are_skipped(self):
        self.log.write('t', 0, [b'a', b'b', b'c'])
        self.log.forget('t', 0, 2)
        await self.subject.catch_up()
        self.assertEqual([(2, b'c')], self.applied)

    async def test_record_that_can_not_be_applied_is_skipped(self):
        """The other records of its read were applied again or not at all."""
        self.subject = tail.Tail(self.log, 't', 0, self.refuse_b, PACE_SECONDS)
        self.log.write('t', 0, [b'a', b'b', b'c'])
        await self.subject.catch_up()
        self.assertEqual([(0, b'a'), (2, b'c')], self.applied)

    def refuse_b(self, offset, record):
        if record == b'b':
            raise RecursionError('nested too deeply')
        self.collect(offset, record)

    async def test_lost_reads_are_retried_with_fewer_bytes(self):
        """Large reads time out if all gateways start and read at once."""
        self.log.write('t', 0, [bytes(1000)] * 200)
        self.log.bytes_in_time = tail.MIN_READ_BYTES
        for _ in range(100):
            try:
                await self.subject.catch_up()
                break
            except service.LogError:
                continue
        self.assertEqual(200, len(self.applied))

    async def test_complete_at_advances_only_with_successful_reads(self):
        self.assertEqual(float('-inf'), self.subject.complete_at)
        before = clock.read_boot_clock_seconds()
        await self.subject.catch_up()
        self.assertGreaterEqual(self.subject.complete_at, before)
        complete_at = self.subject.complete_at
        self.log.down = True
        with self.assertRaises(service.LogError):
            await self.subject.catch_up()
        self.assertEqual(complete_at, self.subject.complete_at)

    async def test_records_are_applied_after_outage(self):
        async with running(self.subject):
            self.log.down = True
            await wait_until(lambda: self.subject.failing)
            self.log.write('t', 0, [b'a'])
            self.log.down = False
            await wait_until(lambda: self.applied)
        self.assertFalse(self.subject.failing)


class KeyedTailTest(unittest.IsolatedAsyncioTestCase):
    """A tail of a keyed topic."""

    def setUp(self):
        self.log = partition_log.PartitionLog()
        self.values = {}
        self.subject = tail.KeyedTail(
            self.log, 'k', self.collect, PACE_SECONDS
        )

    def collect(self, record):
        self.values[record.key] = record.value

    async def test_newest_values_are_applied_first(self):
        self.log.put('k', 'a', b'1')
        self.log.put('k', 'a', b'2')
        async with running(self.subject):
            self.assertEqual({'a': b'2'}, self.values)
            self.log.put('k', 'b', b'3')
            await wait_until(lambda: 'b' in self.values)

    async def test_keys_missing_from_new_snapshot_are_dropped(self):
        self.log.put('k', 'a', b'1')
        self.log.put('k', 'b', b'1')
        await self.subject.catch_up()
        self.log.put('k', 'a', b'')
        self.log.put('k', 'b', b'2')
        self.log.forget('k', 0, 4)
        await self.subject.catch_up()
        self.assertEqual({'a': b'', 'b': b'2'}, self.values)

    async def test_record_that_can_not_be_applied_is_skipped(self):
        """No snapshot with such a record was loaded, at any attempt."""
        subject = tail.KeyedTail(self.log, 'k', self.refuse_b, PACE_SECONDS)
        for key in ('a', 'b', 'c'):
            self.log.put('k', key, b'1')
        async with running(subject):
            self.assertEqual({'a': b'1', 'c': b'1'}, self.values)
            self.log.put('k', 'b', b'2')
            self.log.write('k', 0, [b'', b'\xffshort', b'\x01\xff'])
            self.log.put('k', 'd', b'2')
            await wait_until(lambda: 'd' in self.values)
        self.assertNotIn('b', self.values)

    def refuse_b(self, record):
        if record.key == 'b':
            raise RecursionError('nested too deeply')
        self.collect(record)

    async def test_snapshot_is_loaded_after_a_refused_one(self):
        """Values among deleted records stayed unknown until the next change.

        The tail had moved beyond the deleted records before it knew what
        they held.
        """
        self.log.put('k', 'a', b'1')
        await self.subject.catch_up()
        self.log.put('k', 'a', b'2')
        self.log.forget('k', 0, 2)
        self.log.refuse_snapshots = 1
        with self.assertRaises(service.LogError):
            await self.subject.catch_up()
        await self.subject.catch_up()
        self.assertEqual({'a': b'2'}, self.values)

    async def test_snapshot_that_is_returned_late_is_not_applied(self):
        """It brought old values back, and offsets of other records."""
        applied = []
        log = LateSnapshotLog()
        subject = tail.KeyedTail(log, 'k', applied.append, PACE_SECONDS)
        log.put('k', 'a', b'1')
        late = asyncio.create_task(subject.catch_up())
        await wait_until(lambda: log.is_holding)
        log.put('k', 'a', b'2')
        await subject.catch_up()
        log.released.set()
        await late
        log.put('k', 'a', b'3')
        await subject.catch_up()
        self.assertEqual(
            [(1, b'2'), (2, b'3')],
            [(record.offset, record.value) for record in applied],
        )


class LateSnapshotLog(partition_log.PartitionLog):
    """A log that returns its first snapshot once it is released.

    Attributes:
      is_holding: Whether the first snapshot was taken.
      released: Set to return it.
    """

    def __init__(self):
        super().__init__()
        self.is_holding = False
        self.released = asyncio.Event()

    async def read_newest(self, topic):
        snapshot = await super().read_newest(topic)
        if not self.is_holding:
            self.is_holding = True
            await self.released.wait()
        return snapshot
