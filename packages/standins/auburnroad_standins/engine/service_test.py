"""Tests of completions: text, order of arrival, cancellation, resumption."""

import asyncio

from auburnroad_standins.engine import testing
from auburnroad_standins import text


class CompletionTest(testing.EngineTestCase):
    async def test_text_is_as_computed_and_last_event_has_reason(self):
        address = await self.start_engine()
        events = await self.complete(address, testing.build_completion('r'))
        answer = ''.join(event['text'] for event in events)
        self.assertEqual(answer, text.expected_text('m', 'p', 0, 8))
        self.assertEqual([e['offset'] for e in events], list(range(8)))
        reasons = [event['finish_reason'] for event in events]
        self.assertEqual(reasons, [None] * 7 + ['length'])

    async def test_unknown_model_and_duplicate_request_are_refused(self):
        address = await self.start_engine()
        body = testing.build_completion('r', max_tokens=100_000)
        reply = await self.open_stream(address, body)
        for status, fields in ((409, {}), (404, {'model': 'x'})):
            refused = await self.send(
                address, 'POST', '/v1/completions', {**body, **fields}
            )
            self.assertEqual(refused.status, status)
        reply.close()
        self.assertEqual(len(await self.read_runs(address)), 1)

    async def test_waiting_requests_run_in_order_of_arrival(self):
        address = await self.start_engine(slots=1)
        body = testing.build_completion('first', max_tokens=100_000)
        first = await self.open_stream(address, body)
        ended = []

        async def complete(name: str) -> None:
            await self.complete(address, testing.build_completion(name))
            ended.append(name)

        tasks = []
        for name in ('c', 'a', 'b'):
            tasks.append(asyncio.ensure_future(complete(name)))
            await self.wait_for_run(address, name, started=False)
        first.close()
        await asyncio.gather(*tasks)
        self.assertEqual(ended, ['c', 'a', 'b'])


class CancelTest(testing.EngineTestCase):
    async def test_closed_stream_frees_its_slot(self):
        address = await self.start_engine(slots=1)
        body = testing.build_completion('gone', max_tokens=100_000)
        (await self.open_stream(address, body)).close()
        await self.complete(address, testing.build_completion('next'))
        run = (await self.read_runs(address))['gone']
        self.assertTrue(run['cancelled'])
        self.assertFalse(run['finished'])

    async def test_caller_that_disconnects_while_queued_gets_no_slot(self):
        address = await self.start_engine(slots=1)
        body = testing.build_completion('first', max_tokens=100_000)
        first = await self.open_stream(address, body)
        waiting = asyncio.ensure_future(
            self.complete(address, testing.build_completion('gone'))
        )
        await self.wait_for_run(address, 'gone')
        waiting.cancel()
        await self.wait_for_run(address, 'gone', cancelled=True)
        first.close()
        run = (await self.read_runs(address))['gone']
        self.assertEqual((run['started'], run['tokens']), (False, 0))

    async def test_cancel_by_id_ends_the_stream(self):
        address = await self.start_engine()
        body = testing.build_completion('r', max_tokens=100_000)
        reply = await self.open_stream(address, body)
        cancel = {'request_id': 'r'}
        answer = await self.send(address, 'POST', '/cancel', cancel)
        self.assertEqual(answer.body, b'{"cancelled":true}')
        events = await self.read_stream(reply)
        self.assertEqual(events[-1]['finish_reason'], 'cancelled')
        answer = await self.send(address, 'POST', '/cancel', cancel)
        self.assertEqual(answer.body, b'{"cancelled":false}')


class ResumeTest(testing.EngineTestCase):
    async def resume(self, address: str, request_id: str) -> list[dict]:
        body = testing.build_completion(request_id, resume_at=5)
        return await self.complete(address, body)

    async def test_resumed_stream_continues_at_its_offset(self):
        address = await self.start_engine(versions={'m': 3})
        events = await self.resume(address, 'r')
        self.assertEqual([e['offset'] for e in events], [5, 6, 7])
        answer = ''.join(event['text'] for event in events)
        self.assertEqual(answer, text.expected_text('m', 'p', 5, 8))
        run = (await self.read_runs(address))['r']
        self.assertEqual((run['tokens'], run['spans']), (3, [[3, 5, 8]]))

    async def test_imported_kv_cache_avoids_the_prefill(self):
        # A prefill that takes an hour can't end within the test.
        source = await self.start_engine(kv_token_bytes=10)
        target = await self.start_engine(prefill_token_ms=3_600_000)
        await self.complete(source, testing.build_completion('old'))
        export = await self.send(source, 'GET', '/kv/old')
        self.assertGreater(len(export.body), 80)
        await self.http.fetch(
            target,
            testing.build_import('new', export.body),
            testing.TIMEOUT_SECONDS,
        )
        events = await self.resume(target, 'new')
        self.assertEqual(events[-1]['finish_reason'], 'length')

    async def test_kv_cache_of_another_prompt_is_ignored(self):
        source = await self.start_engine()
        target = await self.start_engine(prefill_token_ms=3_600_000)
        body = testing.build_completion('old', prompt='q')
        await self.complete(source, body)
        export = await self.send(source, 'GET', '/kv/old')
        await self.http.fetch(
            target,
            testing.build_import('new', export.body),
            testing.TIMEOUT_SECONDS,
        )
        resuming = asyncio.ensure_future(self.resume(target, 'new'))
        await self.wait_for_run(target, 'new', started=True)
        resuming.cancel()
        await self.wait_for_run(target, 'new', cancelled=True, tokens=0)
