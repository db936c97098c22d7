"""Tests of a stand-in's process: ready line, options, signals and crash."""

import asyncio
import pathlib
import signal
import sys
import tempfile

from auburnroad_core.http import client
from auburnroad_standins import books
from auburnroad_standins.engine import runs
from auburnroad_standins import faults
from auburnroad_standins import testing


class ProcessTest(testing.StandinTestCase):
    async def open(self, *arguments: str):
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'auburnroad_standins.main',
            *arguments,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        self.addAsyncCleanup(self.stop, process)
        line = (await process.stdout.readline()).split()
        return process, line[-1].decode() if line else ''

    async def stop(self, process) -> None:
        if process.returncode is None:
            process.kill()
        await process.communicate()

    async def test_books_file_is_complete_after_sigkill(self):
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory) / 'books'
            process, address = await self.open(
                'engine', '--versions={"m-1": 4}', f'--books_file={path}'
            )
            body = {'request_id': 'r', 'model': 'm-1', 'prompt': 'p'}
            body['max_tokens'] = 100_000
            reply = await self.http.open(
                address,
                client.build_json_request('POST', '/v1/completions', body),
            )
            parts = reply.iterate()
            await anext(parts)
            process.send_signal(signal.SIGKILL)
            with self.assertRaises(client.BrokenError):
                async for _ in parts:
                    pass
            lines = books.read_lines(path, runs.BooksLine)
        events = [(line.event, line.version) for line in lines]
        self.assertEqual(events, [('started', -1), ('version', 4)])
        self.assertEqual(lines[-1].run.request_id, 'r')

    async def test_sigterm_ends_the_process_with_an_open_stream(self):
        process, address = await self.open('engine', '--versions={"m": 0}')
        body = {'model': 'm', 'prompt': 'p', 'max_tokens': 100_000}
        reply = await self.http.open(
            address, client.build_json_request('POST', '/v1/completions', body)
        )
        process.terminate()
        self.assertEqual(await process.wait(), 0)
        reply.close()

    async def test_crash_fault_exits_with_its_status(self):
        process, address = await self.open('host_list')
        await self.inject_fault(address, 'crash')
        self.assertEqual(await process.wait(), faults.CRASH_STATUS)

    async def test_unknown_option_is_named_in_the_error(self):
        process, address = await self.open('engine', '--slotz=3')
        _, errors = await process.communicate()
        self.assertEqual(address, '')
        self.assertIn(b'slotz', errors)
