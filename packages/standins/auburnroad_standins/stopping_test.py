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

# Module globals are finalized after the interpreter has restored the default
# handlers of signals.
SHUTDOWN_PROGRAM = """
import asyncio, os, signal
from auburnroad_standins import stopping

class Finalized:
    def __init__(self, kill, number):
        self._kill, self._pid, self._number = kill, os.getpid(), number

    def __del__(self):
        self._kill(self._pid, self._number)

async def run():
    stopping.on_sigterm(lambda: None)

asyncio.run(run())
finalized = Finalized(os.kill, signal.SIGTERM)
print('ended')
"""


class OnSigtermTest(unittest.TestCase):
    """SIGTERM after the event loop has closed must not change the status."""

    def test_sigterm_after_the_loop_has_closed_is_ignored(self):
        self.check_ends_well(PROGRAM)

    def test_sigterm_during_interpreter_shutdown_is_ignored(self):
        self.check_ends_well(SHUTDOWN_PROGRAM)

    def check_ends_well(self, program):
        ended = subprocess.run(
            [sys.executable, '-c', program], capture_output=True, text=True
        )
        self.assertEqual((0, 'ended\n'), (ended.returncode, ended.stdout))
