"""Tests of the launcher's processes."""

import pathlib
import sys
import tempfile
import unittest

from auburnroad_e2e.launch import process

STOP_SECONDS = 10.0


class EndChildrenTest(unittest.IsolatedAsyncioTestCase):
    """Nothing that was started outlives the run."""

    async def test_a_process_that_nobody_closed_is_ended(self):
        with tempfile.TemporaryDirectory() as directory:
            child = process.Process(
                'sleeper',
                [sys.executable, '-c', 'import time; time.sleep(600)'],
                pathlib.Path(directory) / 'log',
            )
            child.start()
            self.assertTrue(child.running)
            process.end_children()
            self.assertLess(await child.wait(STOP_SECONDS), 0)
