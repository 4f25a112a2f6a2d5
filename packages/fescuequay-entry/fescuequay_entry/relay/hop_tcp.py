"""Streams between instances over TCP."""

import asyncio
from typing import Final

from fescuequay_entry.relay import tcp_options
from fescuequay_entry.relay.board import log_event
from fescuequay_entry.relay.hop_frames import Frame, FrameDecoder, FrameError, encode
from fescuequay_entry.relay.hops import HopAcceptor, HopLink, HopReceiver, Hops, HopUnreachable

#: Backlog of the listening socket; all instances may connect at once.
_LISTEN_BACKLOG: Final = 512


class _StreamProtocol(asyncio.Protocol, HopLink):
    """One end of a stream.

    :param accept: Called when the stream is established; returns what handles its frames.
    :param is_answering: Whether this end answers. Only that one stops reading while the other end doesn't read: if both
        did, neither would go on.
    """

    def __init__(self, accept: HopAcceptor, *, is_answering: bool) -> None:
        self._accept = accept
        self._is_answering = is_answering
        self._decoder = FrameDecoder()
        self._transport: asyncio.Transport | None = None
        self._receiver: HopReceiver | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Configure the socket and begin to handle frames."""
        assert isinstance(transport, asyncio.Transport)  # noqa: S101 -- streams only
        self._transport = transport
        tcp_options.detect_silence(transport)
        if not self._is_answering:
            # A statement that was given up must not reach the gateway later.
            tcp_options.reset_at_close(transport)
        self._receiver = self._accept(self)

    def data_received(self, data: bytes) -> None:
        """Handle the frames that are complete; bytes that are none end the stream."""
        receiver = self._receiver
        if receiver is None:
            return
        try:
            for frame in self._decoder.feed(data):
                receiver.receive(frame)
        except FrameError as error:
            log_event('bad_frame', detail=str(error))
            self._end(str(error))
            self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the end of the stream."""
        self._transport = None
        self._end(str(exc) if exc is not None else 'the stream was closed')

    def pause_writing(self) -> None:
        """Take nothing more from an end that doesn't read its answers."""
        if self._transport is not None and self._is_answering:
            self._transport.pause_reading()

    def resume_writing(self) -> None:
        """Read on."""
        if self._transport is not None and self._is_answering:
            self._transport.resume_reading()

    def send(self, frame: Frame) -> None:
        """Send a frame."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(encode(frame))

    def unsent_bytes(self) -> int:
        """:returns: Number of bytes that wait to be sent."""
        return self._transport.get_write_buffer_size() if self._transport is not None else 0

    def close(self) -> None:
        """Close the stream at once."""
        if self._transport is not None:
            self._transport.abort()

    def _end(self, detail: str) -> None:
        receiver, self._receiver = self._receiver, None
        if receiver is not None:
            receiver.end(detail)


class TcpHops(Hops):
    """Opens and accepts streams over TCP.

    :param host: IP address to listen on.
    :param port: Port to listen on.
    """

    def __init__(self, host: str, port: int) -> None:
        self._host = host
        self._port = port
        self._server: asyncio.Server | None = None

    async def connect(self, address: str, receiver: HopReceiver) -> HopLink:
        """Open a stream."""
        host, _, port = address.rpartition(':')
        try:
            _, link = await asyncio.get_running_loop().create_connection(
                lambda: _StreamProtocol(lambda _link: receiver, is_answering=False), host, int(port)
            )
        except (OSError, ValueError, OverflowError) as error:
            raise HopUnreachable(str(error)) from error
        return link

    async def listen(self, accept: HopAcceptor) -> None:
        """Accept streams."""
        self._server = await asyncio.get_running_loop().create_server(
            lambda: _StreamProtocol(accept, is_answering=True),
            self._host,
            self._port,
            backlog=_LISTEN_BACKLOG,
            reuse_address=True,
        )

    def stop(self) -> None:
        """Accept no more streams."""
        if self._server is not None:
            self._server.close()
