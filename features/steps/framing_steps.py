"""Steps that test what a target runs when callers send requests inside fields of other messages."""

import asyncio
import re
from collections.abc import Iterable
from typing import Any

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from features import line_ends, line_model, platform_standin, relay_processes, smuggling
from fescuequay_core.relay.model import Statement, StatementKind
from fescuequay_platform.codec import LineDecoder, Message, WireError

_READ = Statement(StatementKind.READ, 'READ x')

_READY = re.compile(rb'[ITE] (-|\d{1,18}\.\d{1,18})')

#: Texts that break a message, by what is special about them.
_BREAKS_BY_NAME = {
    'a line feed': '\n',
    'a carriage return': '\r',
    'a carriage return and a line feed': '\r\n',
    'a NUL': '\0',
    'more than 1 MiB': 'y' * 2**20,
}

_PIECES = (
    b'\r\n',
    b'\r\n',
    b'\r',
    b'\n',
    b'\0',
    b' ',
    b'QUERY a READ x',
    b'START d k',
    b'BYE',
    b'\x0b',
    b'\x85',
    b'\xe2\x80\xa8',
    b'y',
)
_STREAMS = st.lists(st.one_of(st.sampled_from(_PIECES), st.binary(max_size=4)), max_size=24).map(b''.join)
_FIELDS = st.lists(
    st.one_of(st.sampled_from((b'\r', b'\n', b'\0', b' ', b'a')), st.binary(max_size=3)), max_size=6
).map(b''.join)
_LINES_OF_ANSWERS = (
    b'ROW v\r\n',
    b'ROW v w\r\n',
    b'DONE sig\r\n',
    b'DONE sig x\r\n',
    b'READY I 1.2\r\n',
    b'READY T -\r\n',
    b'ERROR BUSY no\r\n',
)
_ANSWERS = st.tuples(
    st.lists(st.sampled_from(_LINES_OF_ANSWERS), max_size=6).map(b''.join),
    st.lists(st.one_of(st.sampled_from((*_LINES_OF_ANSWERS, *_PIECES)), st.binary(max_size=4)), max_size=3).map(
        b''.join
    ),
).map(b''.join)


@given('a real instance whose target takes LF, CR and NUL for the end of a line')
def step_deployment(context: Any) -> None:
    context.world = relay_processes.Deployment()
    context.world.start()


def _send_all(context: Any, shapes: Iterable[smuggling.Smuggling]) -> None:
    context.answers_by_hidden = {shape.hidden.decode(): (shape.name, context.world.smuggle(shape)) for shape in shapes}


@when('callers send a request inside each kind of field, before each byte that may end a line')
def step_fields(context: Any) -> None:
    _send_all(context, smuggling.shapes())


@when('callers send requests under the id of internal statements and under no id')
def step_ids(context: Any) -> None:
    _send_all(context, smuggling.reserved_ids())


@then('the target has run nothing but what callers sent as messages of their own')
def step_nothing_hidden(context: Any) -> None:
    words = {word for request, text in context.world.ran() for word in (request, *text.split(' '))}
    smuggled = [name for hidden, (name, _) in context.answers_by_hidden.items() if hidden in words]
    assert not smuggled, smuggled
    unanswered = [name for name, received in context.answers_by_hidden.values() if b'ERROR MALFORMED' not in received]
    assert not unanswered, unanswered


def _decode(chunks: Iterable[bytes]) -> tuple[list[tuple[bytes, ...] | None], bool]:
    """:returns: For each line its message, or nothing for an error, and whether the decoder gave up."""
    decoder = LineDecoder()
    found = [item for chunk in chunks for item in decoder.feed(chunk)]
    has_failed = any(isinstance(item, WireError) and item.is_fatal for item in found)
    lines = [_plain(item) for item in found if isinstance(item, Message) or not item.is_fatal]
    assert has_failed == (isinstance(found[-1], WireError) and found[-1].is_fatal if found else False), found
    return lines, has_failed


def _plain(item: Message | WireError) -> tuple[bytes, ...] | None:
    if isinstance(item, WireError):
        return None
    return tuple(text.encode('utf-8', 'surrogateescape') for text in (item.kind, *item.fields))


def _cut(raw: bytes, places: list[int]) -> list[bytes]:
    ordered = sorted({min(place, len(raw)) for place in places} | {0, len(raw)})
    return [raw[start:end] for start, end in zip(ordered, ordered[1:], strict=False)]


@then('hypothesis finds no bytes and chunks that the line decoder reads in another way than the model')
def step_decoder(context: Any) -> None:
    @settings(max_examples=1500, deadline=None, derandomize=True)
    @for_all(_STREAMS, st.lists(st.integers(0, 120), max_size=12))
    def check(raw: bytes, places: list[int]) -> None:
        expected = line_model.read(raw)
        assert _decode(_cut(raw, places)) == (expected.lines, expected.is_broken)

    check()


@then('hypothesis finds no fields that the encoder sends in another way than the model allows')
def step_encoder(context: Any) -> None:
    @settings(max_examples=1500, deadline=None, derandomize=True)
    @for_all(
        st.sampled_from(('START', 'QUERY', 'READY', 'ERROR', 'ROW', 'DONE')), st.lists(_FIELDS, min_size=1, max_size=3)
    )
    def check(kind: str, fields: list[bytes]) -> None:
        message = Message(kind, tuple(field.decode('utf-8', 'surrogateescape') for field in fields))
        try:
            encoded = message.encode()
        except WireError:
            assert not line_model.is_sendable(kind, tuple(fields)), (kind, fields)
            return
        assert line_model.is_sendable(kind, tuple(fields)), (kind, fields)
        assert encoded == b' '.join((kind.encode(), *fields)) + b'\r\n'
        assert len(line_model.read(encoded).lines) == 1

    check()


@then('messages around the longest one are read as the model reads them, in chunks of {sizes} bytes')
def step_longest(context: Any, sizes: str) -> None:
    for size in map(int, sizes.replace(' and ', ', ').split(', ')):
        for length in range(2**20 - 1, 2**20 + 3):
            line = b'ROW ' + b'x' * (length - 4)
            for raw in (line + b'\r\nBYE\r\n', line, line + b'\r', line + b'\n'):
                expected = line_model.read(raw)
                chunks = (raw[start : start + size] for start in range(0, len(raw), size))
                assert _decode(chunks) == (expected.lines, expected.is_broken), (size, length, raw[-10:])


def _answer_in(raw: bytes) -> tuple[list[bytes], bytes] | None:
    """:returns: Rows and signature of the whole successful answer with which these bytes begin; nothing otherwise."""
    rows: list[bytes] = []
    signature = None
    for line in line_model.read(raw).lines:
        text = b' '.join(line[1:]) if line is not None else b''
        if line is not None and line[0] == b'ROW' and signature is None:
            rows.append(text)
        elif line is not None and line[0] == b'DONE' and signature is None and text:
            signature = text
        else:
            is_ready = line is not None and line[0] == b'READY' and len(line) == 3 and bool(_READY.fullmatch(text))
            return (rows, signature) if is_ready and signature is not None else None
    return None


@then('hypothesis finds no bytes of a target that are taken for another answer than the model reads')
def step_target(context: Any) -> None:
    @settings(max_examples=800, deadline=None, derandomize=True)
    @for_all(_ANSWERS, st.lists(st.integers(0, 120), max_size=6))
    def check(raw: bytes, places: list[int]) -> None:
        outcome, connection, _ = asyncio.run(line_ends.ask(_cut(raw, places), _READ))
        expected = _answer_in(raw)
        if outcome is None or outcome.fault is not None:
            assert expected is None, raw
            return
        assert expected is not None, (raw, outcome)
        texts = [text.encode('utf-8', 'surrogateescape') for text in (*outcome.rows, outcome.signature)]
        assert texts == [*expected[0], expected[1]], raw
        rest = line_model.read(raw)
        is_exact = len(rest.lines) == len(expected[0]) + 2 and not rest.is_broken and not rest.rest
        assert connection.is_open == is_exact, raw

    check()


@when('a target answers a statement and sends a part of another message')
def step_surplus(context: Any) -> None:
    context.asked = asyncio.run(line_ends.ask([b'ROW v\r\nDONE sig\r\nREADY I 1.2\r\nRO'], _READ))


@then("the statement has its answer, and the connection can't be used again")
def step_unusable(context: Any) -> None:
    outcome, connection, _ = context.asked
    assert outcome is not None and outcome.rows == ['v'] and not connection.is_open


@when('a caller sends several statements in one go, the last of them with a line feed inside')
def step_traced(context: Any) -> None:
    context.world.await_primary()
    context.messages_by_name = {
        't1': b'QUERY t1 READ x\r\n',
        't2': b'QUERY t2 WRITE x \xc3\xa9 y\r\n',
        't3': b'QUERY t3 JUMP x\r\n',
        't4': b'QUERY t4 COMMIT\r\n',
        '': b'QUERY t5 READ x\n',
    }
    with context.world.open_session() as caller:
        context.caller = '{0}:{1}'.format(*caller.getsockname())
        caller.sendall(b''.join(context.messages_by_name.values()) + b'QUERY t6 READ x\r\n')
        caller.makefile('rb').read()


def _pairs_of(context: Any) -> list[dict[str, str]]:
    lines = [line for line in context.world.output() if f'session={context.caller}' in line]
    return [dict(pair.split('=', 1) for pair in line.split(' ') if '=' in pair) for line in lines]


@then('each line about them names the caller, and the bytes of the message in what the caller sent')
def step_extents(context: Any) -> None:
    sent = b'START db secret\r\n' + b''.join(context.messages_by_name.values())
    found = [
        sent[int(pairs['offset']) : int(pairs['offset']) + int(pairs['size'])]
        for pairs in _pairs_of(context)
        if 'offset' in pairs
    ]
    assert found == list(context.messages_by_name.values()), found


@then('each statement that ran names the connection that the target saw')
def step_connection(context: Any) -> None:
    served = [pairs for pairs in _pairs_of(context) if pairs['event'] == 'served']
    assert [pairs['request'] for pairs in served] == ['t1', 't2'], served
    assert all(context.world.peers_of(pairs['request']) == {pairs['connection']} for pairs in served), served


@when('a caller reads an item after which the target says that a transaction is open, and then another one')
def step_left_open(context: Any) -> None:
    context.connections = context.world.read_in_turn(['first', platform_standin.LEFT_OPEN, 'next'])


@then('the two reads ran on different connections')
def step_different(context: Any) -> None:
    first, left_open, after = context.connections
    assert first == left_open != after, context.connections


@when('a text with {what} is sent in each place that others may have written')
def step_texts(context: Any, what: str) -> None:
    context.sent = asyncio.run(line_ends.send_everywhere(f'x{_BREAKS_BY_NAME[what]}QUERY hidden READ y'))


@then('each connection gets whole messages with the fields that were meant, or nothing')
def step_whole(context: Any) -> None:
    assert len(context.sent) == 7, context.sent
    for place, raw in context.sent.items():
        reading = line_model.read(raw)
        assert not reading.is_broken and not reading.rest, (place, raw[:100])
        assert all(line is not None and line[0] != b'QUERY' for line in reading.lines[1:]), (place, raw[:100])
        assert place == 'detail' or b'hidden' not in raw, (place, raw[:100])
        assert len(reading.lines) == (2 if place == 'detail' else 0), (place, raw[:100])
