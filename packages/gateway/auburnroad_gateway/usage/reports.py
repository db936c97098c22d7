"""The fixed reports in the log, from which alone the platform is told.

A report is fixed by an append on condition of the end of the topic. Whoever
appends the next report has therefore read this one, and a window is fixed once
at most.
"""

import msgspec

from auburnroad_core import decoding
from auburnroad_gateway.log import service
from auburnroad_gateway.telemetry import events

TOPIC = service.KEYED_PREFIX + 'usage-reports'
SLOTS = 32


class FixedReport(msgspec.Struct, frozen=True, array_like=True):
    """Report of a window that must not change any more.

    Attributes:
      window: Number of the window.
      counts: Number of requests by account.
      sent: Whether the platform has confirmed it.
    """

    window: int
    counts: dict[str, int]
    sent: bool = False


def encode_report(report: FixedReport) -> bytes:
    """Encode a report as a record of the topic."""
    return service.encode_keyed(
        str(report.window % SLOTS), msgspec.msgpack.encode(report)
    )


class FixedReports:
    """The fixed reports that are in the topic, one for each slot.

    Which are kept does not depend on the numbers of the windows: a report of a
    gateway whose clock is wrong may be of a window far ahead.

    Attributes:
      reports: Reports by window.
    """

    __slots__ = ('reports',)

    def __init__(self):
        self.reports: dict[int, FixedReport] = {}

    def apply(self, record: service.KeyedRecord) -> None:
        """Apply a record of the topic; the first counts of a window stay."""
        if not record.value:
            return
        try:
            report = decoding.decode_msgpack(record.value, FixedReport)
        except msgspec.DecodeError as error:
            events.write_invalid_record(TOPIC, record.key, error)
            return
        if report.window in self.reports:
            if report.sent:
                self.note_sent(report.window)
            return
        slot = report.window % SLOTS
        for window in [
            entry for entry in self.reports if entry % SLOTS == slot
        ]:
            del self.reports[window]
        self.reports[report.window] = report

    def note_sent(self, window: int) -> None:
        """Note that the platform has confirmed a report, if it is known."""
        report = self.reports.get(window)
        if report is not None:
            self.reports[window] = msgspec.structs.replace(report, sent=True)

    def list_unsent(self, oldest: int) -> list[FixedReport]:
        """List the unconfirmed reports from a window on, in order."""
        return [
            self.reports[window]
            for window in sorted(self.reports)
            if window >= oldest and not self.reports[window].sent
        ]

    def find_next(self, first: int, current: int) -> int | None:
        """Find the first window without a report.

        Args:
          first: First window that is considered.
          current: Window that is not over yet.

        Returns:
          The window; None if all windows before the current one are fixed.
        """
        return next(
            (
                window
                for window in range(first, current)
                if window not in self.reports
            ),
            None,
        )
