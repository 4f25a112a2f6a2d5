"""Records what callers and databases observe and checks the guarantees while the soak test runs."""

import dataclasses
import math
from typing import Final

from features.soak.requests import Requests

#: Error codes which state that no effect of the attempt is kept.
NOT_KEPT_CODES: Final = frozenset(('BUSY', 'ABORTED', 'LAGGING', 'READONLY', 'MISDIRECT', 'TOOMANY'))


@dataclasses.dataclass(slots=True)
class Commit:
    """One write that a database ran.

    :param request: Request id of the caller.
    :param key: Key that was written.
    :param number: Value; the only writer of the key increments it.
    :param at: Time of the commit.
    :param is_by_current_primary: Whether the database was the one promoted last.
    """

    request: str
    key: str
    number: int
    at: float
    is_by_current_primary: bool


class History:
    """Checks each event against the earlier ones.

    :ivar violations: Guarantees that were violated, each as its name and a description.
    :ivar requests: Compares what callers send with what databases run.
    """

    def __init__(self) -> None:
        self.violations: list[str] = []
        self.requests = Requests(self._report_violation)
        self.served = 0
        self.refused: dict[str, int] = {}
        self.last_served_at = 0.0
        self._commits_by_request: dict[str, Commit] = {}
        self._reported_not_kept: set[str] = set()
        self._acknowledged: dict[str, dict[int, tuple[float, str]]] = {}
        self._tokens: list[tuple[int, str]] = []

    def record_commit(self, commit: Commit) -> None:
        """Record a write that a database ran."""
        if commit.request in self._commits_by_request:
            self._report_violation('TWICE', f'{commit.request} ran twice')
        if commit.request in self._reported_not_kept:
            self._report_violation('REFUSED', f'{commit.request} ran after an answer that nothing of it is kept')
        self._commits_by_request[commit.request] = commit

    def record_rollback(self, commits: list[Commit]) -> None:
        """Drop the writes that a promotion rolled back; later reads need not return them."""
        for commit in commits:
            self._commits_by_request.pop(commit.request, None)
            self._acknowledged.get(commit.key, {}).pop(commit.number, None)

    def record_success(self, request: str, key: str, number: int, now: float) -> None:
        """Record a success that was reported to a caller."""
        commit = self._commits_by_request.get(request)
        if commit is not None:
            if not commit.is_by_current_primary:
                self._report_violation('ONE', f'{request} was acknowledged by a replaced primary')
            self._acknowledged.setdefault(key, {})[number] = (now, request)
        self._record_served(now)

    def record_refusal(self, request: str, code: str) -> None:
        """Record a refusal that was reported to a caller."""
        self.refused[code] = self.refused.get(code, 0) + 1
        if code in NOT_KEPT_CODES:
            self._reported_not_kept.add(request)
            if request in self._commits_by_request:
                self._report_violation(
                    'REFUSED', f'{request} had run, but the answer said that nothing of it is kept ({code})'
                )

    def newest_acknowledged(self, key: str, before: float = math.inf) -> int:
        """:returns: Newest number that was acknowledged before a time and not rolled back; a read must return it."""
        numbers = (number for number, (at, _) in self._acknowledged.get(key, {}).items() if at < before)
        return max(numbers, default=0)

    def record_read(
        self, request: str, key: str, number: int, expected: int, now: float, before: float = math.inf
    ) -> None:
        """Record the result of a read.

        :param request: Request id of the read.
        :param key: Key that was read.
        :param number: Number that was returned.
        :param expected: Newest number that the read had to return when it began.
        :param now: Present time.
        :param before: Time before which it had to be acknowledged.
        """
        # A promotion may have rolled back the expected number while the read was running.
        if number < min(expected, self.newest_acknowledged(key, before)):
            self._report_violation(
                'STALE', f'{request} read {key} as {number}, though {expected} was acknowledged before it began'
            )
        self._record_served(now)

    def record_promotion(self, holder: str, token: int) -> None:
        """Record a call of the promoter."""
        for known_token, known_holder in self._tokens:
            if token < known_token or (token == known_token and holder != known_holder):
                self._report_violation(
                    'ONE', f'{holder} promoted with token {token} after {known_holder} with {known_token}'
                )
        self._tokens.append((token, holder))

    def promotion_count(self) -> int:
        """:returns: Number of calls of the promoter so far."""
        return len(self._tokens)

    def record_unanswered(self, instance: str, request: str) -> None:
        """Record a request left unanswered by an instance that was stopped by SIGTERM while nothing else failed."""
        self._report_violation('LOST', f'{instance} was stopped by SIGTERM with {request} unanswered')

    def record_end(self, instance: str, code: int) -> None:
        """Record an instance that has ended by itself."""
        self._report_violation('ENDED', f'{instance} ended by itself with exit code {code}')

    def record_late_route(self, instance: str, answer: str) -> None:
        """Record an instance that does not know a route in time."""
        self._report_violation('CONFIG', f'{instance} answered {answer!r} for a route that was there')

    def _record_served(self, now: float) -> None:
        self.served += 1
        self.last_served_at = now

    def _report_violation(self, guarantee: str, detail: str) -> None:
        self.violations.append(f'{guarantee}: {detail}')
