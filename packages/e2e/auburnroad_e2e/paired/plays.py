"""Plays days on the users' bench, some at a time, and keeps the reports.

A play whose report is there is not made again, so that a comparison that was
stopped goes on where it was.
"""

import asyncio
import pathlib
import typing

import msgspec

from auburnroad_core import errors


class PlayError(errors.AuburnroadError):
    """A play without a report."""


class Play(msgspec.Struct, frozen=True):
    """A day of a deployment, played on a tree.

    Attributes:
      tree: Name of the tree.
      site: Path of the deployment's file.
      day: Name of the day, or path of its file.
      seed: Seed of the play.
    """

    tree: str
    site: str
    day: str
    seed: int

    @property
    def place(self) -> pathlib.PurePath:
        """Where its files are below the directory of results."""
        site, day = pathlib.PurePath(self.site), pathlib.PurePath(self.day)
        return pathlib.PurePath(
            self.tree, site.stem, f'{day.stem}.{self.seed}'
        )


class Bench(msgspec.Struct, frozen=True):
    """How plays are made.

    Attributes:
      command: Program and arguments of the bench, before its verb.
      trees: Directory of each tree by its name.
      results: Directory of results.
      why: Line for the bench's journal.
    """

    command: list[str]
    trees: dict[str, pathlib.Path]
    results: pathlib.Path
    why: str

    def find_report(self, play: Play) -> pathlib.Path:
        """Find the path of a play's report."""
        return self.results / play.place.with_name(f'{play.place.name}.json')


async def run_plays(
    bench: Bench,
    plays: typing.Iterable[Play],
    jobs: int,
    on_failure: typing.Callable[[PlayError], None],
) -> None:
    """Make all plays that have no report yet.

    Args:
      bench: How plays are made.
      plays: The plays, in the order in which they begin.
      jobs: Number of plays at a time.
      on_failure: Called for each play without a report; the others go on.
    """
    free = asyncio.Semaphore(jobs)

    async def run(play: Play) -> None:
        async with free:
            try:
                await _run_play(bench, play)
            except PlayError as error:
                on_failure(error)

    await asyncio.gather(
        *(run(play) for play in plays if not bench.find_report(play).exists())
    )


async def _run_play(bench: Bench, play: Play) -> None:
    report = bench.find_report(play)
    report.parent.mkdir(parents=True, exist_ok=True)
    output = report.with_suffix('.txt')
    unfinished = report.with_suffix('.part')
    with output.open('wb') as file:
        process = await asyncio.create_subprocess_exec(
            *bench.command,
            'run',
            play.site,
            play.day,
            # The bench refuses flags with an equals sign.
            *('--seed', str(play.seed)),
            '--no-cpu',
            *('--report', str(unfinished)),
            *('--why', bench.why),
            cwd=bench.trees[play.tree],
            stdout=file,
            stderr=file,
        )
        try:
            status = await process.wait()
        except asyncio.CancelledError:
            process.terminate()
            raise
    if status or not unfinished.exists():
        raise PlayError(f'{play.place}: status {status}, see {output}')
    unfinished.rename(report)
