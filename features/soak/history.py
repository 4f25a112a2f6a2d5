"""What callers and databases saw, and the promises that are checked on it while the soak runs."""

import dataclasses
from typing import Final

#: Answers that promise that nothing of the attempt is kept.
PROMISES: Final = frozenset(('BUSY', 'ABORTED', 'LAGGING', 'READONLY', 'MISDIRECT', 'TOOMANY'))


@dataclasses.dataclass(slots=True)
class Commit:
    """One write that a database ran.

    :param request: The caller's id.
    :param key: What was written.
    :param number: The value, a number that its only writer counts up.
    :param at: When.
    :param is_led: Whether the database was the one named last.
    """

    request: str
    key: str
    number: int
    at: float
    is_led: bool


class History:
    """Checks each event against what came before.

    :ivar broken: Promises that were not kept, in words.
    """

    def __init__(self) -> None:
        self.broken: list[str] = []
        self.served = 0
        self.refused: dict[str, int] = {}
        self.last_served_at = 0.0
        self._commits_by_request: dict[str, Commit] = {}
        self._promised: set[str] = set()
        self._acknowledged: dict[str, dict[int, tuple[float, str]]] = {}
        self._tokens: list[tuple[int, str]] = []

    def note_commit(self, commit: Commit) -> None:
        """Take in a write that a database ran."""
        if commit.request in self._commits_by_request:
            self._break('TWICE', f'{commit.request} ran twice')
        if commit.request in self._promised:
            self._break('REFUSED', f'{commit.request} ran after a promise that nothing is kept')
        self._commits_by_request[commit.request] = commit

    def note_cut(self, commits: list[Commit]) -> None:
        """Take in the writes that a promotion rolled back; they count no more."""
        for commit in commits:
            self._commits_by_request.pop(commit.request, None)
            self._acknowledged.get(commit.key, {}).pop(commit.number, None)

    def note_acknowledged(self, request: str, key: str, number: int, now: float) -> None:
        """Take in a success that a caller was told."""
        commit = self._commits_by_request.get(request)
        if commit is not None:
            if not commit.is_led:
                self._break('ONE', f'{request} was acknowledged by a replaced primary')
            self._acknowledged.setdefault(key, {})[number] = (now, request)
        self._note_served(now)

    def note_refused(self, request: str, code: str) -> None:
        """Take in a refusal."""
        self.refused[code] = self.refused.get(code, 0) + 1
        if code in PROMISES:
            self._promised.add(request)
            if request in self._commits_by_request:
                self._break('REFUSED', f'{request} had run and was promised not to be kept ({code})')

    def owed(self, key: str) -> int:
        """:returns: Newest number that was acknowledged and not rolled back; a read that begins now owes it."""
        return max(self._acknowledged.get(key, {}), default=0)

    def note_read(self, request: str, key: str, number: int, owed: int, now: float) -> None:
        """Take in a read's answer.

        :param request: Its id.
        :param key: What was read.
        :param number: What was seen.
        :param owed: What was owed when it began.
        :param now: Present time.
        """
        # A promotion may have rolled back meanwhile what was owed at the beginning.
        if number < min(owed, self.owed(key)):
            self._break('STALE', f'{request} read {key} as {number}, though {owed} was acknowledged before it began')
        self._note_served(now)

    def note_promotion(self, holder: str, token: int) -> None:
        """Take in a call of the promoter."""
        for known_token, known_holder in self._tokens:
            if token < known_token or (token == known_token and holder != known_holder):
                self._break('ONE', f'{holder} promotes with token {token} after {known_holder} with {known_token}')
        self._tokens.append((token, holder))

    def note_cut_off(self, instance: str, request: str) -> None:
        """Take in a connection that ended unanswered while its instance ended by plan and nothing else failed."""
        self._break('LOST', f'{instance} ended by plan with {request} unanswered')

    def _note_served(self, now: float) -> None:
        self.served += 1
        self.last_served_at = now

    def _break(self, promise: str, detail: str) -> None:
        self.broken.append(f'{promise}: {detail}')
