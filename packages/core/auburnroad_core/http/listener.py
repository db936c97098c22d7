"""Finds out whether a server still listens on its address.

A connection that ends without a response may have been reset on the way, or
its server may have ended. Only a refused connection shows the latter: a server
with too many connections accepts a connection before it resets it, and a path
that is cut refuses nothing.
"""

import asyncio
import enum


class Listener(enum.Enum):
    """What a connection attempt tells about a server."""

    LISTENING = 'listening'
    ENDED = 'ended'
    UNREACHABLE = 'unreachable'


async def find_listener(address: str, timeout_seconds: float) -> Listener:
    """Open a connection and close it at once.

    Args:
      address: 'IP address:port'.
      timeout_seconds: Timeout of opening the connection.

    Returns:
      Whether the address accepts connections, refuses them, or neither.
    """
    host, _, port = address.rpartition(':')
    try:
        async with asyncio.timeout(timeout_seconds):
            _, writer = await asyncio.open_connection(host, int(port))
    except ConnectionRefusedError:
        return Listener.ENDED
    except (OSError, TimeoutError, ValueError):
        return Listener.UNREACHABLE
    writer.close()
    return Listener.LISTENING
