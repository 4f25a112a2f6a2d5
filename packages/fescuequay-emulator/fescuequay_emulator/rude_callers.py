"""A fault in which callers send messages that hold a whole request inside a field."""

import asyncio
import contextlib
import random
from collections.abc import Callable, Iterator
from typing import TYPE_CHECKING, Final

from fescuequay_core.relay.model import Consistency, DatabaseName, Statement, StatementKind
from fescuequay_core.types import RequestId
from fescuequay_emulator.callers import Session
from fescuequay_emulator.load import BEGIN, execute, prepare, read, set_value, write
from fescuequay_emulator.wire import MAX_MESSAGE_BYTES, MESSAGE_END, Wire
from fescuequay_entry.relay.ports import Closing, Query

if TYPE_CHECKING:
    from fescuequay_emulator.world import World

#: Mean interval between two rude callers, in seconds.
_INTERVAL_S: Final = 0.08

#: Time limit of one rude caller, and the time for which it waits for answers to what it did not ask, in seconds.
_LIMIT_S: Final = 2.0
_QUIET_S: Final = 0.15

#: Share of the rude messages that are sent inside a transaction.
_TRANSACTION_SHARE: Final = 0.4

#: Largest number of places at which a message is cut into chunks.
_MAX_CUTS: Final = 4

#: What some decoder may take for the end of a message.
SEPARATORS: Final = ('\n', '\n\n', '\r', '\r\r', '\n\r', '\0')

#: Statements with a hidden request at the end of a field, by the name of the field.
_STATEMENTS_BY_FIELD: Final[dict[str, Callable[[str], Statement]]] = {
    'read': lambda hidden: Statement(StatementKind.READ, f'READ 7{hidden}'),
    'write': lambda hidden: write(7, f'v{hidden}'),
    'value': lambda hidden: set_value('lang', f'es{hidden}'),
    'shape': lambda hidden: prepare('hidden', f'q2{hidden}', is_write=False),
    'arguments': lambda hidden: Statement(
        StatementKind.EXECUTE, f'EXECUTE plain 7{hidden}', name='plain', arguments=f'7{hidden}'
    ),
}

#: Other messages with a hidden request, by name.
_MESSAGES: Final = ('id', 'kind', 'end', 'unknown statement', 'long field', 'after a long message', 'dash', 'no id')

#: Ids of requests that are no caller's, by name.
_RESERVED_IDS_BY_NAME: Final = {'dash': '-', 'no id': ''}


async def hide_requests(world: 'World', seed: str, for_s: float) -> None:
    """Let callers send such messages; nothing happens in a deployment whose messages have no encoding.

    :param world: The deployment.
    :param seed: Seed of the callers; they draw nothing from the generator of the deployment.
    :param for_s: Duration, in seconds.
    """
    if world.wire is not None:
        await _RudeCallers(world, world.wire, random.Random(seed)).run(for_s)


class _RudeCallers:
    """Callers that send such messages to all instances."""

    def __init__(self, world: 'World', wire: Wire, rng: random.Random) -> None:
        self._world = world
        self._wire = wire
        self._rng = rng

    async def run(self, for_s: float) -> None:
        """Start callers for ``for_s`` seconds."""
        until = self._world.loop.time() + for_s
        callers = []
        while self._world.loop.time() < until:
            callers.append(asyncio.ensure_future(self._run_caller()))
            await asyncio.sleep(self._rng.expovariate(1 / _INTERVAL_S))
        await asyncio.gather(*callers)

    async def _run_caller(self) -> None:
        world, rng = self._world, self._rng
        database = f'{rng.choice(tuple(Consistency)).value}-{rng.randrange(world.plan.services)}'
        credential = rng.choice(world.credentials())
        session = Session(rng.getrandbits(30), credential, DatabaseName(database), world.checker.sent, rng)
        session.cut = self._cut
        listeners = [world.listeners[name] for name in sorted(world.listeners)]
        if not listeners:
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_LIMIT_S):
                if await session.open(rng.choice(listeners)) is True:
                    await self._send_hidden(session)
        session.close()

    async def _send_hidden(self, session: Session) -> None:
        """Send one rude message; after a statement another one, unless the first was answered more than once."""
        rng = self._rng
        await session.execute(prepare('plain', 'q1', is_write=False))
        if rng.random() < _TRANSACTION_SHARE:
            await session.execute(BEGIN)
        field = rng.choice((*_STATEMENTS_BY_FIELD, *_MESSAGES))
        self._world.hidden_requests += 1
        if field in _MESSAGES:
            await session.exchange(self._message(field))
            await asyncio.sleep(_QUIET_S)
            return
        await session.execute(_STATEMENTS_BY_FIELD[field](rng.choice(SEPARATORS) + self._request()))
        await asyncio.sleep(_QUIET_S)
        if session.is_open and not session.has_unread():
            # The instance repeats values and shapes on a connection when a statement needs them.
            await session.execute(execute('hidden' if 'hidden' in session.shapes else 'plain', 7))

    def _request(self, request: str | None = None) -> str:
        """:returns: A request that no caller sends as a message of its own, without its end."""
        name = f'h{self._rng.getrandbits(48):012x}' if request is None else request
        line = self._wire.format(Query(RequestId(name), read(self._rng.randrange(50))))
        return line.removesuffix(MESSAGE_END).decode()

    def _message(self, name: str) -> bytes:
        hidden = self._rng.choice(SEPARATORS) + self._request()
        long = 'y' * (MAX_MESSAGE_BYTES + self._rng.randrange(100_000))
        request = RequestId(f'r{self._rng.getrandbits(48):012x}')
        match name:
            case 'id':
                return self._wire.format(Query(RequestId(request + hidden), read(7)))
            case 'kind':
                return f'NOTICE 7{hidden}'.encode() + MESSAGE_END
            case 'end':
                return self._wire.format(Closing()).removesuffix(MESSAGE_END) + hidden.encode() + MESSAGE_END
            case 'unknown statement':
                return self._wire.format(Query(request, Statement(StatementKind.READ, f'JUMP 7{hidden}')))
            case 'long field':
                return self._wire.format(Query(request, write(7, long + hidden)))
            case 'after a long message':
                return self._wire.format(Query(request, write(7, long))) + self._request().encode() + MESSAGE_END
            case _:
                return self._request(_RESERVED_IDS_BY_NAME[name]).encode() + MESSAGE_END

    def _cut(self, content: bytes) -> Iterator[bytes]:
        """:returns: The bytes in chunks of random sizes."""
        cuts = sorted(self._rng.randrange(len(content)) for _ in range(self._rng.randint(0, _MAX_CUTS)))
        for begin, end in zip((0, *cuts), (*cuts, len(content)), strict=True):
            yield content[begin:end]
