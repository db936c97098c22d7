"""Tests of lost streams and of the planned stop of a side."""

import asyncio
from unittest import mock

from auburnroad_core import refusals
from auburnroad_core import types
from auburnroad_core.wire import messages
from auburnroad_daemon.process import side_test
from auburnroad_daemon.request import side_attempts as attempts


class StreamLossTest(side_test.SideCase):
    """Requests outlive their stream until they are resumed or time out.

    If a result were lost with its stream, the outcome would stay unknown to
    the caller, and a repeated request could run twice.
    """

    async def reconnect(self, name='entry-1'):
        await self.entry.close()
        self.entry = side_test.FakeEntry(name)
        await self.entry.connect(self.side.stream_address)

    async def test_resume_on_new_stream_sends_missing_chunks(self):
        self.engine.gate.clear()
        self.entry.submit('r1', streamed=True)
        first = await self.entry.wait_for(messages.Chunk)
        await self.reconnect('entry-2')
        self.entry.stream.send(messages.Resume('r1', first.index + 1))
        self.engine.gate.set()
        done = await self.entry.wait_for(messages.Done)
        chunks = [
            m for m in self.entry.received if isinstance(m, messages.Chunk)
        ]
        self.assertEqual(
            'xxxx', first.text + ''.join(chunk.text for chunk in chunks)
        )
        self.assertEqual(1, chunks[0].index)
        self.assertEqual(done.chunks, 1 + len(chunks))
        self.assertEqual(['r1'], self.engine.runs)

    async def test_resume_from_start_sends_chunks_again(self):
        self.engine.gate.clear()
        self.entry.submit('r1', streamed=True)
        first = await self.entry.wait_for(messages.Chunk)
        await self.reconnect()
        self.entry.stream.send(messages.Resume('r1', 0))
        self.assertEqual(first, await self.entry.wait_for(messages.Chunk))

    async def test_answer_is_kept_until_acknowledged(self):
        self.entry.submit('r1')
        await self.entry.wait_for(messages.Done)
        await self.reconnect()
        self.entry.stream.send(messages.Resume('r1', 0))
        done = await self.entry.wait_for(messages.Done)
        self.assertEqual('xxxx', done.text)
        self.entry.stream.send(messages.Acknowledge('r1'))
        self.entry.stream.send(messages.Resume('r1', 0))
        await self.entry.wait_for(messages.UnknownRequest)

    async def test_newer_stream_of_same_entry_replaces_older(self):
        self.engine.gate.clear()
        self.entry.submit('r1')
        await self.wait_until(lambda: self.engine.runs)
        newer = side_test.FakeEntry()
        await newer.connect(self.side.stream_address)
        newer.stream.send(messages.Resume('r1', 0))
        await self.wait_until(lambda: self.entry.stream.closed)
        self.engine.gate.set()
        await newer.wait_for(messages.Done)
        await newer.close()

    async def test_orphaned_requests_are_cancelled_unless_non_idempotent(self):
        self.engine.gate.clear()
        self.entry.submit('r1')
        self.entry.submit('r2', idempotent=False)
        self.entry.submit('r3', idempotent=False)
        await self.wait_until(lambda: len(self.engine.runs) == 2)
        with mock.patch.object(attempts, 'ORPHAN_TIMEOUT_MS', 50):
            await self.entry.close()
            await self.wait_until(lambda: 'r1' in self.engine.cancelled)
        self.engine.gate.set()
        await self.reconnect()
        self.entry.stream.send(messages.Resume('r2', 0))
        self.entry.stream.send(messages.Resume('r3', 0))
        done = await self.entry.wait_for(messages.Done, 'r2')
        self.assertEqual(types.Outcome.RUN, done.outcome)
        refused = await self.entry.wait_for(messages.Refused, 'r3')
        self.assertEqual(refusals.CANCELLED, refused.code)
        self.assertEqual({'r1', 'r2'}, set(self.engine.runs))

    async def test_invalid_frame_closes_only_its_own_stream(self):
        invalid_entry = side_test.FakeEntry('hostile')
        await invalid_entry.connect(self.side.stream_address)
        invalid_entry.stream._writer.write(b'\xc1' * 100)
        await self.wait_until(lambda: invalid_entry.stream.closed)
        self.entry.submit('r1')
        await self.entry.wait_for(messages.Done)
        await invalid_entry.close()

    async def test_stream_without_hello_is_closed(self):
        reader, writer = await asyncio.open_connection(
            *self.side.stream_address
        )
        writer.write(b'\x92\x08\xa1r')
        async with asyncio.timeout(side_test.WAIT_SECONDS):
            while await reader.read(1024):
                continue
        writer.close()


class DrainTest(side_test.SideCase):
    """A planned stop refuses new requests and completes accepted ones.

    A side that exits at once would leave its running requests with an unknown
    outcome.
    """

    async def test_running_requests_complete_and_new_requests_are_refused(
        self,
    ):
        self.engine.gate.clear()
        for number in range(3):
            self.entry.submit(f'r{number}')
        await self.wait_until(lambda: len(self.engine.runs) == 2)
        self.side.drain()
        await self.entry.wait_for(messages.Heartbeat, leaving=True)
        self.entry.submit('late')
        refused = await self.entry.wait_for(messages.Refused)
        self.assertEqual(refusals.LEAVING, refused.code)
        self.engine.gate.set()
        for number in range(3):
            done = await self.entry.wait_for(messages.Done, f'r{number}')
            self.assertEqual(types.Outcome.RUN, done.outcome)
            self.assertFalse(self.entry.stream.closed)
            self.entry.stream.send(messages.Acknowledge(f'r{number}'))
        await self.side.wait_closed()
        self.assertEqual(3, len(self.engine.runs))

    async def test_resume_repeats_refusal(self):
        self.side.drain()
        self.entry.submit('r1', idempotent=False)
        await self.entry.wait_for(messages.Refused, 'r1')
        self.entry.received.clear()
        self.entry.stream.send(messages.Resume('r1', 0))
        refused = await self.entry.wait_for(messages.Refused, 'r1')
        self.assertEqual(refusals.LEAVING, refused.code)
        self.assertEqual([], self.engine.runs)


class DrainDeadlineTest(side_test.SideCase):
    """A planned stop ends by its deadline and reports each outcome.

    Requests that still wait are refused as not run before the deadline.
    Running requests are cut off at the deadline and end as unknown.
    """

    limits = {'drain_ms': 400}

    async def test_waiting_requests_are_refused_before_running_are_cut_off(
        self,
    ):
        self.engine.gate.clear()
        for number in range(3):
            self.entry.submit(f'r{number}')
        await self.wait_until(lambda: len(self.engine.runs) == 2)
        self.side.drain()
        refused = await self.entry.wait_for(messages.Refused, 'r2')
        self.assertEqual(refusals.LEAVING, refused.code)
        done = await self.entry.wait_for(messages.Done)
        self.assertEqual(types.Outcome.UNKNOWN, done.outcome)
        await self.side.wait_closed()
