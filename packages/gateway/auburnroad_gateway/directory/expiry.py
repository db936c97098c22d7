"""Drops the registrations that lapsed during an outage of the log service."""

import asyncio
import time

from auburnroad_gateway.directory import directory

EXPIRE_INTERVAL_SECONDS = 0.2


async def run(replicas: directory.Directory, tail) -> None:
    """Drop lapsed registrations until cancelled.

    The directory keeps these registrations until live replicas have had time
    to register again after the end of the outage.

    Args:
      replicas: The directory.
      tail: The tail that passes registrations to the directory.
    """
    was_failing = False
    while True:
        await asyncio.sleep(EXPIRE_INTERVAL_SECONDS)
        now = time.monotonic()
        failing = tail.failing
        if failing or was_failing:
            replicas.note_outage(now)
        was_failing = failing
        if not failing:
            replicas.expire(now)
