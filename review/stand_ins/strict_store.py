"""The project's store, with the limit of the bytes of one append call."""

from auburnroad_core.http import messages
from auburnroad_standins import platform_store

CALL_BYTES = 2_097_152


class StrictStore(platform_store.PlatformStore):
    """Refuses calls whose records, each with its length, are too large.

    Attributes:
      refused_sizes: Sizes of the refused calls in bytes, by topic/partition.
    """

    def __init__(self):
        super().__init__()
        self.refused_sizes: dict[str, list[int]] = {}

    async def _handle(self, host_name, request) -> messages.Response:
        if len(request.body) > CALL_BYTES and not self.log.down:
            place = f'{request.query["topic"]}/{request.query["part"]}'
            self.refused_sizes.setdefault(place, []).append(len(request.body))
            return messages.Response(413)
        return await super()._handle(host_name, request)
