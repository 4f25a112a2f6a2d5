"""Life cycle of an instance: assembly of its controllers, start, readiness and planned stop."""

import asyncio
import logging
import secrets
import sys
import time
from collections.abc import Callable, Coroutine
from typing import Any, Final

from fescuequay_core.relay.evacuation import Evacuations
from fescuequay_core.relay.gateways import Limits
from fescuequay_core.relay.model import TargetDescription
from fescuequay_core.relay.tokenpool import Tolerance
from fescuequay_core.types import InstanceId
from fescuequay_entry.relay.board import Board, InstanceIdentity, log_event
from fescuequay_entry.relay.control_connections import ControlConnections
from fescuequay_entry.relay.coordinator import Coordinator
from fescuequay_entry.relay.followers import ConfigurationFollower, TargetFollower
from fescuequay_entry.relay.gateway import Gateway
from fescuequay_entry.relay.gateway_directory import GatewayDirectory
from fescuequay_entry.relay.gateway_source import GatewaySource
from fescuequay_entry.relay.hop_streams import GatewayPeers
from fescuequay_entry.relay.hops import Hops
from fescuequay_entry.relay.membership import Membership
from fescuequay_entry.relay.metrics import RelayMetrics
from fescuequay_entry.relay.pool import ConnectionSource, Pools, TargetPool
from fescuequay_entry.relay.ports import (
    CallerListener,
    Feed,
    OperatorEntry,
    Peers,
    Promoter,
    StatementParser,
    Table,
    TargetDriver,
)
from fescuequay_entry.relay.records import Records
from fescuequay_entry.relay.replacement import Replacement
from fescuequay_entry.relay.sessions import Sessions
from fescuequay_entry.relay.settings import RelaySettings
from fescuequay_entry.relay.statement_runner import StatementRunner

_S_PER_MS: Final = 0.001

#: Interval between clean-ups of idle connections and expired target entries, in seconds.
_SWEEP_INTERVAL_S: Final = 0.5

#: Time of isolation after which idle sessions are closed, in seconds: by then the load balancer has seen two failed
#: readiness checks, which are a second apart.
_CLOSE_IDLE_AFTER_S: Final = 1.8

#: Interval between checks for isolation, in seconds.
_ISOLATION_CHECK_INTERVAL_S: Final = 0.2

#: Growth of the boot clock over the monotonic clock that indicates that the machine was suspended, in seconds.
_SUSPENSION_THRESHOLD_S: Final = 0.2

#: Shares of the stop time after which new callers are no longer accepted and idle sessions are closed, and after which
#: the remaining sessions are cut.
_DRAIN_SHARE: Final = 0.45
_STOP_SHARE: Final = 0.8

#: Time before that cut from which unsent statements are refused, in seconds: the duration of several statements.
_REFUSE_UNSENT_BEFORE_END_S: Final = 0.5

#: Time before that cut by which sent statements are answered, in seconds: a few iterations of the event loop.
_ANSWER_BEFORE_END_S: Final = 0.05

#: Interval between checks for open sessions while stopping, in seconds.
_DRAIN_CHECK_INTERVAL_S: Final = 0.05

#: Timeout of each request to the table at the end of a stop, in seconds.
_LEAVE_TIMEOUT_S: Final = 0.3


class Adapters:
    """Implementations of the ports for one platform.

    :param listener: Accepts callers.
    :param driver: Opens connections to targets.
    :param table: The system's own table.
    :param configurations: Feed of what operators write: the configuration, and data centres to evacuate.
    :param targets: Feed of the target registry.
    :param promoter: Promotes targets.
    :param peers: Sends requests to other instances.
    :param parse: Parses the statements that other instances send to this one as a gateway.
    :param hops: Opens and accepts streams between instances and gateways; without it, no gateway is used.
    """

    def __init__(  # noqa: WPS211 -- one argument for each port
        self,
        listener: CallerListener,
        driver: TargetDriver,
        table: Table,
        configurations: Feed[OperatorEntry],
        targets: Feed[TargetDescription],
        promoter: Promoter,
        peers: Peers,
        parse: StatementParser,
        hops: Hops | None = None,
    ) -> None:
        self.peers = peers
        self.parse = parse
        self.hops = hops
        self.listener = listener
        self.driver = driver
        self.table = table
        self.configurations = configurations
        self.targets = targets
        self.promoter = promoter


def boot_clock() -> float:
    """:returns: Monotonic time that includes suspensions of the machine, in seconds."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Instance:
    """Assembles the controllers of an instance and runs them until it is stopped.

    :param settings: Settings of the instance.
    :param adapters: Implementations of the ports.
    :param clock: Monotonic time that includes suspensions, in seconds.
    """

    def __init__(self, settings: RelaySettings, adapters: Adapters, clock: Callable[[], float] = boot_clock) -> None:
        self.settings = settings
        own = InstanceIdentity(
            InstanceId(settings.instance),
            secrets.token_hex(4),
            settings.data_centre,
            f'{settings.host}:{settings.peer_ports[0]}',
            _capacity(settings) if adapters.hops is not None else 0.0,
        )
        self.board = Board(
            own,
            clock,
            Tolerance(settings.limit_window_s, settings.limit_overage, settings.limit_slack),
            Evacuations(settings.evacuation_ms * _S_PER_MS),
            min(settings.configuration_ms, settings.evacuation_ms) * _S_PER_MS,
        )
        self.metrics = RelayMetrics()
        self._adapters = adapters
        directory = GatewayDirectory(self.board, is_used=adapters.hops is not None)
        self._gateways = GatewayPeers(self.board, adapters.hops) if adapters.hops is not None else None
        self._pools = Pools(self.board, adapters.driver, directory, self._gateway_source(directory))
        self._gateway = Gateway(self.board, self._pools, directory, self.metrics.gateway, adapters.parse)
        self._runner = StatementRunner(self.board, self._pools)
        self._controls = ControlConnections(self.board, adapters.driver)
        peers = adapters.peers
        records = Records(self.board, adapters.table)
        replacement = Replacement(self.board, records, peers, self._controls, adapters.promoter)
        coordinator = Coordinator(self.board, records, self._controls, replacement)
        self._target_follower = TargetFollower(self.board, adapters.targets)
        self.configurations = ConfigurationFollower(self.board, adapters.configurations, peers)
        self.membership = Membership(
            self.board, records, peers, coordinator, self._target_follower, self.configurations
        )
        memory_mb = None if settings.capacity is None else settings.capacity.memory_mb
        self._sessions = Sessions(self.board, self._runner, self.metrics, memory_mb)
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Start the controllers and accept callers."""
        settings = self.settings
        log_event(
            'starting',
            instance=settings.instance,
            incarnation=self.board.own.incarnation,
            data_centre=settings.data_centre,
            callers=settings.callers,
            store=settings.store,
        )
        self._start_task('configuration', self.configurations.run())
        self._start_task('fetches', self.configurations.run_fetches())
        self._start_task('targets', self._target_follower.run())
        self._start_task('membership', self.membership.run())
        self._start_task('sweeper', self._sweep())
        self._start_task('mover', self._watch_isolation())
        if self._adapters.hops is not None:
            await self._adapters.hops.listen(self._gateway.accept)
        await self._adapters.listener.start(self._sessions.serve)
        log_event('started', instance=settings.instance)

    async def stop(self) -> None:
        """Stop without cutting a request: become unready, drain sessions, then leave the list of members."""
        began_at = self.board.clock()
        self.board.is_stopping = True
        self._gateway.announce_stop()
        log_event('stopping', sessions=len(self._sessions))
        releasing_lease = asyncio.ensure_future(self.membership.release_lease())
        drain_until = began_at + self.settings.stop_s * _DRAIN_SHARE
        end_at = began_at + self.settings.stop_s * _STOP_SHARE
        self.board.refuse_by = end_at - _REFUSE_UNSENT_BEFORE_END_S
        self.board.answer_by = end_at - _ANSWER_BEFORE_END_S
        while self.board.clock() < drain_until and self._is_busy():
            await asyncio.sleep(_DRAIN_CHECK_INTERVAL_S)
        self._adapters.listener.stop_accepting()
        while self.board.clock() < end_at and self._is_busy():
            self._sessions.close_idle()
            await asyncio.sleep(_DRAIN_CHECK_INTERVAL_S)
        await asyncio.wait({releasing_lease}, timeout=_LEAVE_TIMEOUT_S)
        for task in self._tasks:
            task.cancel()
        await asyncio.wait({asyncio.ensure_future(self.membership.leave())}, timeout=_LEAVE_TIMEOUT_S)
        self._close_gateways()
        self._pools.close()
        self._controls.close()
        log_event('stopped', sessions_cut=len(self._sessions), took_s=round(self.board.clock() - began_at, 2))

    def unanswered_count(self) -> int:
        """:returns: Number of sessions whose latest request has not been answered."""
        return self._sessions.busy_count()

    def is_ready(self) -> bool:
        """:returns: Whether the load balancer should send new callers to this instance."""
        if self.board.is_stopping or self.board.configuration is None or not self.board.has_targets:
            return False
        return not self.membership.is_isolated()

    def _is_busy(self) -> bool:
        return bool(self._sessions) or self._gateway.is_busy()

    def _close_gateways(self) -> None:
        if self._gateways is not None:
            self._gateways.close()
        self._gateway.close()
        if self._adapters.hops is not None:
            self._adapters.hops.stop()

    def _gateway_source(self, directory: GatewayDirectory) -> Callable[[TargetPool], ConnectionSource] | None:
        peers = self._gateways
        if peers is None:
            return None
        return lambda pool: GatewaySource(self.board, directory, peers, pool, self.metrics.gateway)

    async def _sweep(self) -> None:
        gap_s = _suspended_s()
        while True:
            await asyncio.sleep(_SWEEP_INTERVAL_S)
            self._pools.sweep()
            self._gateway.sweep()
            if self._gateways is not None:
                self._gateways.sweep()
            self._target_follower.remove_expired()
            self.configurations.remove_expired()
            self.metrics.record_age.set(self.board.permits.oldest_age_s(self.board.clock()))
            self.metrics.set_queue(self._pools.queues)
            if self.board.configuration is not None:
                self.metrics.configuration.set(self.board.configuration.version)
            self.metrics.configuration_read_age.set(self.board.configuration_basis().read_age_s)
            for target, limit in self.board.paces.limits(self.board.clock()):
                self.metrics.target_limit.labels(target).set(limit)
            if _suspended_s() - gap_s > _SUSPENSION_THRESHOLD_S:
                # Permits and token grants expire by the boot clock, so that they need no handling here.
                log_event('machine_was_suspended', seconds=round(_suspended_s() - gap_s, 2))
                gap_s = _suspended_s()

    async def _watch_isolation(self) -> None:
        while True:
            await asyncio.sleep(_ISOLATION_CHECK_INTERVAL_S)
            self._close_idle_if_isolated()

    def _close_idle_if_isolated(self) -> None:
        """Close idle sessions if this instance is isolated, so that their callers reconnect to other instances."""
        if not self.membership.is_isolated(_CLOSE_IDLE_AFTER_S):
            return
        closed = self._sessions.close_idle()
        if closed:
            log_event('callers_moved', sessions=closed, isolated_s=round(self.membership.isolated_s(), 2))

    def _start_task(self, name: str, step: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(step)
        task.add_done_callback(lambda done: _exit_on_failure(name, done))
        self._tasks.append(task)


def _capacity(settings: RelaySettings) -> float:
    machine = settings.capacity
    return 0.0 if machine is None else Limits(machine.cpu_share, machine.cores, machine.link_mbps).capacity()


def _suspended_s() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME) - time.clock_gettime(time.CLOCK_MONOTONIC)


def _exit_on_failure(name: str, task: asyncio.Task[None]) -> None:
    """Exit the process if a controller has failed; controllers run until they are cancelled."""
    if not task.cancelled() and task.exception() is not None:
        log_event('controller_failed', level=logging.ERROR, controller=name, error=repr(task.exception()))
        sys.exit(1)
