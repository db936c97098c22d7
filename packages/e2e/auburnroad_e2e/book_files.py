"""Reads the books that the processes of a run wrote into its directory."""

import pathlib

import msgspec

from auburnroad_client.questionnaire import generate
from auburnroad_e2e import book_types
from auburnroad_e2e import books
from auburnroad_e2e import cluster as cluster_module
from auburnroad_standins import books as standin_books
from auburnroad_standins import record_file

# A crash leaves the last span of a run open: what the engine had produced by
# then was of that version, however much it was.
OPEN_END = 1 << 30


class _RunLine(msgspec.Struct):
    """The part of an engine's run that the verdict needs."""

    number: int
    request_id: str
    resume_at: int
    tokens: int
    spans: list[book_types.Span]


class _EngineLine(msgspec.Struct):
    """A line in an engine's books file."""

    engine: str
    event: str
    version: int
    run: _RunLine


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
                plain_runs.extend(
                    standin_books.read_lines(path, book_types.PlainRun)
                )
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
    ended: list[_EngineLine] = []
    last: dict[int, _EngineLine] = {}
    for line in standin_books.read_lines(path, _EngineLine):
        if line.event == 'started' and line.run.number in last:
            ended.append(last[line.run.number])
        last[line.run.number] = line
    return [_build_run(line) for line in (*ended, *last.values())]


def _build_run(line: _EngineLine) -> book_types.EngineRun:
    spans = list(line.run.spans)
    if line.event == 'version':
        start = line.run.resume_at + line.run.tokens
        spans.append((line.version, start, OPEN_END))
    return book_types.EngineRun(line.run.request_id, line.engine, spans)


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
