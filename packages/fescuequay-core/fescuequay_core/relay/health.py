"""Health of each target, as observed in this instance's own traffic: alive, silent, slow or failing."""

import dataclasses
from typing import Final

from fescuequay_core.types import Instant, TargetId

#: Shortest and longest back-off for which a failing target gets no statement, in seconds; it doubles per failure.
_FIRST_PAUSE_S: Final = 0.25
_LONGEST_PAUSE_S: Final = 2.0

#: Weight of the latest answer in the smoothed time of one statement.
_TIME_WEIGHT: Final = 0.15

#: Assumed time of one statement before the first answer, in seconds.
_FIRST_TIME_S: Final = 0.03

#: Assumed time of opening a connection before the first one, in seconds.
_FIRST_CONNECT_S: Final = 0.01

#: Time for which reads that may go elsewhere avoid a replica that was behind, in seconds.
_BEHIND_PAUSE_S: Final = 0.3

#: Weight of the latest outcome in the share of failed statements, and the share from which reads go elsewhere:
#: callers have two retries, and a fifth of a fifth of a fifth is under 1%.
_FAULT_WEIGHT: Final = 0.1
_FAULT_LIMIT: Final = 0.2

#: Time for which reads avoid a target that fails its statements, in seconds; then a few may try it again.
_FAULTY_S: Final = 2.0


@dataclasses.dataclass(slots=True)
class TargetHealth:
    """Observations about one incarnation of a target.

    :param failing_since: Since when it has not answered: start of the first failed attempt after its latest answer.
    :param failures: Failures in a row.
    :param is_refusing: Whether the latest failure was a refused connection.
    :param is_silent: Whether the latest failure gave no sign that anything runs there: a target that accepts
        connections is slow or full, and reads may still go there when nothing else is left.
    :param paused_until: Until when no statement goes there.
    :param behind_until: Until when reads that may go elsewhere avoid it.
    :param answered_at: When it last answered anything.
    :param statement_s: Smoothed time of one statement.
    :param connect_s: Smoothed time of opening a connection.
    :param fault_share: Smoothed share of statements that failed because of the target.
    :param faulty_until: Until when reads that may go elsewhere avoid it because of its faults; writes cannot.
    :param in_flight: Statements of this instance that it is running.
    """

    failing_since: Instant | None = None
    failures: int = 0
    is_refusing: bool = False
    is_silent: bool = False
    paused_until: Instant = float('-inf')
    behind_until: Instant = float('-inf')
    answered_at: Instant = float('-inf')
    statement_s: float = _FIRST_TIME_S
    connect_s: float = _FIRST_CONNECT_S
    fault_share: float = 0.0
    faulty_until: Instant = float('-inf')
    in_flight: int = 0

    def record_answer(self, now: Instant, *, took_s: float | None = None, is_fault: bool = False) -> None:
        """Record that the target answered.

        :param now: Present time.
        :param took_s: Time of a statement that ran.
        :param is_fault: Whether the target failed the statement for an internal reason.
        """
        self.failing_since = None
        self.failures = 0
        self.is_refusing = False
        self.is_silent = False
        self.answered_at = now
        if took_s is not None:
            self.statement_s += _TIME_WEIGHT * (took_s - self.statement_s)
        self.fault_share += _FAULT_WEIGHT * (float(is_fault) - self.fault_share)
        self.paused_until = float('-inf')
        if is_fault and self.fault_share > _FAULT_LIMIT:
            self.faulty_until = now + _FAULTY_S
            # Afterwards, one more fault among its next answers excludes it again.
            self.fault_share = _FAULT_LIMIT - _FAULT_WEIGHT / 2

    def record_connection(self, now: Instant, took_s: float) -> None:
        """Record that a connection was opened.

        :param now: Present time.
        :param took_s: How long it took.
        """
        self.record_answer(now)
        self.connect_s += _TIME_WEIGHT * (took_s - self.connect_s)

    def record_slow_opening(self, began_at: Instant, now: Instant) -> None:
        """Record that a connection that the target has accepted is still not open.

        It is no reason to pause: a full target opens connections late, and would be taken for a silent one.

        :param began_at: When the attempt began.
        :param now: Present time.
        """
        self.connect_s = max(self.connect_s, now - began_at)
        if began_at >= self.answered_at and self.failing_since is None:
            self.failing_since = began_at

    def record_failure(self, began_at: Instant, now: Instant, *, is_refusal: bool, is_accepted: bool = False) -> None:
        """Record a lost or refused connection, or a timeout.

        :param began_at: When the attempt began.
        :param now: Present time.
        :param is_refusal: Whether the connection was refused, so that no process listens there.
        :param is_accepted: Whether the target accepted the connection and did not open it in time.
        """
        if began_at < self.answered_at and not is_refusal:
            return
        # The target has not answered since the attempt began.
        self.failing_since = began_at if self.failing_since is None else self.failing_since
        self.failures += 1
        self.is_refusing = is_refusal
        self.is_silent = not is_accepted
        pause_s = min(_FIRST_PAUSE_S * 2 ** (self.failures - 1), _LONGEST_PAUSE_S)
        self.paused_until = max(self.paused_until, now + pause_s)

    def record_behind(self, now: Instant) -> None:
        """Record that a replica had not reached the position that a read required."""
        self.behind_until = now + _BEHIND_PAUSE_S

    def is_usable(self, now: Instant) -> bool:
        """:returns: Whether statements may go there now."""
        return now >= self.paused_until


class HealthByTarget:
    """Health by target and incarnation."""

    def __init__(self) -> None:
        self._health_by_target: dict[TargetId, tuple[int, TargetHealth]] = {}

    def of(self, target: TargetId, born_ms: int) -> TargetHealth:
        """:returns: The health of an incarnation; a new one starts without observations."""
        known = self._health_by_target.get(target)
        if known is None or known[0] != born_ms:
            known = (born_ms, TargetHealth())
            self._health_by_target[target] = known
        return known[1]
