"""The part of a side's planned stop that waits for its requests."""

import asyncio

from absl import logging

from auburnroad_core import clock
from auburnroad_core import refusals
from auburnroad_daemon.request import side_requests

# Waiting requests are refused after this share of the drain time, which
# leaves the rest for running requests to end.
WAITING_SHARE_OF_DRAIN = 0.5
POLL_SECONDS = 0.02
# An entry may have sent a request before it received the leaving heartbeat.
# Such a request still gets a refusal during this time.
LINGER_SECONDS = 0.5


async def finish_work(
    requests: side_requests.SideRequests, drain_ms: int
) -> None:
    """Wait until all requests are answered, or until the deadline.

    Args:
      requests: Requests of the side, which already refuses new ones.
      drain_ms: Time limit of the planned stop in milliseconds.
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
            '%d requests still running at the drain deadline',
            requests.running,
        )
        await requests.close()
    await asyncio.sleep(LINGER_SECONDS)
