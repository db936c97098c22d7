"""Audit trail: who changed what, when, and with which effect.

It is built from the records of the log and the verdicts of the same fold that
every daemon runs, so that it always agrees with the daemons.
"""

import msgspec

from auburnroad_client import pack
from auburnroad_client.questionnaire import compare
from auburnroad_core.log import configuration_fold
from auburnroad_core.log import records
from auburnroad_core.log import replay
from auburnroad_core.log import verdict
from auburnroad_core.platform import log_service

STREAM = records.CONFIGURATION_STREAM
IN_FORCE = 'in force'
SUPERSEDED = 'superseded'
EXPIRED = 'expired'
EFFECTIVE = (IN_FORCE, SUPERSEDED)

_DECODER = msgspec.json.Decoder(records.ConfigurationRecord)


class TrailEntry(msgspec.Struct):
    """One record of the audit trail.

    Attributes:
      revision: Offset of the record.
      at_ms: Unix milliseconds by the operator's clock.
      author: Operator's name.
      act: 'publish', 'drain', 'undrain' or 'unreadable'.
      effect: 'in force', 'superseded', or the verdict of the fold; 'expired'
        if the records that decide the verdict have expired.
      base_revision: Revision that a publication is based on, -1 for none.
      summary: Summary of a publication's changes, or the host of an order.
      changes: Fields that the publication changed, one per line.
    """

    revision: int
    at_ms: int
    author: str
    act: str
    effect: str
    base_revision: int = -1
    summary: str = ''
    changes: list[str] = []


async def read_trail(
    service: log_service.LogService, limit: int = 0
) -> list[TrailEntry]:
    """Read the audit trail.

    Args:
      service: The log service.
      limit: Number of the latest entries to return, 0 for all.

    Returns:
      Entries whose records the log still keeps, oldest first.

    Raises:
      LogUnavailableError: If the log service can't be read.
    """
    trail = _TrailBuilder()
    result = replay.Replay(configuration_fold)
    offset = 0
    while True:
        batch = await service.read(STREAM, offset, 0.0)
        entries = list(batch.records)
        verdicts = {
            step.entry.offset: step.verdict
            for step in result.fold_batch(batch)
        }
        for entry in entries:
            trail.add(entry, verdicts.get(entry.offset))
        if not entries or entries[-1].offset + 1 >= batch.next_offset:
            return trail.build(result, limit)
        offset = entries[-1].offset + 1


class _TrailBuilder:
    """Collects entries, and compares only the publications to be returned."""

    __slots__ = ('_entries', '_answers_by_offset', '_previous_answers')

    def __init__(self):
        self._entries: dict[int, TrailEntry] = {}
        # Packed answers before and after each publication, by offset.
        self._answers_by_offset: dict[
            int, tuple[msgspec.Raw, msgspec.Raw]
        ] = {}
        self._previous_answers = msgspec.Raw(b'null')

    def add(self, entry: records.Entry, found: verdict.Verdict | None) -> None:
        """Add one record with its verdict."""
        effect = EXPIRED if found is None else found.value
        try:
            record = _DECODER.decode(entry.data)
        except msgspec.DecodeError:
            self._entries[entry.offset] = TrailEntry(
                entry.offset, 0, '', 'unreadable', effect
            )
            return
        if isinstance(record, records.Publish):
            self._add_publish(entry, record, effect)
        elif isinstance(record, records.HostOrder):
            self._entries[entry.offset] = TrailEntry(
                entry.offset,
                record.at_ms,
                record.author,
                'drain' if record.draining else 'undrain',
                effect,
                summary=record.host,
            )

    def _add_publish(self, entry, record, effect) -> None:
        # A copy, since the original would keep the whole batch in memory.
        answers = record.answers.copy()
        self._answers_by_offset[entry.offset] = self._previous_answers, answers
        if effect in (verdict.Verdict.EFFECTIVE, EXPIRED):
            self._previous_answers = answers
        self._entries[entry.offset] = TrailEntry(
            entry.offset,
            record.at_ms,
            record.author,
            'publish',
            effect,
            record.base_revision,
            record.summary,
        )

    def build(self, result: replay.Replay, limit: int) -> list[TrailEntry]:
        """Build the latest entries, with the fields that each one changed."""
        revision = -1 if result.state is None else result.state.revision
        for change in self._entries.values():
            effective = change.effect == verdict.Verdict.EFFECTIVE
            if change.revision == revision:
                change.effect = IN_FORCE
            elif change.act == 'publish' and effective:
                change.effect = SUPERSEDED
        offsets = sorted(self._entries)[-limit:]
        for offset in offsets:
            if offset in self._answers_by_offset:
                self._entries[offset].changes = self._compare(offset)
        return [self._entries[offset] for offset in offsets]

    def _compare(self, offset: int) -> list[str]:
        before, after = self._answers_by_offset[offset]
        try:
            old = pack.unpack_answers(before) or {}
            changes = compare.compare_values(old, pack.unpack_answers(after))
        except pack.PackError as error:
            return [f'the answers cannot be read: {error}']
        return [str(change) for change in changes]
