"""Probes the targets of the groups that this instance hosts and sizes its connection pools."""

from collections.abc import Iterator, Mapping
from typing import Final

from fescuequay_core.blackboard import Blackboard
from fescuequay_core.commands import Command, Incident, ProbeTarget, SizePool
from fescuequay_core.config import Target, Text
from fescuequay_core.controller import Controller, Handler
from fescuequay_core.events import Event, TargetStatusFailed, TargetStatusReceived, Tick
from fescuequay_core.hosts import FAST_PROBING_HOSTS, host_rank
from fescuequay_core.requests import TargetStatus
from fescuequay_core.seats import connection_share, hosts_of
from fescuequay_core.types import GroupId, Instant, Role, TargetId

#: Time after which an unanswered probe no longer blocks the next, in seconds.
_PROBE_TIMEOUT_S: Final = 3.0


class TargetController(Controller):
    """Probes targets on a timer and keeps their views up to date.

    Only the hosts of a group probe it, so the number of probes does not grow with the fleet.

    :param board: The blackboard.
    """

    def __init__(self, board: Blackboard) -> None:
        super().__init__(board)
        self._pools: dict[TargetId, SizePool] = {}
        self._shares: dict[TargetId, int] = {}
        self._shares_key: tuple[object, ...] = ()

    def handlers(self) -> Mapping[type[Event], Handler]:
        """:returns: Handlers of the timer and of statuses."""
        return {Tick: self._on_tick, TargetStatusReceived: self._on_status, TargetStatusFailed: self._on_status_failed}

    def probe(self, target: TargetId, now: Instant, delay_s: float = 0.0) -> Iterator[Command]:
        """Request the status of a target unless a request is already under way.

        :param target: The target.
        :param now: Present time.
        :param delay_s: Delay before the request, in seconds.
        """
        view = self.board.view_of(target)
        if view.connections == 0 or (view.is_probing and now - view.probed_at < _PROBE_TIMEOUT_S):
            return
        view.is_probing = True
        view.probed_at = now
        yield ProbeTarget(target, delay_s)

    def _on_tick(self, event: Tick, now: Instant) -> Iterator[Command]:
        text = self.board.text
        if text is None:
            return
        board = self.board
        key = (board.text_number, board.seat, board.has_main_share, board.has_floor_share)
        if key != self._shares_key:
            self._shares_key = key
            self._update_shares(text)
            yield from self._size_pools(text)
        for group_id, group in board.hosted_groups.items():
            due = [name for name in group.targets if now - board.view_of(name).probed_at >= board.timing.probe_s]
            interval_s = self._probe_interval_s(group_id, now) if due else 0.0
            for target_id in due:
                if now - board.view_of(target_id).probed_at >= interval_s:
                    yield from self.probe(target_id, now)

    def _probe_interval_s(self, group: GroupId, now: Instant) -> float:
        """Choose the probe interval of a group.

        Without requests for the group, only a few hosts probe it at the short interval, unless a target fails.

        :param group: The group.
        :param now: Present time.
        :returns: The interval, in seconds.
        """
        timing = self.board.timing
        leader = self.board.leader_of(group)
        is_used = now - self.board.used_at_by_group.get(group, float('-inf')) < timing.idle_probe_s
        if leader is None or is_used or host_rank(self.board, group, leader.target) < FAST_PROBING_HOSTS:
            return timing.probe_s
        is_failing = any(self.board.view_of(name).failing_since is not None for name in self._target_ids(group))
        return timing.probe_s if is_failing else timing.idle_probe_s

    def _target_ids(self, group: GroupId) -> tuple[TargetId, ...]:
        return tuple(self.board.hosted_groups[group].targets)

    def _update_shares(self, text: Text) -> None:
        board = self.board
        self._shares = {}
        board.hosted_groups = {}
        board.host_seats_by_group = {}
        for group_id, group in text.groups_by_id.items():
            hosts = hosts_of(text, group_id, group)
            for target_id, target in group.targets.items():
                share = connection_share(hosts, board.seat, target.connections) if board.seat else 0
                self._shares[target_id] = self._usable_connections(share)
                if self._shares[target_id]:
                    board.hosted_groups[group_id] = group
                    board.host_seats_by_group[group_id] = frozenset(hosts)

    def _usable_connections(self, share: int) -> int:
        # The floor of a seat is one connection. A holder that is cut off may still use it, so its successor must not.
        floor = min(share, 1)
        main = share - floor if self.board.has_main_share else 0
        return main + (floor if self.board.has_floor_share else 0)

    def _size_pools(self, text: Text) -> Iterator[Command]:
        for target_id, target in text.targets_by_id.items():
            yield from self._size_pool(text, target_id, target)
        for target_id in tuple(self._pools):
            if target_id not in text.targets_by_id:
                pool = self._pools.pop(target_id)
                self.board.targets_by_id.pop(target_id, None)
                yield SizePool(target_id, pool.address, 0, 0.0)

    def _size_pool(self, text: Text, target_id: TargetId, target: Target) -> Iterator[Command]:
        service = text.services[text.service_ids_by_group[text.group_ids_by_target[target_id]]]
        share = self._shares.get(target_id, 0)
        pool = SizePool(target_id, target.address, share, service.statement_timeout_ms / 1000)
        if self._pools.get(target_id) != pool:
            self._pools[target_id] = pool
            self.board.view_of(target_id).connections = share
            yield pool

    def _on_status(self, event: TargetStatusReceived, now: Instant) -> Iterator[Command]:
        view = self.board.view_of(event.target)
        view.is_probing = False
        if view.failing_since is not None:
            yield Incident('target_back', event.target, f'silent for {now - view.failing_since:.2f} s')
        view.failing_since = None
        if view.seen_at is not None and event.started_at < view.seen_at:
            return
        view.status = event.status
        view.seen_at = event.started_at
        self._record_primary_position(event.target, event.status, event.started_at)

    def _record_primary_position(self, target: TargetId, status: TargetStatus, seen_at: Instant) -> None:
        group = self._group_of(target)
        leader = self.board.leader_of(group) if group else None
        if group is None or leader is None or leader.target != target:
            return
        if status.role is Role.PRIMARY and status.term == leader.term:
            self.board.record_position(group, seen_at, status.position)

    def _on_status_failed(self, event: TargetStatusFailed, now: Instant) -> Iterator[Command]:
        view = self.board.view_of(event.target)
        view.is_probing = False
        if view.seen_at is not None and event.started_at < view.seen_at:
            return
        if view.failing_since is None:
            view.failing_since = event.started_at
            yield Incident('target_silent', event.target, 'a status request was not answered')

    def _group_of(self, target: TargetId) -> GroupId | None:
        return self.board.text.group_ids_by_target.get(target) if self.board.text else None
