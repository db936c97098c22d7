"""A model replica that streams texts of a known length."""

import asyncio
import json
import random

from stand_ins_2 import harness

MODEL = 'daka510000'


class Engine(harness.Replica):
    """Streams events 0, 1, ... of each item, and resumes behind any event.

    Attributes:
      event_seconds: Mean time between two events.
      spread: Share of that time by which single ones differ at most.
      events: Number of events of each text, or a function that tells it from
        the item's id.
      runs: Ids of the items that it has begun to run, in order.
      current: Ids of the items that it runs now.
    """

    def __init__(self, *arguments, event_seconds: float, events):
        super().__init__(*arguments)
        self.event_seconds = event_seconds
        self.spread = 0.0
        self.events = events
        self.runs: list[str] = []
        self.current: set[str] = set()
        self.models = [{'name': MODEL, 'version': 1, 'adapters': []}]

    async def handle(self, request, writer) -> None:
        """Answer a request."""
        refused = self.check(request)
        if refused is not None:
            writer.write(refused)
        elif request.path == '/-/report':
            writer.write(self._build_report())
        elif self.running >= self.slots:
            writer.write(harness.build_response(503, {'Not-Executed': '1'}))
        else:
            await self._run(request, writer)
        await writer.drain()

    def count_events(self, item_id: str) -> int:
        """Count the events of the text of an item."""
        return self.events(item_id) if callable(self.events) else self.events

    def _build_report(self) -> bytes:
        report = {
            'stage': 'both',
            'models': self.models,
            'busy': False,
            'sequence': 0,
            'waiting': 0,
            'running': self.running,
        }
        return harness.build_response(
            200,
            {'Content-Type': 'application/json'},
            json.dumps(report).encode(),
        )

    async def _run(self, request, writer) -> None:
        self.running += 1
        self.runs.append(request.id)
        self.current.add(request.id)
        first = int(request.headers.get('last-event-id', -1)) + 1
        self.world.record.write('run', self.id, request.id, 'from', first)
        writer.write(
            harness.build_head(
                'HTTP/1.1 200 OK',
                {
                    **self.stamp(request),
                    'Content-Type': 'text/event-stream',
                    'Weight-Versions': '1',
                    'Transfer-Encoding': 'chunked',
                },
            )
        )
        try:
            for number in range(first, self.count_events(request.id)):
                await asyncio.sleep(
                    self.event_seconds
                    * random.uniform(1 - self.spread, 1 + self.spread)
                )
                event = f'id: {number}\ndata: {request.id}.{number}\n\n'
                writer.write(f'{len(event):x}\r\n{event}\r\n'.encode())
                await writer.drain()
            writer.write(b'0\r\n\r\n')
            self.world.record.write('done', self.id, request.id)
        finally:
            self.running -= 1
            self.current.discard(request.id)
