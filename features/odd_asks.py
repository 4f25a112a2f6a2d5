"""Requests to a gateway whose texts are no fields of messages, or whose parts contradict each other."""

from collections.abc import Callable
from typing import Any, Final

import msgspec

from fescuequay_core.relay.model import StatementKind
from fescuequay_entry.relay.hop_frames import Ask, Step

_HIDDEN: Final = '\r\nQUERY hidden READ 1'


def _with(**fields: Any) -> Callable[[Ask], Ask]:
    return lambda ask: msgspec.structs.replace(ask, **fields)


def _execution(shape: str = 'shape', arguments: str = '1', **fields: Any) -> Callable[[Ask], Ask]:
    return _with(
        **{
            'kind': StatementKind.EXECUTE,
            'text': f'EXECUTE s {arguments}',
            'arguments': arguments,
            'shape': (shape, False),
            **fields,
        }
    )


#: What is odd about a request, given one for a read.
ASKS_BY_NAME: Final[dict[str, Callable[[Ask], Ask]]] = {
    'a request id with another request in it': _with(request=f'r2{_HIDDEN}'),
    'a request id with a blank': _with(request='r2 READ'),
    'an empty request id': _with(request=''),
    'the id of internal requests': _with(request='-'),
    'an organisation with a blank': _with(organisation='o0 other'),
    'an organisation with a line feed': _with(organisation='o0\nx'),
    'an empty organisation': _with(organisation=''),
    'a text with another request in it': _with(text=f'READ 1{_HIDDEN}'),
    'a text with a carriage return': _with(text='READ 1\r2'),
    'a text with a NUL': _with(text='READ 1\0'),
    'an empty text': _with(text=''),
    'a text that is no statement': _with(text='DEMOTE 9'),
    'a write that says it is a read': _with(text='WRITE 1 x'),
    'a read that says it is a write': _with(kind=StatementKind.WRITE),
    'a session value outside the values': _with(kind=StatementKind.SET, text='SET a b'),
    'a commit outside a transaction': _with(kind=StatementKind.COMMIT, text='COMMIT'),
    'a value with another request in it': _with(values={'a': f'b{_HIDDEN}'}),
    'a value whose name has a blank': _with(values={'a b': 'c'}),
    'a value without a name': _with(values={'': 'c'}),
    'an execution without a shape': _with(kind=StatementKind.EXECUTE, text='EXECUTE s 1', arguments='1'),
    'an execution with other arguments': _execution(text='EXECUTE s 2'),
    'an execution of an empty shape': _execution(shape=''),
    'a shape with another request in it': _execution(shape=f'q{_HIDDEN}'),
    'arguments with another request in them': _execution(arguments=f'1{_HIDDEN}'),
    'a read with a shape': _with(shape=('q', True)),
    'a begin with a text': _with(step=Step.BEGIN_READ, kind=StatementKind.BEGIN, text='READ 1', lease=2, number=3),
}
