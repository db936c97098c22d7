"""Reads the books that the processes of a run wrote into its directory."""

import asyncio
import pathlib

import msgspec

from auburnroad_client.questionnaire import generate
from auburnroad_core.http import client
from auburnroad_e2e import book_types
from auburnroad_e2e import books
from auburnroad_e2e import cluster as cluster_module
from auburnroad_e2e.launch import commands
from auburnroad_standins import books as standin_books
from auburnroad_standins import record_file

# A crash leaves the last span of a run open: what the engine had produced by
# then was of that version, however much it was.
OPEN_END = 1 << 30
SEAL_TRIES = 3
SEAL_PAUSE_SECONDS = 0.3


class _RunLine(msgspec.Struct):
    """The part of an engine's run that the verdict needs."""

    number: int
    request_id: str
    resume_at: int
    tokens: int
    spans: list[book_types.Span]


class _EngineLine(msgspec.Struct):
    """A line in an engine's books file."""

    at_ms: int
    engine: str
    event: str
    version: int
    run: _RunLine


class _PlainLine(msgspec.Struct):
    """A line in the books file of a plain service."""

    at_ms: int
    key: str
    request_id: str


class _LogEntry(msgspec.Struct):
    """The part of a record that the verdict needs."""

    data: dict


class _LogBatch(msgspec.Struct):
    """Records of the log service."""

    next_offset: int
    records: list[_LogEntry]


def read_books(cluster: cluster_module.Cluster) -> book_types.Books:
    """Read all books of a deployment's run.

    Args:
      cluster: The deployment.

    Returns:
      The books of its users and targets.
    """
    kinds = {
        service.name: service.kind for service in cluster.answers.services
    }
    engine_runs = []
    plain_runs = []
    for settings in cluster.daemons:
        for replica in settings.replicas:
            path = cluster.books_path(replica.name)
            if kinds[replica.service] == 'model':
                engine_runs.extend(read_engine_runs(path))
            else:
                plain_runs.extend(_read_plain_runs(path, replica.name))
    return book_types.Books(
        _read_trainers(cluster),
        [
            event
            for name in cluster.callers
            for event in record_file.read_records(cluster.books_path(name))
        ],
        engine_runs,
        plain_runs,
    )


def read_engine_runs(path: pathlib.Path) -> list[book_types.EngineRun]:
    """Read an engine's runs, over all its processes.

    Args:
      path: Path of its books.

    Returns:
      The runs; one that a crash ended has an open last span.
    """
    last: dict[tuple[int, int], _EngineLine] = {}
    started: dict[tuple[int, int], int] = {}
    process = 0
    for line in standin_books.read_lines(path, _EngineLine):
        key = (process, line.run.number)
        if line.event == 'started' and key in started:
            # Numbers begin anew when the engine was started again.
            process += 1
            key = (process, line.run.number)
        if line.event == 'started':
            started[key] = line.at_ms
        last[key] = line
    return [
        _build_run(line, started.get(key, 0)) for key, line in last.items()
    ]


def _build_run(line: _EngineLine, at_ms: int) -> book_types.EngineRun:
    spans = list(line.run.spans)
    if line.event == 'version':
        start = line.run.resume_at + line.run.tokens
        spans.append((line.version, start, OPEN_END))
    return book_types.EngineRun(line.run.request_id, line.engine, spans, at_ms)


def _read_plain_runs(path, replica: str) -> list[book_types.PlainRun]:
    return [
        book_types.PlainRun(line.key, line.request_id, replica, line.at_ms)
        for line in standin_books.read_lines(path, _PlainLine)
    ]


async def read_all(cluster: cluster_module.Cluster) -> book_types.Books:
    """Read all books, with those of the log service that still runs.

    Args:
      cluster: The deployment.

    Returns:
      The books.
    """
    found = read_books(cluster)
    for _ in range(SEAL_TRIES):
        found.seals = await _read_seals(cluster)
        if found.seals is not None:
            break
        await asyncio.sleep(SEAL_PAUSE_SECONDS)
    return found


async def _read_seals(cluster) -> list[book_types.Seal] | None:
    """Read every seal, unless the log is down or has been truncated."""
    seals = []
    offset = 0
    while True:
        target = f'/streams/trainers/records?from={offset}&wait_ms=0'
        try:
            response = await cluster.get(commands.LOG_SERVICE, target)
        except client.HttpError:
            return None
        if response.status != 200:
            return None
        batch = msgspec.json.decode(response.body, type=_LogBatch)
        for entry in batch.records:
            if entry.data['type'] == 'seal':
                seals.append(msgspec.convert(entry.data, book_types.Seal))
            elif entry.data['type'] == 'checkpoint':
                return None
        if not batch.records:
            return seals
        offset += len(batch.records)


def _read_trainers(cluster) -> list[book_types.TrainerBooks]:
    deployment = generate.build_deployment(cluster.answers)
    return [
        book_types.TrainerBooks(
            trainer.name,
            trainer.staleness_bound,
            books.compute_groups_wanted(
                trainer.groups_per_step, trainer.group_fraction
            ),
            trainer.samples_per_group,
            record_file.read_records(cluster.books_path(trainer.name)),
        )
        for trainer in deployment.trainers
    ]
