"""Stand-in for a database group: members with a port each, replication between them, and injected faults."""

import asyncio
import contextlib
import pathlib
import struct
import time

import msgspec
from aiohttp import web

from fescuequay_standins.database import Database, Rows, Statement
from fescuequay_standins.wire import WireSession


class MemberFaults(msgspec.Struct):
    """Faults of one member.

    :param is_down: Whether it has crashed; its listener and its connections are closed.
    :param is_isolated: Whether it is partitioned from the other members.
    :param cut_data_centres: Data centres whose clients get no answers.
    :param lag_s: Replication delay.
    :param service_time_s: Time that a statement occupies a slot.
    :param silence_open: Whether the connections that are open now stop answering permanently.
    """

    is_down: bool = False
    is_isolated: bool = False
    cut_data_centres: tuple[str, ...] = ()
    lag_s: float = 0.0
    service_time_s: float = 0.0
    silence_open: bool = False


class Member:
    """One database with its listener.

    :param database: The database.
    :param slots: Statements that run at the same time.
    :param connections: Connections accepted at the same time.
    """

    def __init__(self, database: Database, slots: int, connections: int) -> None:
        self.database = database
        self.faults = MemberFaults()
        self.port = 0
        self.most_connections = 0
        #: Startup options of every client, for tests of what must not reach a target.
        self.seen_options: list[dict[bytes, bytes]] = []
        self._connections = connections
        self._slots = asyncio.Semaphore(slots)
        self._sessions: set[WireSession] = set()
        self._server: asyncio.Server | None = None

    async def listen(self, port: int = 0) -> None:
        """Open the listener.

        :param port: Port, or 0 for the port used before or else one that the system chooses.
        """
        self._server = await asyncio.start_server(self._accept, '127.0.0.1', port or self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def set_faults(self, faults: MemberFaults) -> None:
        """Replace the faults and apply the change.

        :param faults: All faults.
        """
        was_down = self.faults.is_down
        self.faults = faults
        if faults.silence_open:
            for session in self._sessions:
                session.is_silent = True
            self.faults.silence_open = False
        if faults.is_down and not was_down:
            await self.close()
        elif was_down and not faults.is_down:
            await self.listen()

    async def close(self) -> None:
        """Close the listener and every connection."""
        if self._server is not None:
            self._server.close()
        self.drop_connections()

    def drop_connections(self) -> None:
        """Abort every open connection; new ones are still accepted."""
        for session in tuple(self._sessions):
            session.abort()

    def is_cut_from(self, data_centre: str) -> bool:
        """:returns: Whether clients of a data centre get no answers."""
        return data_centre in self.faults.cut_data_centres

    def data_generation(self) -> object:
        """:returns: A value that changes when the data files are replaced."""
        return self.database._generation  # noqa: SLF001

    def now(self) -> float:
        """:returns: Monotonic time, in seconds."""
        return time.monotonic()

    async def occupy_slot(self) -> None:
        """Wait for a free slot and then for the service time."""
        await self._slots.acquire()
        try:
            await asyncio.sleep(self.faults.service_time_s)
        except asyncio.CancelledError:
            self._slots.release()
            raise

    def release_slot(self) -> None:
        """Release the slot."""
        self._slots.release()

    def run_group_function(self, statement: Statement) -> Rows | None:
        """Run a statement that calls a function of the group, such as fencing or promotion.

        :param statement: Any statement.
        :returns: Its rows, or nothing for an ordinary statement.
        """
        sql = statement.sql
        if sql.startswith('select * from platform_status()'):
            return self._status()
        if sql.startswith('select * from platform_fence('):
            self.database.set_fence(int(statement.params[0] or 0))
            return self._status()
        if sql.startswith('select platform_promote('):
            start = self.database.promote(int(statement.params[0] or 0))
            self.database.changed.set()
            return Rows('SELECT 1', ('start',), ('int8',), ((start,),))
        return None

    def _status(self) -> Rows:
        data = self.database
        age_s = 0.0 if data.is_primary else self.now() - data.heard_upstream_at
        role = 'primary' if data.is_primary else 'replica'
        names = ('role', 'term', 'position', 'fence', 'replicated', 'upstream_age_s')
        types = ('text', 'int8', 'int8', 'int8', 'int8', 'float8')
        row = (role, data.term, data.position, data.fence, data.replicated, age_s)
        return Rows('SELECT 1', names, types, (row,))

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if len(self._sessions) >= self._connections:
            body = b'SFATAL\0VFATAL\0C53300\0Mtoo many connections\0\0'
            writer.write(b'E' + struct.pack('!i', len(body) + 4) + body)
            writer.close()
            return
        session = WireSession(self, reader, writer)
        self._sessions.add(session)
        self.most_connections = max(self.most_connections, len(self._sessions))
        try:
            await session.run()
        except asyncio.CancelledError:
            # The event loop is closing at the end of a test, and nothing waits for this connection.
            return
        finally:
            self._sessions.discard(session)


class Group:
    """Members of a group; each replica follows the reachable leader of the newest timeline that its fence allows.

    :param names: Ids of the members; the first one is the primary.
    :param folder: Folder of their data files.
    :param slots: Statements that each member runs at the same time.
    :param connections: Connections that each member accepts.
    """

    def __init__(self, names: tuple[str, ...], folder: pathlib.Path, slots: int, connections: int) -> None:
        self.members_by_name = {
            name: Member(Database(name, folder, is_primary=name == names[0]), slots, connections) for name in names
        }
        for member in self.members_by_name.values():
            member.database.member_count = len(names)
        self._tasks: list[asyncio.Task[None]] = []
        self._is_stopped = False

    async def start(self, ports_by_name: dict[str, int] | None = None) -> None:
        """Open every listener and start replication.

        :param ports_by_name: Ports; the system chooses those that are absent.
        """
        for name, member in self.members_by_name.items():
            await member.listen((ports_by_name or {}).get(name, 0))
            member.database.heard_upstream_at = member.now()
            self._tasks.append(asyncio.create_task(self._replicate(member)))

    async def stop(self) -> None:
        """Stop replication and close every member."""
        self._is_stopped = True
        for task in self._tasks:
            task.cancel()
        # Replication must have ended before the files that it writes are closed and removed.
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for member in self.members_by_name.values():
            await member.close()

    def _choose_upstream(self, member: Member) -> Member | None:
        data = member.database
        if member.faults.is_down or member.faults.is_isolated or data.is_primary:
            return None
        candidates = [
            other
            for other in self.members_by_name.values()
            if other is not member
            and not other.faults.is_down
            and not other.faults.is_isolated
            and other.database.leads_timeline
            and other.database.term >= max(data.fence, data.term)
        ]
        return max(candidates, key=lambda other: other.database.term, default=None)

    async def _replicate(self, member: Member) -> None:
        # ``wait_for`` may swallow a cancellation that arrives as its future completes, so the loop also checks a flag.
        while not self._is_stopped:
            upstream = self._choose_upstream(member)
            if upstream is not None:
                self._copy_log(upstream, member)
            source = upstream.database.changed if upstream else asyncio.Event()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(source.wait(), 0.02)
            source.clear()
            if member.faults.lag_s:
                await asyncio.sleep(min(member.faults.lag_s, 0.05))

    def _copy_log(self, upstream: Member, member: Member) -> None:
        data = upstream.database
        visible_until = member.now() - member.faults.lag_s
        position = data.position
        if member.faults.lag_s:
            while position and data.log[position - 1].committed_at > visible_until:
                position -= 1
        member.database.follow(data, max(position, member.database.position), member.now())


def control_application(groups_by_id: dict[str, Group]) -> web.Application:
    """Create the HTTP application that sets the faults of members and reports their state.

    :param groups_by_id: Groups by id.
    :returns: The application.
    """
    members = {name: member for group in groups_by_id.values() for name, member in group.members_by_name.items()}

    async def put_faults(request: web.Request) -> web.Response:
        faults = msgspec.json.decode(await request.read(), type=MemberFaults)
        await members[request.match_info['member']].set_faults(faults)
        return web.Response(status=204)

    async def get_member(request: web.Request) -> web.Response:
        member = members[request.match_info['member']]
        data = member.database
        return web.json_response(
            {
                'is_primary': data.is_primary,
                'term': data.term,
                'position': data.position,
                'fence': data.fence,
                'port': member.port,
                'most_connections': member.most_connections,
            }
        )

    app = web.Application()
    app.router.add_put('/members/{member}/faults', put_faults)
    app.router.add_get('/members/{member}', get_member)
    return app
