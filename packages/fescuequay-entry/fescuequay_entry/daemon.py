"""The entry instance: runs the core on an event loop, with its adapters and its two listeners."""

import asyncio
import os
import time
import uuid
from collections.abc import Coroutine
from typing import Any, Final

from aiohttp import web
from reactivex.scheduler.eventloop import AsyncIOScheduler

from fescuequay_core import commands, events, verdicts
from fescuequay_core.core import Core
from fescuequay_core.messages import PeerMessage
from fescuequay_core.requests import Answer, Request
from fescuequay_core.settings import Identity
from fescuequay_core.types import Digest, RequestId, Verdict
from fescuequay_core.verdicts import Refusal
from fescuequay_entry.callers import CallersApi
from fescuequay_entry.config import Settings, split_address
from fescuequay_entry.http_session import open_session
from fescuequay_entry.internal import InternalApi
from fescuequay_entry.metrics import Metrics
from fescuequay_entry.peers import PeerClient, PeerError
from fescuequay_entry.platform import HttpPlatform
from fescuequay_entry.platform_actions import PlatformActions
from fescuequay_entry.postgres import PostgresDriver
from fescuequay_entry.target_actions import TargetActions
from fescuequay_entry.telemetry import Telemetry
from fescuequay_entry.tick_timer import TickTimer

#: Maximum timeout of a peer's answer, in seconds.
_MAX_PEER_WAIT_S: Final = 2.0

#: Idle time after which an HTTP connection of a caller or peer is closed, in seconds.
_KEEP_ALIVE_S: Final = 75

#: Time after its deadline at which a request without an answer fails as lost, in seconds.
_ANSWER_MARGIN_S: Final = 2.0


class Daemon:
    """One entry instance.

    Events are passed to the core one at a time, on the thread of the event loop. The core's commands are
    executed by tasks, which report their results as events.

    :param settings: Settings of the instance.
    """

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.instance = f'{settings.instance}-{uuid.uuid4().hex[:6]}'
        self.stopped = asyncio.Event()
        self.is_leaving = False
        self.metrics = Metrics()
        self._answers_by_request: dict[RequestId, asyncio.Future[Answer]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._runners: list[web.AppRunner] = []
        self._peer_answer: commands.AnswerPeer | None = None

    async def start(self) -> None:
        """Open the listeners and start the core."""
        self._http = open_session()
        secrets = self.settings.secret_bytes()
        self._peers = PeerClient(self._http, secrets, min(self.settings.timing.peer_timeout_s, _MAX_PEER_WAIT_S))
        callers = CallersApi(self.settings, self.submit, self.is_ready, lambda: self.is_leaving)
        callers_address = await self._listen(callers.application(), self.settings.callers)
        internal = InternalApi(self, secrets)
        peers_address = await self._listen(internal.application(), self.settings.peers)
        identity = Identity(self.instance, self.settings.data_centre, peers_address, callers_address)
        self.core = Core(identity, self.settings.timing, secrets, int.from_bytes(os.urandom(8)))
        self._target_actions = TargetActions(PostgresDriver(), self.settings, self.post)
        data_centre = self.settings.data_centre
        platform = HttpPlatform(self._http, self.settings.platform, data_centre)
        self._platform_actions = PlatformActions(platform, self._peers, data_centre, self.metrics, self.post)
        self._telemetry = Telemetry(self.metrics, self.core, self._target_actions.pools_by_target)
        self._actions = self._make_actions()
        loop = asyncio.get_running_loop()
        self._tick_timer = TickTimer(AsyncIOScheduler(loop), self.settings.timing.tick_s, self.post)
        self._tick_timer.start()
        self._telemetry.log_start(callers_address, peers_address)

    async def stop(self) -> None:
        """Shut down gracefully: become unready, then refuse new requests, then finish the remaining ones."""
        if self.is_leaving:
            return
        self.is_leaving = True
        # New callers arrive until the load balancer has detected that the instance is not ready.
        await asyncio.sleep(self.settings.drain_notice_s)
        self.post(events.StopRequested())
        await self.stopped.wait()
        self._tick_timer.stop()
        for runner in self._runners:
            await runner.cleanup()
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._target_actions.close()
        await self._http.close()

    def is_ready(self) -> bool:
        """:returns: Whether the instance accepts new callers."""
        return not self.is_leaving and self.core.is_ready(time.monotonic())

    def post(self, event: events.Event) -> None:
        """Pass an event to the core and execute the resulting commands.

        :param event: Event to handle.
        """
        for command in self.core.handle(event, time.monotonic()):
            self._actions[type(command)](command)

    async def submit(self, request: Request) -> Answer:
        """Run a request.

        :param request: The request.
        :returns: Its final answer.
        """
        future: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        self._answers_by_request[request.request_id] = future
        started_at = time.monotonic()
        self.post(events.RequestArrived(request))
        try:
            async with asyncio.timeout(max(request.deadline - started_at, 0) + _ANSWER_MARGIN_S):
                answer = await future
        except TimeoutError:
            refusal = Refusal(verdicts.INTERNAL, Verdict.MAY_HAVE_RUN, 'the request was lost inside the instance')
            answer = Answer(request.request_id, refusal=refusal)
        finally:
            self._answers_by_request.pop(request.request_id, None)
        self._telemetry.record_answer(request, answer, time.monotonic() - started_at)
        return answer

    def handle_peer_message(self, message: PeerMessage) -> PeerMessage | None:
        """Handle a message of a peer.

        :param message: Message received.
        :returns: The answer, if the message has one.
        """
        self._peer_answer = None
        self.post(events.PeerMessageReceived(message))
        return self._peer_answer.message if self._peer_answer else None

    def packed_object(self, digest: Digest) -> bytes | None:
        """:returns: A cached object as stored (compressed), or ``None``."""
        return self._platform_actions.packed_object(digest)

    def refresh_gauges(self) -> None:
        """Update the gauges; to be called before the metrics are collected."""
        self._telemetry.refresh_gauges()

    async def _listen(self, app: web.Application, address: str) -> str:
        runner = web.AppRunner(app, access_log=None, shutdown_timeout=5, keepalive_timeout=_KEEP_ALIVE_S)
        await runner.setup()
        host, port = split_address(address)
        site = web.TCPSite(runner, host, port, backlog=1024)
        await site.start()
        self._runners.append(runner)
        return f'{host}:{runner.addresses[0][1]}'

    def _make_actions(self) -> dict[type[commands.Command], Any]:
        return {
            commands.ReadFleet: lambda command: self._spawn(self._platform_actions.read_fleet(command)),
            commands.WriteFleet: lambda command: self._spawn(self._platform_actions.write_fleet(command)),
            commands.ReadObject: lambda command: self._spawn(self._platform_actions.read_object(command)),
            commands.ReadMembers: lambda command: self._spawn(self._platform_actions.read_members()),
            commands.ReadSeats: lambda command: self._spawn(self._platform_actions.read_seats()),
            commands.WriteSeat: lambda command: self._spawn(self._platform_actions.write_seat(command)),
            commands.SendPeer: lambda command: self._spawn(self._send_peer(command)),
            commands.AnswerPeer: self._answer_peer,
            commands.Forward: lambda command: self._spawn(self._forward(command)),
            commands.ProbeTarget: lambda command: self._spawn(self._target_actions.probe(command)),
            commands.FenceTarget: lambda command: self._spawn(self._target_actions.fence(command)),
            commands.PromoteTarget: lambda command: self._spawn(self._target_actions.promote(command)),
            commands.SizePool: self._target_actions.size_pool,
            commands.Execute: lambda command: self._spawn(self._target_actions.execute(command)),
            commands.Reply: self._reply,
            commands.Incident: lambda command: self._telemetry.record_incident(command),
            commands.Stopped: lambda command: self.stopped.set(),
        }

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._telemetry.log_internal_fault(task.exception())

    def _reply(self, command: commands.Reply) -> None:
        future = self._answers_by_request.get(command.answer.request_id)
        if future is not None and not future.done():
            future.set_result(command.answer)

    def _answer_peer(self, command: commands.AnswerPeer) -> None:
        self._peer_answer = command

    async def _send_peer(self, command: commands.SendPeer) -> None:
        sent_at = time.monotonic()
        try:
            answer = await self._peers.send(command.address, command.message)
        except PeerError:
            self.post(events.PeerFailed(command.peer))
            return
        if answer is not None:
            self.post(events.PeerMessageReceived(answer, sent_at))

    async def _forward(self, command: commands.Forward) -> None:
        name = command.request.request_id
        try:
            answer = await self._peers.forward(command.address, command.request)
        except PeerError as error:
            self.post(events.ForwardEnded(name, None, error.may_have_run))
            return
        self.post(events.ForwardEnded(name, answer))
