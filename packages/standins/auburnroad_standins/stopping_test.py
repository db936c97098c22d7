"""Tests of SIGTERM up to the end of a process."""

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
    """A process that has done its work ends in order."""

    def test_a_signal_after_the_loop_has_closed_kills_nothing(self):
        ended = subprocess.run(
            [sys.executable, '-c', PROGRAM], capture_output=True, text=True
        )
        self.assertEqual((0, 'ended\n'), (ended.returncode, ended.stdout))
