"""A model replica that heeds the version that a request expects."""

import asyncio

from auburnroad_core.http import messages
from review_stand_ins import long_engine


class VersionedEngine(long_engine.LongEngine):
    """Answers 421 to a request that expects other weights.

    Attributes:
      mismatches: Number of such answers of all replicas.
      short_prefix: Begins the paths of requests with short answers.
      short_events: Events of these.
    """

    mismatches = 0
    short_prefix = '/lohu930/'
    short_events = 3

    async def _handle_request(self, request) -> messages.Response:
        expected = request.headers.get('expect-version')
        if expected is not None and expected != str(self.version):
            VersionedEngine.mismatches += 1
            return messages.Response(421, {'not-executed': '1'})
        response = await super()._handle_request(request)
        if response.status == 200 and request.path.startswith(
            self.short_prefix
        ):
            # A generator that was never started needs no close.
            response.chunks = self._generate_short(
                request.headers.get('request-id', '')
            )
        return response

    async def _generate_short(self, text_id: str):
        self._running += 1
        try:
            for number in range(self.short_events):
                await asyncio.sleep(self.pause_seconds)
                data = f'{text_id}.{number}'
                yield f'id: {number}\ndata: {data}\n\n'.encode()
        finally:
            self._running -= 1
