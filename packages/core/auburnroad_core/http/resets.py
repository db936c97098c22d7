"""Resets connections, which drops the bytes that have not arrived."""

import asyncio
import socket
import struct

# On, with no seconds to linger: closing the socket resets the connection.
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection at once by resetting it."""
    connected = writer.get_extra_info('socket')
    if connected is not None:
        connected.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
        )
    writer.transport.abort()
