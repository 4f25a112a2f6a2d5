"""One gateway of a simulated deployment, asked over a stream by a test in the place of another instance."""

import asyncio
import contextvars
from collections.abc import Awaitable, Callable
from typing import Any, Final

import msgspec

from fescuequay_core.relay.model import StatementKind
from fescuequay_core.types import TargetId
from fescuequay_emulator.targets import Execution
from fescuequay_emulator.virtual_loop import current_process
from fescuequay_emulator.world import Plan, World
from fescuequay_entry.relay.hop_frames import Answer, Ask, Frame, FrameDecoder, FrameError, Step, encode
from fescuequay_entry.relay.hops import HopLink, HopReceiver

#: Time in which a gateway answers what it was asked, in virtual seconds.
_ANSWER_S: Final = 2.0

_ORGANISATION: Final = 'o0'


class BenchLink(HopLink):
    """The gateway's end of a stream; keeps the frames that are sent."""

    def __init__(self) -> None:
        self.answers: list[Answer] = []
        self.is_closed = False
        self._decoder = FrameDecoder()

    def send(self, frame: Frame) -> None:
        """Encode, decode and keep a frame."""
        self.answers.extend(one for one in self._decoder.feed(encode(frame)) if isinstance(one, Answer))

    def unsent_bytes(self) -> int:
        """:returns: 0."""
        return 0

    def close(self) -> None:
        """Note the end of the stream."""
        self.is_closed = True


class GatewayBench:
    """A gateway of the primary of the first service, in a deployment with few connections."""

    def __init__(self) -> None:
        self.world = World(Plan(instances=5, max_connections=8, cores=1.0), 3)
        self.link = BenchLink()
        self.error: FrameError | None = None

    def run(self, steps: Callable[['GatewayBench'], Awaitable[None]]) -> None:
        """Start the deployment and run a test."""

        async def run(world: World) -> None:
            await world.start()
            self.primary = world.primary_of('s0').description
            self.instance = next(
                instance
                for instance in world.instances.values()
                if instance._pools._directory.is_gateway(self.primary)  # noqa: SLF001 -- the directory has no port
            )
            self._context = contextvars.copy_context()
            self._context.run(current_process.set, self.instance.settings.instance)
            self._receiver: HopReceiver = self._context.run(self.instance._gateway.accept, self.link)  # noqa: SLF001
            await steps(self)

        self.world.run(run)

    def ask(self, number: int, text: str = 'READ 1', kind: StatementKind = StatementKind.READ, **fields: Any) -> Ask:
        """:returns: A request for a single statement at the primary, with the id ``rNUMBER``."""
        record = self.instance.board.permits.record(self.primary.service)
        plain = Ask(
            number,
            Step.SINGLE,
            0,
            TargetId(self.primary.target),
            self.primary.born_ms,
            _ORGANISATION,
            1,
            0.0,
            1.0,
            1.0,
            1.0,
            False,  # noqa: FBT003 -- the fields of a frame have an order
            0 if record is None else record.version,
            {},
            f'r{number}',
            kind,
            text,
        )
        return msgspec.structs.replace(plain, **fields)

    async def send(self, *asks: Ask) -> None:
        """Send requests one after the other and wait for what becomes of them."""
        for ask in asks:
            self.deliver(ask)
        await asyncio.sleep(_ANSWER_S)

    def deliver(self, frame: Frame) -> None:
        """Let a frame arrive, unless the stream has ended."""
        if self.error is not None:
            return
        try:
            self._context.run(self._receiver.receive, frame)
        except FrameError as error:
            self.error = error
            self._context.run(self._receiver.end, str(error))

    def executions(self) -> list[Execution]:
        """:returns: What targets ran, in order."""
        return self.world.checker.executions
