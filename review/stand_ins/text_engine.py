"""A model replica whose events have data of a set size."""

import asyncio
import typing

from auburnroad_standins import platform_replica


class TextEngine(platform_replica.Engine):
    """Makes texts of as many events as the world wants.

    Attributes:
      events: Events of each text.
      piece: Makes the data of one event.
      finished: Ids of the items whose last event was made.
    """

    events = 12
    piece: typing.Callable[[], str] = staticmethod(lambda: 'x')
    finished: set[str] = set()

    async def _generate(self, text_id: str, first: int):
        self._running += 1
        try:
            for number in range(first, self.events):
                await asyncio.sleep(self.pause_seconds)
                if number == self.events - 1:
                    self.finished.add(text_id)
                data = type(self).piece()
                yield f'id: {number}\ndata: {data}\n\n'.encode()
        finally:
            self._running -= 1
