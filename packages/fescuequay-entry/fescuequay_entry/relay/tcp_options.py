"""Options of TCP connections: when silence is noticed, and what becomes of bytes that have not arrived at a close."""

import asyncio
import select
import socket
import struct
from typing import Final

#: TCP keepalive: idle time before the first probe and interval between probes, in seconds, and the number of
#: probes. A silent end is detected after about 3 s, the time in which targets detect theirs.
_KEEPALIVE_IDLE_S: Final = 2
_KEEPALIVE_INTERVAL_S: Final = 1
_KEEPALIVE_PROBES: Final = 2

#: Maximum time for which sent data may stay unacknowledged, in milliseconds; the same 3 s.
_TCP_USER_TIMEOUT_MS: Final = 3000

#: Value of ``SO_LINGER``: on, with a timeout of 0 s, by which the kernel resets the connection at its close.
_RESET_AT_CLOSE: Final = struct.pack('ii', 1, 0)

_MS_PER_S: Final = 1000


def detect_silence(transport: asyncio.BaseTransport) -> None:
    """Let the kernel detect a silent end, and send small messages without delay."""
    sock = transport.get_extra_info('socket')
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _TCP_USER_TIMEOUT_MS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def reset_at_close(transport: asyncio.BaseTransport) -> None:
    """Let the close of a connection reset it, so that bytes which a network partition holds up never arrive.

    It is an option of the socket, so it also holds when the kernel closes the connection of a process that was killed.
    It is for the end that makes requests: the other end's last answers would be lost.
    """
    transport.get_extra_info('socket').setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_AT_CLOSE)


def drop_unacknowledged_after(transport: asyncio.BaseTransport, limit_s: float) -> None:
    """Let the kernel drop what is not acknowledged in time, even while the process is stopped.

    :param transport: The connection.
    :param limit_s: That time, in seconds.
    """
    limit_ms = max(int(limit_s * _MS_PER_S), 1)
    transport.get_extra_info('socket').setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, limit_ms)


def has_arrived(transport: asyncio.BaseTransport) -> bool:
    """:returns: Whether bytes, or the end of the connection, wait to be read by the event loop."""
    poll = select.poll()
    poll.register(transport.get_extra_info('socket').fileno(), select.POLLIN)
    return bool(poll.poll(0))
