"""Interface of the streams between instances and gateways."""

import abc
from collections.abc import Callable
from typing import TypeAlias

from fescuequay_entry.relay.hop_frames import Frame


class HopUnreachable(Exception):
    """No stream could be opened; nothing was sent."""


class HopLink(abc.ABC):
    """One end of an open stream."""

    @abc.abstractmethod
    def send(self, frame: Frame) -> None:
        """Send a frame; does nothing when the stream is closed.

        :raises UnsendableFrame: Nothing was sent, since the other end would not decode it.
        """

    @abc.abstractmethod
    def unsent_bytes(self) -> int:
        """:returns: Number of bytes that wait to be sent."""

    @abc.abstractmethod
    def close(self) -> None:
        """Close the stream at once."""


class HopReceiver(abc.ABC):
    """What happens at one end of a stream."""

    @abc.abstractmethod
    def receive(self, frame: Frame) -> None:
        """Handle a frame of the other end. :raises FrameError: The other end may not send it; the stream is ended."""

    @abc.abstractmethod
    def end(self, detail: str) -> None:
        """Handle the end of the stream.

        :param detail: Why it ended.
        """


HopAcceptor: TypeAlias = Callable[[HopLink], HopReceiver]


class Hops(abc.ABC):
    """Opens and accepts streams between instances."""

    @abc.abstractmethod
    async def connect(self, address: str, receiver: HopReceiver) -> HopLink:
        """Open a stream.

        :param address: ``host:port`` of the gateway's listener.
        :param receiver: Handles what arrives.
        :raises HopUnreachable: It could not be opened.
        """

    @abc.abstractmethod
    async def listen(self, accept: HopAcceptor) -> None:
        """Accept streams.

        :param accept: Called with each new stream; returns what handles its frames.
        """

    @abc.abstractmethod
    def stop(self) -> None:
        """Accept no more streams."""
