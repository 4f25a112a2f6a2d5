"""HTTP client sessions whose kept connections are checked before they are used again."""

from typing import TYPE_CHECKING, Final

import aiohttp

from fescuequay_entry.relay import tcp_options

if TYPE_CHECKING:
    from aiohttp.connector import Connection
    from aiohttp.tracing import Trace

#: Idle time after which a kept connection is closed, in seconds.
_KEEP_ALIVE_S: Final = 10

#: Most connections in a row on which something arrived before the request.
_MAX_TRIES: Final = 16


class _CheckedConnector(aiohttp.TCPConnector):
    """Uses no connection on which something has arrived that belongs to no request, which the library would take for
    the response to the next one.
    """

    async def connect(
        self, req: aiohttp.ClientRequest, traces: list['Trace'], timeout: aiohttp.ClientTimeout
    ) -> 'Connection':
        """:returns: A connection for the request. :raises aiohttp.ClientConnectionError: There is none."""
        for _ in range(_MAX_TRIES):
            connection = await super().connect(req, traces, timeout)
            if not _has_surplus(connection):
                return connection
            connection.close()
        raise aiohttp.ClientConnectionError('responses arrive before their requests')


def open_session() -> aiohttp.ClientSession:
    """:returns: A client session with any number of connections."""
    return aiohttp.ClientSession(connector=_CheckedConnector(limit=0, keepalive_timeout=_KEEP_ALIVE_S))


def _has_surplus(connection: 'Connection') -> bool:
    """:returns: Whether anything has arrived, read by the event loop or not, or the connection has ended."""
    protocol, transport = connection.protocol, connection.transport
    if protocol is None or transport is None:
        return True
    return protocol.should_close or tcp_options.has_arrived(transport)
