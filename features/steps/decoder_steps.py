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

from features import builders
from fescuequay_core import fleet, messages, textcheck, tokens
from fescuequay_core.exceptions import FescuequayError
from fescuequay_core.fleet import Applied, FleetRecord, Leader, TermStart
from fescuequay_core.messages import Heartbeat, Loan, LoanAnswer
from fescuequay_core.requests import Answer
from fescuequay_core.tokens import Mark, Session
from fescuequay_core.types import Digest
from fescuequay_entry import callers, peers
from fescuequay_entry.config import load as load_settings
from fescuequay_entry.platform import check_object

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
    for raw in (b'', b'\0' * 100, b'[' * 200_000, b'{"a":' * 50_000, b'"' + b'x' * 1_000_000 + b'"'):
        attempt(raw)


@then("each returned a value or raised the decoder's own error")
def step_typed(context: Any) -> None:
    assert context.count > 400, context.count
