"""Streams between instances over the simulated network."""

import asyncio
import collections
import contextlib
import contextvars
from typing import TYPE_CHECKING

from fescuequay_emulator.virtual_loop import current_process
from fescuequay_entry.relay.hop_frames import Frame, FrameDecoder, FrameError, encode
from fescuequay_entry.relay.hops import HopAcceptor, HopLink, HopReceiver, Hops, HopUnreachable

if TYPE_CHECKING:
    from fescuequay_emulator.world import World


class ModelLink(HopLink):
    """One end of a stream; frames are encoded, delayed, and decoded at the other end.

    :param world: The deployment.
    :param near: Name of the instance at this end.
    :param far: Name of the instance at the other end.
    """

    def __init__(self, world: 'World', near: str, far: str) -> None:
        self.near = near
        self.other: 'ModelLink | None' = None
        self.receiver: HopReceiver | None = None
        self._world = world
        self._far = far
        self._decoder = FrameDecoder()
        self._outgoing: collections.deque[bytes] = collections.deque()
        self._incoming: collections.deque[bytes] = collections.deque()
        self._sender: asyncio.Task[None] | None = None
        self._context = contextvars.copy_context()
        self._context.run(current_process.set, near)

    def send(self, frame: Frame) -> None:
        """Send a frame after those that were sent before."""
        if self.receiver is None:
            return
        self._outgoing.append(encode(frame))
        if self._sender is None or self._sender.done():
            self._sender = self._world.loop.create_task(self._deliver())

    def unsent_bytes(self) -> int:
        """:returns: Number of bytes on the way."""
        return sum(map(len, self._outgoing))

    def close(self) -> None:
        """Close the stream; the other end learns of it, unless the path is cut."""
        self._finish('closed here')
        self._world.loop.create_task(self._close_other())

    def _finish(self, detail: str) -> None:
        receiver, self.receiver = self.receiver, None
        if receiver is not None:
            self._world.links.pop(self, None)
            self._world.loop.call_soon(receiver.end, detail, context=self._context)

    async def _close_other(self) -> None:
        with contextlib.suppress(ConnectionRefusedError):
            await self._world.network.transmit(self.near, self._far)
        if self.other is not None:
            self.other._finish('the other end closed the stream')  # noqa: SLF001 -- the other end of the same stream

    async def _deliver(self) -> None:
        while self._outgoing:
            try:
                await self._world.network.transmit(self.near, self._far)
            except ConnectionRefusedError:
                self._finish('the path is cut')
                return
            self._arrive()

    def _arrive(self) -> None:
        """Hand the next frame over to the process at the other end, which may be frozen."""
        content = self._outgoing.popleft()
        if self.other is not None and self.other.receiver is not None:
            self.other._incoming.append(content)  # noqa: SLF001 -- the other end of the same stream
            self._world.loop.call_soon(self.other._receive, context=self.other._context)  # noqa: SLF001 -- as above

    def _receive(self) -> None:
        if not self._incoming or self.receiver is None:
            return
        receiver = self.receiver
        try:
            for frame in self._decoder.feed(self._incoming.popleft()):
                receiver.receive(frame)
        except FrameError:
            self.close()


class ModelHops(Hops):
    """Opens and accepts streams of one instance.

    :param world: The deployment.
    :param name: Name of the instance.
    """

    def __init__(self, world: 'World', name: str) -> None:
        self._world = world
        self._name = name

    async def connect(self, address: str, receiver: HopReceiver) -> HopLink:
        """Open a stream."""
        far = address.rpartition(':')[0]
        try:
            await self._world.network.transmit(self._name, far)
            await asyncio.sleep(max(self._world.loop.frozen_until(far) - self._world.loop.time(), 0))
            accept = self._world.acceptors.get(far)
            if accept is None:
                raise ConnectionRefusedError(address)
            near_end = ModelLink(self._world, self._name, far)
            far_end = ModelLink(self._world, far, self._name)
            near_end.other = far_end
            far_end.other = near_end
            self._world.opened_streams += 1
            near_end.receiver = receiver
            far_end.receiver = accept(far_end)
            self._world.links[near_end] = None
            self._world.links[far_end] = None
            await self._world.network.transmit(far, self._name)
        except ConnectionRefusedError as error:
            raise HopUnreachable(str(error)) from error
        return near_end

    async def listen(self, accept: HopAcceptor) -> None:
        """Accept streams."""

        def accept_in_process(link: HopLink) -> HopReceiver:
            context = contextvars.copy_context()
            context.run(current_process.set, self._name)
            return context.run(accept, link)

        self._world.acceptors[self._name] = accept_in_process

    def stop(self) -> None:
        """Accept no more streams."""
        self._world.acceptors.pop(self._name, None)
