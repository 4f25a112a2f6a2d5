"""Steps for log lines."""

import logging
from typing import Any, Final

from behave import then, when
from hypothesis import example, settings
from hypothesis import given as for_all
from hypothesis import strategies as st

from features import log_lines
from fescuequay_entry import logs
from lab import losses

#: Texts of the feature file, by their names.
_TEXTS_BY_NAME: Final = {
    'a line feed': '\n',
    'a carriage return': '\r',
    'a vertical tab': '\v',
    'a form feed': '\f',
    'a file separator': '\x1c',
    'a group separator': '\x1d',
    'a record separator': '\x1e',
    'a next line': '\x85',
    'a line separator': '\u2028',
    'a paragraph separator': '\u2029',
    'a no-break space': '\xa0',
    'a NUL': '\0',
    'an escape': '\x1b[2K',
    'half a character': '\udcff',
    'a quote': '"',
    'a backslash': '\\',
}

_MIB: Final = 1024 * 1024

_KEYS: Final = ('time', 'level', 'event')


def _line_of(event: str, **pairs: object) -> str:
    record = logging.LogRecord('x', logging.INFO, '', 0, event, None, None)
    record.pairs = pairs
    return logs.KeyValueFormatter().format(record)


@then("hypothesis finds no texts that a reader of log lines doesn't read back as they were")
def step_read_back(context: Any) -> None:
    texts = st.text(st.characters(exclude_categories=()), max_size=40) | st.sampled_from(list(_TEXTS_BY_NAME.values()))

    @settings(max_examples=1000, deadline=None, derandomize=True)
    @for_all(texts, texts)
    @example('x" level=error event=forged y="', '\\')
    @example('"x"+3', 'x"+3')
    @example('\\udcff', '\udcff')
    def check(first: str, second: str) -> None:
        line = _line_of(first, detail=second, last=1.5)
        raw = line.encode('utf-8', 'strict').decode()
        read = list(log_lines.pairs_of(raw))[2:]
        assert read == [('event', first, 0), ('detail', second, 0), ('last', '1.5', 0)], (line, read)
        assert raw.splitlines() == [raw], raw

    check()


@when('an event is logged with a text that has {what} before other pairs')
def step_odd(context: Any, what: str) -> None:
    context.text = f'x{_TEXTS_BY_NAME[what]}level=error event=forged'
    context.line = _line_of('seen', detail=context.text, last='z')


@then('it is one line of five pairs, for each way of splitting a text into lines')
def step_one_line(context: Any) -> None:
    assert context.line.splitlines() == [context.line], context.line
    assert [key for key, _, _ in log_lines.pairs_of(context.line)] == [*_KEYS, 'detail', 'last'], context.line
    assert context.line.isprintable(), context.line


@when('an event is logged with a request id of 1 MiB')
def step_long(context: Any) -> None:
    context.lines = [_line_of('served', request=one * (_MIB // len(one)), ms=1) for one in ('x', 'x y ')]


@then('its line has at most {most:d} characters, and says how many were cut off')
def step_cut(context: Any, most: int) -> None:
    for line in context.lines:
        assert len(line) <= most, len(line)
        (content, cut) = next((content, cut) for key, content, cut in log_lines.pairs_of(line) if key == 'request')
        assert len(content) + cut == _MIB and content, (len(content), cut)


@when('an event is logged with ordinary values')
def step_ordinary(context: Any) -> None:
    escaped = []
    escape = logs.escape

    def count(text: str) -> str:
        escaped.append(text)
        return escape(text)

    logs.escape = count
    try:
        _line_of('served', request='5c0e7a21d94b36f8', session='10.0.0.1:50123', offset=17, ms=1.5, leader_term='-')
    finally:
        logs.escape = escape
    context.escaped = escaped


@then('none of them was looked at character by character')
def step_none_escaped(context: Any) -> None:
    assert not context.escaped, context.escaped


@when('the losses are read from a line whose detail has a quote and another reason')
def step_losses(context: Any) -> None:
    line = _line_of('refused', reason='no_primary', detail='x" reason=forged y="')
    (context.parsed,) = losses.parse([line])


@then('the reason of the line is the one that was logged')
def step_reason(context: Any) -> None:
    assert context.parsed.pairs['reason'] == 'no_primary', context.parsed
