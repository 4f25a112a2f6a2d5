"""What callers send and databases run, for tests of the soak's checks of requests."""

from collections.abc import Callable
from typing import Final

from features.soak.history import History

_SENT: Final = b'START one secret\r\nQUERY q9 READ k\r\nQUERY q8 SET lang es\r\nQUERY q7 PREPARE p0 READ q2c\r\n'
_HIDDEN: Final = b'QUERY h1 READ k\nQUERY h2 READ k\r\nQUERY h3 READ k\r\n'


def send(history: History, raw: bytes, chunk_bytes: int = 1) -> None:
    """Let a caller send bytes in chunks."""
    session = history.requests.open_session()
    for start in range(0, len(raw), chunk_bytes):
        session.feed(raw[start : start + chunk_bytes])


def _run(history: History, request: str, text: str) -> None:
    send(history, _SENT + _HIDDEN)
    history.requests.check_run('one-0', request, text)


def _answer(history: History, *answers: str) -> None:
    history.requests.check_answer('q9', 'READ k', answers)


#: Events that violate a guarantee, by the name that the feature file gives them.
VIOLATIONS_BY_NAME: Final[dict[str, Callable[[History], None]]] = {
    'a request that runs though it stands inside a field': lambda history: _run(history, 'h2', 'READ k'),
    'a request that runs though its message holds a line feed': lambda history: _run(history, 'h1', 'READ k'),
    'a request that runs behind an undecodable message': lambda history: _run(history, 'h3', 'READ k'),
    'a request that runs with another text': lambda history: _run(history, 'q9', 'READ other'),
    'a read under the id of internal statements': lambda history: _run(history, '-', 'READ k'),
    'a value that no caller has set': lambda history: _run(history, '-', 'SET lang pt'),
    'a shape that no caller has prepared': lambda history: _run(history, '-', 'PREPARE s1 READ other'),
    'a NUL at a database': lambda history: history.requests.check_line('one-0', b'QUERY q9 READ k\0'),
    'a key of a caller at a database': lambda history: history.requests.check_start('one-0', 'one', 'one secret one-0'),
    'a success behind an undecodable message': lambda history: history.requests.check_groups(
        (('q9', 'READ k'),), (['ERROR BUSY x', 'READY I -'], ['DONE -', 'READY I -']), 'x'
    ),
    'the signature of another request': lambda history: _answer(history, 'ROW 1 k', 'DONE one-0.q8', 'READY I -'),
    'the row of another key': lambda history: _answer(history, 'ROW 1 other', 'DONE one-0.q9', 'READY I -'),
    'two signatures': lambda history: _answer(history, 'ROW 1 k', 'DONE one-0.q9', 'DONE one-0.q9', 'READY I -'),
    'a valid message before an undecodable one stays unanswered': lambda history: history.requests.record_unanswered(
        'n1', 'closed'
    ),
}


def run_what_was_sent(history: History) -> None:
    """Run the requests of a caller as an instance may forward them, and its own statements."""
    send(history, _SENT + b'QUERY q6 EXECUTE p0 k\r\nQUERY q5 WRITE k \xe2\x80\xa8\xff\r\n')
    for request, text in (
        ('q9', 'AFTER 3.12 READ k'),
        ('-', 'SET lang es'),
        ('-', 'PREPARE s17 READ q2c'),
        ('q6', 'EXECUTE s17 k'),
        ('q5', 'WRITE k \u2028\udcff'),
        ('-', 'AFTER 3.12 BEGIN READ'),
        ('-', 'ROLLBACK'),
        ('-', 'STATUS'),
    ):
        history.requests.check_run('one-0', request, text)
    _answer(history, 'ROW 1 k', 'DONE one-0.q9', 'READY I -')
