"""Tracks executed writes until they may be acknowledged."""

import dataclasses
from collections.abc import Iterator

from fescuequay_core.blackboard import Blackboard, Pending
from fescuequay_core.requests import Outcome, TargetStatus
from fescuequay_core.types import Acknowledge, Instant, LeaderState, Position, Role, TargetId, Verdict


@dataclasses.dataclass(slots=True)
class UnconfirmedWrite:
    """One write that its target has executed.

    :param pending: The request.
    :param outcome: What the target answered.
    :param ended_at: When the answer arrived; only statuses requested later count.
    :param until: When the wait for a confirming status ends.
    :param position: Log position at or after the write, once known.
    """

    pending: Pending
    outcome: Outcome
    ended_at: Instant
    until: Instant
    position: Position | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ResolvedWrite:
    """One write whose outcome is decided.

    :param write: The write.
    :param verdict: ``RAN`` when it may be acknowledged, else ``MAY_HAVE_RUN``.
    """

    write: UnconfirmedWrite
    verdict: Verdict


class AcknowledgementTracker:
    """Holds writes until a status of their target, requested after the write, confirms them.

    The status must show that the target is still primary in the term that the write was sent in. With
    majority acknowledgement it must also show that a majority holds the write, so that a promotion, which
    fences a majority, keeps it. Otherwise this instance must hold a permit, which is a time-limited lease on
    using the primary. A write that was interrupted by a failover counts if the new term begins at or after it.

    :param board: The blackboard.
    """

    def __init__(self, board: Blackboard) -> None:
        self._board = board
        self._writes_by_target: dict[TargetId, list[UnconfirmedWrite]] = {}

    def add(self, pending: Pending, outcome: Outcome, now: Instant) -> None:
        """Hold a write until it is confirmed or its wait ends.

        :param pending: The request, with its target and term.
        :param outcome: What the target answered.
        :param now: Present time.
        """
        service = self._board.service_of(pending.group)
        timeout_s = service.acknowledge_within_ms / 1000 if service else 0.0
        until = min(max(pending.request.deadline, now), now + timeout_s)
        if pending.target is not None:
            write = UnconfirmedWrite(pending, outcome, now, until)
            self._writes_by_target.setdefault(pending.target, []).append(write)

    def targets(self) -> Iterator[TargetId]:
        """:returns: Targets that have unconfirmed writes."""
        return (target for target, writes in self._writes_by_target.items() if writes)

    def on_status(
        self, target: TargetId, status: TargetStatus, started_at: Instant, now: Instant
    ) -> Iterator[ResolvedWrite]:
        """Check the writes of a target against its status.

        :param target: The target.
        :param status: Its status.
        :param started_at: When the status was requested.
        :param now: Present time.
        :returns: Writes that may be acknowledged.
        """
        for write in tuple(self._writes_by_target.get(target, ())):
            if started_at < write.ended_at or not _is_same_primary(write, status):
                continue
            if write.position is None:
                write.position = status.position
            if self._is_confirmed(write, status, now):
                yield self._resolve(target, write, Verdict.RAN)

    def on_tick(self, now: Instant) -> Iterator[ResolvedWrite]:
        """Resolve the writes whose wait timed out or whose outcome a failover has decided.

        :param now: Present time.
        :returns: The resolved writes.
        """
        for target, writes in tuple(self._writes_by_target.items()):
            for write in tuple(writes):
                verdict = self._verdict_of_failover(write)
                if verdict is not None:
                    yield self._resolve(target, write, verdict)
                elif now >= write.until:
                    yield self._resolve(target, write, Verdict.MAY_HAVE_RUN)

    def _resolve(self, target: TargetId, write: UnconfirmedWrite, verdict: Verdict) -> ResolvedWrite:
        self._writes_by_target[target].remove(write)
        return ResolvedWrite(write, verdict)

    def _is_confirmed(self, write: UnconfirmedWrite, status: TargetStatus, now: Instant) -> bool:
        service = self._board.service_of(write.pending.group)
        if service is None or write.position is None or status.fence > status.term:
            return False
        # A text that is not the one in force may name a weaker rule, so the stronger rule applies meanwhile.
        applied = self._board.record.text
        is_current = applied is not None and applied.number == self._board.text_number
        if service.acknowledge is Acknowledge.REPLICA or not is_current:
            return status.replicated >= write.position
        leader = self._board.leader_of(write.pending.group)
        is_leading = leader is not None and leader.state is LeaderState.LEADING and leader.term == write.pending.term
        return is_leading and self._board.has_permit(now)

    def _verdict_of_failover(self, write: UnconfirmedWrite) -> Verdict | None:
        leader = self._board.leader_of(write.pending.group)
        term = write.pending.term
        if leader is None or term is None or leader.term <= term:
            return None
        end = leader.end_of(term)
        if write.position is not None and end is not None and write.position <= end:
            return Verdict.RAN
        return Verdict.MAY_HAVE_RUN


def _is_same_primary(write: UnconfirmedWrite, status: TargetStatus) -> bool:
    return status.role is Role.PRIMARY and status.term == write.pending.term
