"""Steps that fuzz the decoders with random and damaged inputs."""

import decimal
import pathlib
import tempfile
import zlib
from collections.abc import Callable
from typing import Any

import msgspec
from behave import then, when
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from features import builders, odd_entries
from fescuequay_core import fleet, messages, textcheck, tokens
from fescuequay_core.exceptions import FescuequayError
from fescuequay_core.fleet import Applied, FleetRecord, Leader, TermStart
from fescuequay_core.messages import Heartbeat, Loan, LoanAnswer
from fescuequay_core.requests import Answer
from fescuequay_core.tokens import Mark, Session
from fescuequay_core.relay.history import Difference
from fescuequay_core.relay.model import MemberRecord
from fescuequay_core.types import Digest, InstanceId
from fescuequay_core.decoding import JsonDecoder, UnreadableError
from fescuequay_core.relay.model import TargetDescription
from fescuequay_core.types import Role, ServiceId, TargetId
from fescuequay_entry import callers, peers
from fescuequay_entry.config import load as load_settings
from fescuequay_entry.platform import check_object
from fescuequay_entry.relay import hop_frames
from fescuequay_entry.relay.messages import ExchangeAnswer, ExchangeRequest, SupplyRequest
from fescuequay_entry.relay.ports import TableError, TableRow
from fescuequay_entry.relay.table_rows import LEADER_PREFIX, LEASE_KEY, MEMBER_PREFIX, Rows
from fescuequay_platform import rows, statements, store
from fescuequay_platform.codec import LineDecoder, Message
from fescuequay_platform.connections import _decode_caller_message

_RECORD = FleetRecord(
    3,
    Applied(1, 'd' * 64, 'me', 1.5),  # type: ignore[arg-type]
    {'g1': Leader(2, 'g1-2', starts=(TermStart(2, 7),))},  # type: ignore[arg-type, dict-item]
)
_HEARTBEAT = Heartbeat('i1', 'dc-a', 'a:1', 3, 0.5, record=_RECORD)  # type: ignore[arg-type]
_LOANS = LoanAnswer('ask', 'i1', (Loan('i1:1', 'acme', 1.0, 2.0, 2.0),), ('x',))  # type: ignore[arg-type]
_TOKEN = tokens.encode(Session('acme', {'g1': Mark(1, 9)}), builders.SECRET)  # type: ignore[arg-type, dict-item]
_STATEMENT = b'{"sql": "select $1", "params": [1.50, null, {"a": []}], "read": true, "accept_age_ms": 5}'
_SETTINGS = b'{"instance": "a", "data_centre": "b", "platform": "http://c", "secrets": ["' + b'5e' * 16 + b'"]}'


def _text(raw: bytes) -> None:
    text, faults = textcheck.load(raw)
    assert (text is None) == bool(faults)


def _statement(raw: bytes) -> None:
    callers._DECODERS[callers.StatementBody].decode(raw)


def _settings(raw: bytes) -> None:
    with tempfile.NamedTemporaryFile() as file:
        path = pathlib.Path(file.name)
        path.write_bytes(raw)
        load_settings(path)


def _own_rows(raw: bytes) -> None:
    Rows.decode(TableRow(key, raw, 1) for key in (LEASE_KEY, f'{LEADER_PREFIX}s', f'{MEMBER_PREFIX}i'))


def _lines(raw: bytes) -> None:
    for message in LineDecoder().feed(raw + b'\r\n'):
        if isinstance(message, Message):
            _decode_caller_message(message)


_EXCHANGE = ExchangeRequest(
    MemberRecord(InstanceId('i'), 'x', 'a:1', 'north'),
    3,
    'd',
    {},
    'd',
    SupplyRequest(InstanceId('i'), 'x', 1, {'o': 2}),
)
_TARGET = TargetDescription(
    TargetId('t'), 1, ServiceId('s'), '127.0.0.1:1', 'north', is_draining=False, role=Role.REPLICA, slots=4
)
_EXCHANGED = ExchangeAnswer(is_coordinator=True, targets=Difference(is_whole=True, changed=(_TARGET,), removed=()))
_FRAME = hop_frames.encode(hop_frames.Answer(1, hop_frames.Fate.ANSWERED, rows=['x']))
_STORE_ANSWER = b'{"rows": [{"key": "k", "value": "eA==", "ver": 3}], "ver": 4, "now_ms": 5}'

_CASES: dict[str, tuple[Callable[[bytes], Any], bytes, tuple[type[Exception], ...]]] = {
    'texts': (_text, builders.raw_text(builders.plain_text()), ()),
    'session tokens': (
        lambda raw: tokens.decode(raw.decode('latin-1'), (builders.SECRET,)),
        _TOKEN.encode(),
        (FescuequayError,),
    ),
    'peer messages': (messages.decode, messages.encode(_HEARTBEAT) + messages.encode(_LOANS), (FescuequayError,)),
    'fleet records': (fleet.decode_record, msgspec.json.encode(_RECORD), (FescuequayError,)),
    'forwarded requests': (
        lambda raw: peers.decode_request(raw, 1.0),
        msgspec.json.encode(peers.RequestRow(builders.request(1, 0.0), 1.0)),
        (FescuequayError,),
    ),
    'forwarded answers': (
        peers.decode_answer,
        peers.encode_answer(Answer('r1')),  # type: ignore[arg-type]
        (FescuequayError,),
    ),
    'objects': (lambda raw: check_object(Digest('0' * 64), raw), zlib.compress(b'text'), (FescuequayError,)),
    'statements of callers': (_statement, _STATEMENT, (msgspec.DecodeError, decimal.InvalidOperation)),
    'settings': (_settings, _SETTINGS, (FescuequayError,)),
    'registry entries': (lambda raw: rows.decode_target('i-1', raw), odd_entries.entry(), ()),
    'configurations': (
        lambda raw: rows.decode_operator_row('config', raw),
        msgspec.json.encode(odd_entries.configuration()),
        (),
    ),
    'evacuations': (lambda raw: rows.decode_operator_row('evacuate/z', raw), b'{"x": [1]}', ()),
    'rows of the system': (
        _own_rows,
        b'{"service": "s", "term": 1, "target": "t", "state": "leading", "cause": "x"}',
        (),
    ),
    'answers of the table': (lambda raw: store._decode_answer(raw, '3'), _STORE_ANSWER, (TableError,)),
    'eras of the table': (lambda raw: store._decode_answer(b'{}', raw.decode('latin-1')), b'12', (TableError,)),
    'exchanges': (
        JsonDecoder[ExchangeRequest](ExchangeRequest).decode,
        msgspec.json.encode(_EXCHANGE),
        (UnreadableError,),
    ),
    'answers to exchanges': (
        JsonDecoder[ExchangeAnswer](ExchangeAnswer).decode,
        msgspec.json.encode(_EXCHANGED),
        (UnreadableError,),
    ),
    'frames between instances': (
        lambda raw: list(hop_frames.FrameDecoder().feed(raw)),
        _FRAME,
        (hop_frames.FrameError,),
    ),
    'lines of callers': (_lines, b'QUERY a1 EXECUTE s1 x y', ()),
    'status rows': (
        lambda raw: statements.parse_report(raw.decode('latin-1')),
        b'replica 3 3.1209 0 12 2 17',
        (ValueError,),
    ),
    'log positions': (lambda raw: statements.parse_position(raw.decode('latin-1')), b'3.1209', (ValueError,)),
}


def _damaged(valid: bytes) -> st.SearchStrategy[bytes]:
    def damage(offset: int, length: int, replacement: bytes) -> bytes:
        return valid[:offset] + replacement + valid[offset + length :]

    return st.builds(damage, st.integers(0, len(valid)), st.integers(0, 12), st.binary(max_size=8))


@when('{random_count:d} random and {damaged_count:d} damaged inputs are given to the decoder of {what}')
def step_fuzz(context: Any, random_count: int, damaged_count: int, what: str) -> None:
    decode, valid, errors = _CASES[what]
    context.count = 0

    def attempt(raw: bytes) -> None:
        context.count += 1
        try:
            decode(raw)
        except errors:
            return

    for strategy, examples in ((st.binary(max_size=300), random_count), (_damaged(valid), damaged_count)):
        chosen = settings(
            derandomize=True, database=None, deadline=None, max_examples=examples,
            suppress_health_check=list(HealthCheck),
        )  # fmt: skip
        chosen(given(strategy)(attempt))()
    deep = [valid[:-1] + b', "x": ' + odd + b'}' for odd in (odd_entries.DEEP_ARRAYS, odd_entries.DEEP_OBJECTS)]
    for raw in (b'', b'\0' * 100, b'[' * 200_000, b'{"a":' * 50_000, b'"' + b'x' * 1_000_000 + b'"', *deep):
        attempt(raw)


@then("each returned a value or raised the decoder's own error")
def step_typed(context: Any) -> None:
    assert context.count > 400, context.count
