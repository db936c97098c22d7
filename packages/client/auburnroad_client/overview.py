"""Merges the status of all daemons into one overview.

Each entry reports all sides and the trainers that it owns; each side reports
its own replicas. A daemon that doesn't answer keeps its row, since an operator
looks for hosts that are down.
"""

import typing

import msgspec

from auburnroad_client import daemons
from auburnroad_client import output

Row = dict[str, typing.Any]
Rows = list[Row]
Pairs = list[tuple[daemons.Reply, daemons.Status | None]]

LOAD_FIELDS = ('service', 'slots', 'running', 'waiting', 'ready')


class Overview(msgspec.Struct):
    """Result of status, as rows with column names.

    Attributes:
      daemons: Every daemon, with or without an answer.
      hosts: Target hosts as reported by the entries.
      replicas: Replicas as reported by their sides.
      trainers: Trainers as reported by their owners.
      versions: Announced and oldest served weight version of each model.
    """

    daemons: Rows
    hosts: Rows
    replicas: Rows
    trainers: Rows
    versions: Rows


def build_overview(replies: list[daemons.Reply]) -> Overview:
    """Merge the status of all daemons.

    Args:
      replies: Answers to GET /status, entries first.

    Returns:
      The overview.
    """
    pairs = [(reply, daemons.parse_status(reply)) for reply in replies]
    statuses = [status for _, status in pairs if status is not None]
    return Overview(
        [_build_daemon(reply, status) for reply, status in pairs],
        _build_hosts(statuses),
        [
            {**row, 'host': status.host or status.daemon}
            for status in statuses
            for row in daemons.build_rows(status.replicas)
        ],
        [
            {**row, 'owner': status.daemon}
            for status in statuses
            for row in daemons.build_rows(status.trainers)
        ],
        _build_versions(statuses),
    )


def _build_daemon(reply: daemons.Reply, status: daemons.Status | None) -> Row:
    place = reply.place
    if status is None:
        return {
            'daemon': place.host or place.address,
            'role': place.role,
            'failure_domain': place.failure_domain,
            'state': 'no answer',
        }
    return {
        'daemon': status.daemon,
        'role': status.role,
        'failure_domain': status.failure_domain,
        'state': 'leaving' if status.leaving else 'up',
        'revision': status.revision,
    }


def _build_hosts(statuses: list[daemons.Status]) -> Rows:
    """Build the row of each host from the first entry connected to it."""
    seen: dict[str, list[Row]] = {}
    for status in statuses:
        for row in daemons.build_rows(status.hosts):
            name = str(row.get('host', row.get('name')))
            seen.setdefault(name, []).append(row)
    return [_merge_host(name, rows) for name, rows in sorted(seen.items())]


def _merge_host(name: str, rows: Rows) -> Row:
    connected = [row for row in rows if row.get('connected')]
    row = (connected or rows)[0]
    return {
        'host': name,
        'failure_domain': row.get('failure_domain'),
        'entries_connected': f'{len(connected)}/{len(rows)}',
        'draining': bool(row.get('draining')),
        'leaving': bool(row.get('leaving')),
        'loads': [_build_load(load) for load in row.get('loads') or []],
    }


def _build_load(load: typing.Any) -> typing.Any:
    """Convert a load, which is encoded as an array, to an object."""
    if isinstance(load, list) and len(load) == len(LOAD_FIELDS):
        return dict(zip(LOAD_FIELDS, load, strict=True))
    return load


def _build_versions(statuses: list[daemons.Status]) -> Rows:
    rows: dict[str, Row] = {}
    for status in statuses:
        if not isinstance(status.versions, dict):
            continue
        for model, version in status.versions.items():
            row = rows.setdefault(
                model, {'model': model, 'announced': None, 'served': None}
            )
            if status.role == 'entry':
                row['announced'] = max(row['announced'] or 0, version)
            elif row['served'] is None or version < row['served']:
                row['served'] = version
    return [rows[model] for model in sorted(rows)]


def format_overview(overview: Overview) -> str:
    """Format an overview as text.

    Args:
      overview: The overview.

    Returns:
      One table per part that has rows.
    """
    parts = []
    for name in overview.__struct_fields__:
        rows = getattr(overview, name)
        if name == 'hosts':
            rows = [{**row, 'loads': _format_loads(row)} for row in rows]
        if rows:
            parts.append(f'{name.upper()}\n{output.build_table(rows)}')
    return '\n\n'.join(parts)


def _format_loads(row: Row) -> list[str]:
    return [
        '{service} {running}/{slots} running {waiting} waiting'.format(**load)
        if isinstance(load, dict) and load.keys() >= set(LOAD_FIELDS)
        else output.format_cell(load)
        for load in row['loads']
    ]
