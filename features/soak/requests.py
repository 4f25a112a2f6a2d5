"""Records which requests callers sent and which of them databases ran, and checks that they are the same."""

import collections
from collections.abc import Callable, Sequence
from typing import Final

from features.soak import wire

#: Id of the statements that an instance issues itself, ids that callers may not use, and first words of the former.
_INTERNAL_ID: Final = '-'
_RESERVED_IDS: Final = frozenset(('', _INTERNAL_ID))
_INTERNAL_WORDS: Final = frozenset(
    ('BEGIN', 'ROLLBACK', 'SET', 'PREPARE', 'DEALLOC', 'RESET', 'STATUS', 'DEMOTE', 'PAUSE', 'RESUME')
)

#: Tenant of all callers; an instance's own connections name none.
_TENANT: Final = 'org'

#: Words of the statements that only a database may answer.
_DATABASE_WORDS: Final = frozenset(('READ', 'WRITE', 'EXECUTE', 'COMMIT'))

#: Statements whose first field is a name that an instance may replace.
_NAMING_WORDS: Final = frozenset(('EXECUTE', 'PREPARE', 'DEALLOC'))


class Requests:
    """Checks what databases run and what callers are answered against the bytes that callers sent.

    :param report: Called with the name of a violated guarantee and a description.
    :ivar tried: How often each kind of message, fault and check took place.
    """

    def __init__(self, report: Callable[[str, str], None]) -> None:
        self.tried: collections.Counter[str] = collections.Counter()
        self._report = report
        self._texts_by_id: dict[str, set[str]] = {}
        self._shared_texts: set[str] = set()
        self._place_by_id: dict[str, str] = {}

    def open_session(self) -> 'SentBytes':
        """:returns: A reader of the bytes that a caller sends in a new session."""
        return SentBytes(self)

    def record_sent(self, request: str, text: str) -> None:
        """Record a request that a caller sent as a message of its own."""
        self._texts_by_id.setdefault(request, set()).add(_without_name(text))
        self._shared_texts.add(_without_name(text))

    def record_hidden(self, request: str, place: str) -> None:
        """Record the id of a request which is no message of its own, and where it stands."""
        self._place_by_id[request] = place

    def check_run(self, database: str, request: str, text: str) -> None:
        """Check a statement that a database runs."""
        self.tried['statements at databases'] += 1
        statement = _without_after(text)
        word = statement.split(' ')[0]
        plain = _without_name(statement)
        if request == _INTERNAL_ID:
            is_asked = word in _INTERNAL_WORDS and (word not in {'SET', 'PREPARE'} or plain in self._shared_texts)
        else:
            is_asked = plain in self._texts_by_id.get(request, ())
        if is_asked:
            return
        if request in self._place_by_id:
            reason = f'it stands {self._place_by_id[request]}'
        elif request in self._texts_by_id:
            reason = f'its caller sent {sorted(self._texts_by_id[request])!r:.200}'
        else:
            reason = 'no caller sent that as a message of its own'
        self._report('UNASKED', f'{database} ran {request!r} {text!r:.200}; {reason}')

    def check_start(self, database: str, service: str, fields: str) -> None:
        """Check the fields with which a connection to a database is opened."""
        if fields not in {f'{service} {tenant} {database}' for tenant in (_TENANT, _INTERNAL_ID)}:
            self._report('UNASKED', f'{database} received a START with {fields!r:.200}')

    def check_line(self, database: str, line: bytes) -> None:
        """Check the bytes of a message that a database receives."""
        if not wire.is_decodable(line):
            self._report('UNASKED', f'{database} received {line!r:.200}, which is no message')

    def check_answer(self, request: str, text: str, answers: Sequence[str]) -> None:
        """Check that a success belongs to its request.

        :param request: Id of the request.
        :param text: Text of the request.
        :param answers: Lines of its answer.
        """
        words = text.split(' ')
        signatures = [line.removeprefix('DONE ') for line in answers if line.startswith('DONE')]
        if not signatures:
            return
        self.tried['successes'] += 1
        is_own = len(signatures) == 1
        if words[0] in _DATABASE_WORDS:
            is_own = is_own and signatures[0].endswith(f'.{request}')
        rows = [line for line in answers if line.startswith('ROW')]
        if words[0] == 'READ':
            is_own = is_own and len(rows) == 1 and rows[0].split(' ')[2:] == [words[1]]
        elif words[0] != 'EXECUTE':
            is_own = is_own and not rows
        if not is_own:
            self._report('MIXED', f'{request} {text!r:.100} was answered {list(answers)!r:.300}')

    def check_groups(self, sent: Sequence[tuple[str, str]], groups: Sequence[Sequence[str]], place: str) -> None:
        """Check the answers of a session in which messages stand that are none.

        :param sent: Ids and texts of its messages up to the one that can't be decoded.
        :param groups: Lines of its answers, each up to a ``READY``.
        :param place: What the session held.
        """
        unasked = list(groups[len(sent) :])
        for (request, text), answers in zip(sent, groups, strict=False):
            if request in _RESERVED_IDS:
                unasked.append(answers)
            else:
                self.check_answer(request, text, answers)
        for answers in unasked:
            if any(line.startswith('DONE') for line in answers):
                self._report('UNASKED', f'a success for nothing that was sent: {answers!r:.200}; session with {place}')

    def record_unanswered(self, instance: str, detail: str) -> None:
        """Record that an instance left messages unanswered which stand before one that can't be decoded."""
        self._report('ANSWERED', f'{instance} {detail}')


class SentBytes:
    """Reads the bytes that a caller sends in one session as the protocol says, up to what can't be decoded.

    :param requests: Records the requests.
    """

    def __init__(self, requests: Requests) -> None:
        self._requests = requests
        self._lines = wire.LineReader(wire.PROTOCOL_END)
        self._is_ended = False

    def feed(self, chunk: bytes) -> None:
        """Record the requests that the chunk completes."""
        for line in self._lines.feed(chunk):
            text = wire.decode(line)
            self._is_ended = self._is_ended or not wire.is_decodable(line) or text.split(' ')[0] == 'BYE'
            if self._is_ended:
                return
            word, _, rest = text.partition(' ')
            request, _, statement = rest.partition(' ')
            if word == 'QUERY' and request not in _RESERVED_IDS:
                self._requests.record_sent(request, statement)


def _without_after(text: str) -> str:
    return text.split(' ', 2)[2] if text.startswith('AFTER ') and text.count(' ') > 1 else text


def _without_name(text: str) -> str:
    """:returns: The text without the name of a prepared statement."""
    word, _, rest = text.partition(' ')
    return f'{word} {rest.partition(" ")[2]}' if word in _NAMING_WORDS else text
