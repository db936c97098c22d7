"""The audit trail: who changed what, when, and with which effect.

It is read from the records themselves, with the verdicts of the fold that
every daemon runs, so that it can't differ from what took effect.
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


class Change(msgspec.Struct):
    """One record of the audit trail.

    Attributes:
      revision: Offset of the record.
      at_ms: Unix milliseconds by the operator's clock.
      author: Operator's name.
      act: 'publish', 'drain', 'undrain' or 'unreadable'.
      effect: 'in force', 'superseded', or the verdict of the fold; 'expired'
        when the records that it stands on are gone.
      base_revision: Revision that a publication was made from, -1 for none.
      summary: What its author says was changed, or the host.
      changes: What it changed against the configuration before it.
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
) -> list[Change]:
    """Read the audit trail.

    Args:
      service: The log service.
      limit: How many of the last changes are wanted, 0 for all.

    Returns:
      Changes that the log still keeps, oldest first.

    Raises:
      LogUnavailableError: If the log service can't be read.
    """
    trail = _Trail()
    result = replay.Replay(configuration_fold)
    offset = 0
    while True:
        batch = await service.read(STREAM, offset, 0.0)
        entries = list(batch.records)
        verdicts = {
            step.entry.offset: step.verdict for step in result.take(batch)
        }
        for entry in entries:
            trail.add(entry, verdicts.get(entry.offset))
        if not entries or entries[-1].offset + 1 >= batch.next_offset:
            return trail.finish(result, limit)
        offset = entries[-1].offset + 1


class _Trail:
    """Collects changes; compares publications only once they are wanted."""

    __slots__ = ('_changes', '_documents', '_before')

    def __init__(self):
        self._changes: dict[int, Change] = {}
        # Answers before and after each publication, packed.
        self._documents: dict[int, tuple[msgspec.Raw, msgspec.Raw]] = {}
        self._before = msgspec.Raw(b'null')

    def add(self, entry: records.Entry, found: verdict.Verdict | None) -> None:
        """Take in one record with its verdict."""
        effect = EXPIRED if found is None else found.value
        try:
            record = _DECODER.decode(entry.data)
        except msgspec.DecodeError:
            self._changes[entry.offset] = Change(
                entry.offset, 0, '', 'unreadable', effect
            )
            return
        if isinstance(record, records.Publish):
            self._add_publish(entry, record, effect)
        elif isinstance(record, records.HostOrder):
            self._changes[entry.offset] = Change(
                entry.offset,
                record.at_ms,
                record.author,
                'drain' if record.draining else 'undrain',
                effect,
                summary=record.host,
            )

    def _add_publish(self, entry, record, effect) -> None:
        # A copy, since the original keeps the whole batch in memory.
        answers = record.answers.copy()
        self._documents[entry.offset] = self._before, answers
        if effect in (verdict.Verdict.EFFECTIVE, EXPIRED):
            self._before = answers
        self._changes[entry.offset] = Change(
            entry.offset,
            record.at_ms,
            record.author,
            'publish',
            effect,
            record.base_revision,
            record.summary,
        )

    def finish(self, result: replay.Replay, limit: int) -> list[Change]:
        """Return the last changes, with what each one changed."""
        revision = -1 if result.state is None else result.state.revision
        for change in self._changes.values():
            effective = change.effect == verdict.Verdict.EFFECTIVE
            if change.revision == revision:
                change.effect = IN_FORCE
            elif change.act == 'publish' and effective:
                change.effect = SUPERSEDED
        offsets = sorted(self._changes)[-limit:]
        for offset in offsets:
            if offset in self._documents:
                self._changes[offset].changes = self._compare(offset)
        return [self._changes[offset] for offset in offsets]

    def _compare(self, offset: int) -> list[str]:
        before, after = self._documents[offset]
        try:
            old = pack.unpack_answers(before) or {}
            changes = compare.compare_values(old, pack.unpack_answers(after))
        except pack.PackError as error:
            return [f'the answers cannot be read: {error}']
        return [str(change) for change in changes]
