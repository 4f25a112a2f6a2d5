"""Selects the target of an operation and limits the wait for one."""

import random
from typing import Final

from fescuequay_core.relay import placement, refusals
from fescuequay_core.relay.model import LeaderRecord, TargetDescription
from fescuequay_core.relay.refusals import Refused
from fescuequay_core.types import Instant, LeaderState, TargetId
from fescuequay_entry.relay.board import Board
from fescuequay_entry.relay.operation import Choice, Operation
from fescuequay_entry.relay.pool import Pools

#: Share of a statement's time limit for which it may wait during a failover. The rest is left for the statement itself.
FAILOVER_WAIT_SHARE: Final = 0.45

#: Share of the route's target latency for which an operation waits if no failover is expected.
_SHORT_WAIT_SHARE: Final = 0.25

#: Time since its first failure within which a primary is expected to be replaced or to recover, in seconds. Longer
#: failures are network partitions that no promotion can resolve, and callers are better refused at once.
_MAX_EXPECTED_FAILOVER_S: Final = 2.5

#: Retry-after of an operation that found no primary, in seconds: about the duration of a promotion.
_PRIMARY_RETRY_AFTER_S: Final = 0.5

#: Retry-after of an operation whose data centre is evacuated, in seconds: the time that a replacement takes.
_EVACUATED_RETRY_AFTER_S: Final = 2.0

#: Share of a statement's time limit for which a read may wait for a target that can run it.
_READ_WAIT_SHARE: Final = 0.4

#: Retry-after of a refused read, in seconds: the duration of several statements.
READ_RETRY_AFTER_S: Final = 0.2

#: Interval at which a wait checks again without a notification, in seconds: the end of a target's pause sends none.
RECHECK_INTERVAL_S: Final = 0.05

#: Pause before a target without a free connection is tried again, in seconds: about the duration of one statement.
BUSY_TARGET_PAUSE_S: Final = 0.02


class TargetSelector:
    """Selects targets for ``StatementRunner``, which acquires the connection and runs the statement.

    :param board: Shared state of the instance.
    :param pools: Connection pools of the targets.
    """

    def __init__(self, board: Board, pools: Pools) -> None:
        self._board = board
        self._pools = pools

    async def await_leader(self, operation: Operation, tried: set[TargetId]) -> tuple[LeaderRecord, TargetDescription]:
        """Wait until a primary is usable under a permit.

        :param operation: The operation.
        :param tried: Targets to avoid; the primary is removed from them.
        :returns: Its leader record and description.
        :raises Refused: No primary became usable in time.
        """
        service = operation.route.service
        while True:
            now = self._board.clock()
            leader = self._board.leader(service)
            if leader is not None and not leader[1].is_draining:
                health = self._board.health_of(leader[1])
                if health.is_usable(now):
                    tried.discard(leader[1].target)
                    return leader
            self._refuse_if_evacuated(operation, now)
            limit = self._board.may_wait_until(self._wait_until(operation, leader, now))
            if now >= limit:
                record = self._board.permits.record(service)
                detail = f'{service} has no usable primary' + (
                    f' (term {record.term} {record.state.value})' if record else ''
                )
                raise Refused(refusals.NO_PRIMARY, detail, _PRIMARY_RETRY_AFTER_S)
            await self._board.wait_for_change(min(limit - now, RECHECK_INTERVAL_S))

    async def choose_reader(self, operation: Operation, tried: set[TargetId]) -> Choice:
        """Wait until a target can run a read.

        :param operation: The operation.
        :param tried: Targets to avoid until the next wait.
        :returns: The target.
        :raises Refused: No target became able to run it in time.
        """
        latest = operation.began_at + operation.route.timeout_s * _READ_WAIT_SHARE
        while True:
            now = self._board.clock()
            latest = self._board.may_wait_until(latest)
            choice = self._best_reader(operation, tried, now)
            if choice is not None:
                return choice
            self._refuse_if_evacuated(operation, now)
            if now >= min(self._wait_until(operation, self._board.leader(operation.route.service), now), latest):
                raise Refused(
                    refusals.NO_TARGET, f'no target of {operation.route.service} can run the read', READ_RETRY_AFTER_S
                )
            await self._board.wait_for_change(BUSY_TARGET_PAUSE_S if tried else RECHECK_INTERVAL_S)
            tried.clear()

    def _refuse_if_evacuated(self, operation: Operation, now: Instant) -> None:
        """Refuse an operation at once that waits in vain for a target.

        :raises Refused: The primary is in an evacuated data centre, and nobody replaces it.
        """
        service = operation.route.service
        record = self._board.permits.record(service)
        primary = self._board.targets_by_id.get(record.target) if record is not None else None
        if record is None or primary is None or record.state is not LeaderState.LEADING:
            return
        if self._board.evacuations.is_closed(primary.data_centre, now):
            raise Refused(
                refusals.EVACUATED,
                f'primary {primary.target} of {service} is in the evacuated data centre {primary.data_centre}',
                _EVACUATED_RETRY_AFTER_S,
            )

    def _wait_until(
        self, operation: Operation, leader: tuple[LeaderRecord, TargetDescription] | None, now: Instant
    ) -> Instant:
        record = self._board.permits.record(operation.route.service)
        if leader is None and self._board.is_starting():
            return operation.began_at + operation.route.timeout_s * FAILOVER_WAIT_SHARE
        if leader is None and record is not None and record.state is LeaderState.LEADING:
            # The permit has expired: neither a coordinator nor the table has answered for seconds. Other instances may
            # still be connected, so the caller is refused at once.
            return operation.began_at
        is_expected = record is not None and record.state is LeaderState.CLOSING
        if leader is not None:
            failing_since = self._board.health_of(leader[1]).failing_since
            is_expected = failing_since is not None and now - failing_since < _MAX_EXPECTED_FAILOVER_S
            is_expected = is_expected or leader[1].is_draining
        if is_expected:
            return operation.began_at + operation.route.timeout_s * FAILOVER_WAIT_SHARE
        return operation.began_at + operation.route.aim_s * _SHORT_WAIT_SHARE

    def _best_reader(self, operation: Operation, tried: set[TargetId], now: Instant) -> Choice | None:
        required = self._board.samples.required_position(operation.route, operation.position, operation.began_at)
        candidates = []
        for target, is_primary in self._board.read_targets_of(operation.route.service):
            health = self._board.health_of(target)
            if is_primary or required is not None:
                pool = self._pools.source_of(target)
                has_idle = pool.has_idle(operation.organisation)
                candidates.append(
                    placement.Candidate(
                        target, health, pool.available(), pool.waiting(), is_primary, has_idle, pool.is_shared
                    )
                )
        is_replicated = required is not None and now - required.since >= placement.REPLICATION_DELAY_S
        untried = placement.exclude_tried(placement.exclude_silent(candidates, now), frozenset(tried))
        best = placement.pick(untried, self._board.own.data_centre, now, random.random, is_replicated=is_replicated)
        leader = self._board.leader(operation.route.service)
        if best is None or (best.is_primary and leader is None):
            return None
        if best.is_primary and leader is not None:
            return Choice(leader[0], best.target)
        return Choice(None, best.target, required) if required is not None else None
