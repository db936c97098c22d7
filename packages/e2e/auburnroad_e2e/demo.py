"""The whole path on one machine: both deployments, weights changing.

Trainers take whole steps while an engine of each deployment is killed. The
last line is one JSON object whose figures come from the users' and targets'
books.
"""

import asyncio
import pathlib
import sys
import tempfile
import time

import msgspec

from auburnroad_e2e import book_files
from auburnroad_e2e import book_types
from auburnroad_e2e import books
from auburnroad_e2e import cluster
from auburnroad_e2e.launch import commands
from auburnroad_e2e.launch import shape
from auburnroad_standins import record_file

DEPLOYMENTS = ('kiadasi', 'kehys')
STEPS = 12
KILL_AFTER_STEPS = 4
TRAIN_MS = 400
CALLS_PER_SECOND = 10
DEADLINE_SECONDS = 80.0
STOP_SECONDS = 20.0
POLL_SECONDS = 0.1
CALLER = 'callers'


def say(text: str) -> None:
    """Print a line of progress."""
    print(f'{time.strftime("%H:%M:%S")} {text}', flush=True)


async def run_deployment(
    name: str, directory: pathlib.Path
) -> book_types.Books:
    """Run one deployment to the end of its trainers' steps.

    Args:
      name: Deployment's name.
      directory: Where its files go.

    Returns:
      The books of its users and targets.
    """
    answers = shape.shrink(shape.load_answers(name))
    deployment = cluster.Cluster(answers, directory, commands.Options())
    try:
        await _drive_in_time(deployment, name)
        return await book_files.read_all(deployment)
    finally:
        await deployment.close()


async def _drive_in_time(deployment: cluster.Cluster, name: str) -> None:
    try:
        async with asyncio.timeout(DEADLINE_SECONDS):
            await _drive(deployment, name)
    except TimeoutError:
        say(f'{name}: the time is up')


async def _drive(deployment: cluster.Cluster, name: str) -> None:
    """Let the users work until the trainers have taken their steps."""
    await deployment.start()
    say(f'{name}: {len(deployment.processes)} processes are ready')
    trainers = [
        deployment.start_trainer(trainer.name, steps=STEPS, train_ms=TRAIN_MS)
        for trainer in deployment.answers.trainers
    ]
    callers = deployment.start_caller(CALLER, rate=CALLS_PER_SECOND)
    await _disturb(deployment, name)
    for trainer in trainers:
        status = await trainer.wait(DEADLINE_SECONDS)
        say(f'{name}: trainer {trainer.name} left with status {status}')
    callers.terminate()
    await callers.wait(STOP_SECONDS)


async def _disturb(deployment: cluster.Cluster, name: str) -> None:
    """Kill an engine when every trainer has taken some steps."""
    await _wait_steps(deployment, name, KILL_AFTER_STEPS)
    engine = _find_engine(deployment)
    say(f'{name}: {engine} is killed')
    deployment.processes[engine].kill()
    await _wait_steps(deployment, name, 2 * KILL_AFTER_STEPS)
    say(f'{name}: {engine} is started again')
    deployment.processes[engine].start()


async def _wait_steps(deployment, name: str, steps: int) -> None:
    trainers = [trainer.name for trainer in deployment.answers.trainers]
    while True:
        taken = {
            trainer: _count_steps(deployment, trainer) for trainer in trainers
        }
        if all(count >= steps for count in taken.values()):
            say(f'{name}: steps taken: {taken}')
            return
        if not any(deployment.processes[t].running for t in trainers):
            return
        await asyncio.sleep(POLL_SECONDS)


def _count_steps(deployment, trainer: str) -> int:
    events = record_file.read_records(deployment.books_path(trainer))
    return sum(event['event'] == 'taken' for event in events)


def _find_engine(deployment: cluster.Cluster) -> str:
    models = [
        service.name
        for service in deployment.answers.services
        if service.kind == 'model'
    ]
    return next(
        replica.name
        for settings in deployment.daemons
        for replica in settings.replicas
        if replica.service in models
    )


def merge_books(parts: list[book_types.Books]) -> book_types.Books:
    """Put the books of several deployments together.

    Args:
      parts: Books of each deployment.

    Returns:
      All books.
    """
    return book_types.Books(
        [trainer for part in parts for trainer in part.trainers],
        [event for part in parts for event in part.callers],
        [run for part in parts for run in part.engine_runs],
        [run for part in parts for run in part.plain_runs],
    )


async def run_demo(directory: pathlib.Path) -> int:
    """Run both deployments and print the verdict.

    Args:
      directory: Where all files go.

    Returns:
      Zero when nothing was lost, wrong or cut off.
    """
    say(f'logs and books are in {directory}')
    runs = []
    async with asyncio.TaskGroup() as group:
        for name in DEPLOYMENTS:
            (directory / name).mkdir()
            run = run_deployment(name, directory / name)
            runs.append(group.create_task(run))
    parts = [run.result() for run in runs]
    merged = merge_books(parts)
    figures = books.build_figures(merged)
    findings = [text for part in parts for text in books.list_problems(part)]
    if any(part.seals is None for part in parts):
        findings.append("the log service's books can't be read")
    for problem in findings:
        say(f'broken: {problem}')
    print(msgspec.json.encode(figures).decode(), flush=True)
    whole = figures.steps == STEPS * len(merged.trainers)
    return 0 if whole and not findings else 1


def main() -> int:
    """Run the demo in a directory of its own.

    Returns:
      The exit status.
    """
    directory = pathlib.Path(tempfile.mkdtemp(prefix='auburnroad-demo-'))
    return asyncio.run(run_demo(directory))


if __name__ == '__main__':
    sys.exit(main())
