"""The planned stop of a side, up to where nothing is left to harm."""

import asyncio

from absl import logging

from auburnroad_core import clock
from auburnroad_core import refusals
from auburnroad_daemon.request import side_requests

# What waits is refused by then, so that what runs has time to end.
WAITING_SHARE_OF_DRAIN = 0.5
POLL_SECONDS = 0.02
# An entry may have sent a request just before it heard that we leave.
LINGER_SECONDS = 0.5


async def finish_work(
    requests: side_requests.SideRequests, drain_ms: int
) -> None:
    """Wait until all work is answered, or until the deadline.

    Args:
      requests: The side's requests; new ones are refused already.
      drain_ms: Time that the planned stop may take, in milliseconds.
    """
    now_ms = clock.time_now_ms()
    waiting_deadline_ms = now_ms + int(drain_ms * WAITING_SHARE_OF_DRAIN)
    deadline_ms = now_ms + drain_ms
    while not requests.is_idle() and clock.time_now_ms() < deadline_ms:
        if clock.time_now_ms() >= waiting_deadline_ms:
            requests.refuse_waiting(refusals.LEAVING)
        await asyncio.sleep(POLL_SECONDS)
    if requests.running:
        logging.warning(
            '%d requests outlast the planned stop', requests.running
        )
        await requests.close()
    await asyncio.sleep(LINGER_SECONDS)
