"""Tests of SIGTERM during and after the event loop of a process."""

import subprocess
import sys
import unittest

PROGRAM = """
import asyncio, os, signal
from auburnroad_standins import stopping

async def run():
    stopped = asyncio.Event()
    stopping.on_sigterm(stopped.set)
    os.kill(os.getpid(), signal.SIGTERM)
    await stopped.wait()

asyncio.run(run())
os.kill(os.getpid(), signal.SIGTERM)
print('ended')
"""


class OnSigtermTest(unittest.TestCase):
    """SIGTERM after the event loop has closed must not change the status."""

    def test_sigterm_after_the_loop_has_closed_is_ignored(self):
        ended = subprocess.run(
            [sys.executable, '-c', PROGRAM], capture_output=True, text=True
        )
        self.assertEqual((0, 'ended\n'), (ended.returncode, ended.stdout))
