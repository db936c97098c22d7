"""Measures where the time of a training step went.

A step ends when its trainer has read as many complete groups as it waits for.
The last item of the last of these groups decided the end. Its time is divided
into phases, and one log line tells them when the step ends; the command
`auburnroad steps` sums them up.
"""

import enum

from auburnroad_gateway.telemetry import events


class Phase(enum.StrEnum):
    """What an item waits for.

    Attributes:
      SLOT: A replica with a free slot.
      VERSION: A replica with new enough weights.
      GENERATING: The events of its text.
      SCORING: Its reward call.
      LISTING: The append of its result, until it is read back.
      LISTED: Nothing; its result can be read.
    """

    SLOT = 'slot'
    VERSION = 'version'
    GENERATING = 'generating'
    SCORING = 'scoring'
    LISTING = 'listing'
    LISTED = 'listed'


class ItemTimeline:
    """Time that an item has spent in each phase.

    Attributes:
      phase: Present phase.
      since: Monotonic time in seconds at which the phase began.
      attempts: Number of times that generating has begun.
      spent: Seconds by phase, without the present one.
    """

    __slots__ = ('phase', 'since', 'attempts', 'spent')

    def __init__(self, now: float):
        self.phase = Phase.SLOT
        self.since = now
        self.attempts = 0
        self.spent: dict[Phase, float] = {}

    def enter(self, phase: Phase, now: float) -> None:
        """Begin a phase, unless it is the present one."""
        if phase is self.phase:
            return
        self.spent[self.phase] = self.measure(self.phase, now)
        self.phase = phase
        self.since = now
        self.attempts += phase is Phase.GENERATING

    def measure(self, phase: Phase, now: float) -> float:
        """Measure the seconds in a phase, the present one included."""
        spent = self.spent.get(phase, 0.0)
        return spent + (now - self.since if phase is self.phase else 0.0)


class StepTimeline:
    """Timelines of the items of a batch, since this gateway runs it.

    Attributes:
      items: Timelines by item index; items that had a result before this
        gateway ran the batch have none.
    """

    __slots__ = ('items', '_started_at')

    def __init__(self, indexes, now: float):
        self.items = {index: ItemTimeline(now) for index in indexes}
        self._started_at = now

    def enter(self, index: int, phase: Phase, now: float) -> None:
        """Begin a phase of an item."""
        timeline = self.items.get(index)
        if timeline is not None:
            timeline.enter(phase, now)

    def note_listed(self, finished: set[int], now: float) -> None:
        """Note that the results of items can be read."""
        for index, timeline in self.items.items():
            if timeline.phase is Phase.LISTING and index in finished:
                timeline.enter(Phase.LISTED, now)

    def find_decisive(self, submission) -> tuple[int | None, int]:
        """Find the item that decided the end of the step.

        Args:
          submission: The batch.

        Returns:
          Index of the item, None if this gateway ran none; and the number of
          complete groups.
        """
        groups: dict[str, list[int]] = {}
        for index, item in enumerate(submission.items):
            groups.setdefault(item.group, []).append(index)
        ends = sorted(
            max(((*self._rank(index), index) for index in indexes))
            for indexes in groups.values()
        )
        if not ends:
            return None, 0
        complete = sum(not is_open for is_open, _, _ in ends)
        decisive = ends[min(submission.groups_wanted, len(ends)) - 1][2]
        return decisive if decisive in self.items else None, complete

    def write(
        self, batch_id: str, submission, age_ms: int, now: float
    ) -> None:
        """Write where the time of the step went.

        Args:
          batch_id: Id of the batch.
          submission: The batch.
          age_ms: Milliseconds since the submission.
          now: Monotonic time in seconds.
        """
        index, complete = self.find_decisive(submission)
        fields = {}
        if index is not None:
            timeline = self.items[index]
            fields = {
                f'{phase}_ms': int(timeline.measure(phase, now) * 1000)
                for phase in Phase
            }
            fields['item'] = submission.items[index].id
            fields['attempts'] = timeline.attempts
        events.write(
            'step_ended',
            batch=batch_id,
            step=submission.step,
            model=submission.model,
            groups_wanted=submission.groups_wanted,
            groups_complete=complete,
            age_ms=age_ms,
            # Without an owner, or at an earlier one.
            before_ms=age_ms - int((now - self._started_at) * 1000),
            **fields,
        )

    def _rank(self, index: int) -> tuple[bool, float]:
        """Rank items by when they were listed, the unlisted ones last."""
        timeline = self.items.get(index)
        if timeline is None:
            return False, 0.0
        return timeline.phase is not Phase.LISTED, timeline.since
