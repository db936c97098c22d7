"""A model replica whose texts have a set number of events."""

import asyncio

from auburnroad_standins import platform_replica


class LongEngine(platform_replica.Engine):
    """Makes texts of as many events as the world wants.

    Attributes:
      events: Events of each text.
    """

    events = 100

    async def _generate(self, text_id: str, first: int):
        self._running += 1
        run = f'{self.id}-{len(self._books.runs)}'
        sent_version = self.version
        try:
            for number in range(first, self.events):
                await asyncio.sleep(self.pause_seconds)
                line = ''
                if self.version != sent_version:
                    sent_version = self.version
                    line = f'weight-versions:{sent_version}\n'
                data = platform_replica.build_event(
                    text_id, number, self.software, run, first
                )
                yield f'{line}id: {number}\ndata: {data}\n\n'.encode()
        finally:
            self._running -= 1
