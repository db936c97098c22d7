"""One process that the launcher started, and the faults of any process.

Only processes that were started here are ever signalled, each by its id.
"""

import asyncio
import atexit
import os
import pathlib
import signal
import subprocess
import time

from auburnroad_core import errors

POLL_SECONDS = 0.02
KILL_WAIT_SECONDS = 5.0


# Children that were started here and not seen to end.
_children: set[subprocess.Popen] = set()


@atexit.register
def end_children() -> None:
    """End what an interrupted run left behind, as it ends itself."""
    for child in _children:
        if child.poll() is None:
            child.kill()
    _children.clear()


class ProcessError(errors.AuburnroadError):
    """A process that did not do what its start needs."""


class Process:
    """A child process with its log."""

    __slots__ = (
        'name',
        'arguments',
        'log_path',
        '_environment',
        '_popen',
        '_frozen',
    )

    def __init__(
        self,
        name: str,
        arguments: list[str],
        log_path: pathlib.Path,
        environment: dict[str, str] | None = None,
    ):
        """Describe a process.

        Args:
          name: Its name in messages.
          arguments: Program and arguments.
          log_path: Where its output goes.
          environment: Variables beside those of this process.
        """
        self._environment = {**os.environ, **(environment or {})}
        self.name = name
        self.arguments = arguments
        self.log_path = log_path
        self._popen: subprocess.Popen | None = None
        self._frozen = False

    @property
    def running(self) -> bool:
        """Whether the process was started and has not ended."""
        return self._popen is not None and self._popen.poll() is None

    @property
    def responsive(self) -> bool:
        """Whether the process runs and isn't paused."""
        return self.running and not self._frozen

    @property
    def pid(self) -> int:
        """Id of the process.

        Raises:
          ProcessError: If it was never started.
        """
        if self._popen is None:
            raise ProcessError(f'{self.name} was never started')
        return self._popen.pid

    @property
    def status(self) -> int | None:
        """Exit status, negative for a signal; None while it runs."""
        return self._popen.poll() if self._popen else None

    def start(self) -> None:
        """Start the process, again if it has ended before."""
        with self.log_path.open('ab') as log:
            self._popen = subprocess.Popen(
                self.arguments,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
                env=self._environment,
            )
        self._frozen = False
        _children.add(self._popen)

    def kill(self) -> None:
        """End the process at once."""
        self._signal(signal.SIGKILL)

    def terminate(self) -> None:
        """Ask the process to leave."""
        self._signal(signal.SIGTERM)

    def hang_up(self) -> None:
        """Tell the process that its settings may have changed."""
        self._signal(signal.SIGHUP)

    def freeze(self) -> None:
        """Pause the process; its connections stay open."""
        self._signal(signal.SIGSTOP)
        self._frozen = True

    def thaw(self) -> None:
        """Let a paused process go on."""
        self._signal(signal.SIGCONT)
        self._frozen = False

    async def wait(self, timeout_seconds: float) -> int | None:
        """Wait until the process has ended.

        Args:
          timeout_seconds: How long to wait at most.

        Returns:
          Its exit status, or None when it still runs.
        """
        end = time.monotonic() + timeout_seconds
        while self.running and time.monotonic() < end:
            await asyncio.sleep(POLL_SECONDS)
        return self.status

    async def wait_line(self, start: str, timeout_seconds: float) -> str:
        """Wait until the process has printed a line.

        Args:
          start: How the line starts.
          timeout_seconds: How long to wait at most.

        Returns:
          The line.

        Raises:
          ProcessError: If the process ends or the time passes first.
        """
        end = time.monotonic() + timeout_seconds
        while time.monotonic() < end:
            for line in self.read_log().splitlines():
                if line.startswith(start):
                    return line
            if not self.running:
                break
            await asyncio.sleep(POLL_SECONDS)
        raise ProcessError(
            f'{self.name} printed no {start!r}:\n{self.read_log()[-2000:]}'
        )

    def read_log(self) -> str:
        """Read what the process has printed."""
        return self.log_path.read_text(encoding='utf-8', errors='replace')

    async def close(self) -> None:
        """End the process if it still runs."""
        if not self.running:
            return
        if self._frozen:
            self.thaw()
        self.kill()
        await self.wait(KILL_WAIT_SECONDS)

    def _signal(self, number: int) -> None:
        if self.running:
            self._popen.send_signal(number)
