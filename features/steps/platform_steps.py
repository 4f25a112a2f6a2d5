"""Steps that test the platform's adapters."""

import contextlib
import json
import logging
import os
import pathlib
import re
import subprocess
import sys
from typing import Any

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from features import odd_entries, relay_processes
from fescuequay_entry import logs
from fescuequay_platform import rows, statements
from fescuequay_platform.codec import LineDecoder, Message, WireError

_ROOT = pathlib.Path(__file__).resolve().parents[2]

#: Names of the platform's calls, codes and fields, which only its adapters may use.
_PLATFORM_NAMES = re.compile(
    r'rows-tx|rows-get|rows-feed|blob-(put|get)|X-Fencing-Token|X-Lease-Holder|MISDIRECT|TOOMANY|NOSTMT|NOAUTH|NODB|'
    r'cold_remaining_ms|tx_idle_ms|max_staleness_ms|target_latency_ms|sync_replicas|db_role|route_type|api_keys'
)

_VALID_ENTRY = {
    'service': 's',
    'address': '10.0.0.1:9',
    'zone': 'z',
    'state': 'ready',
    'db_role': 'replica',
    'born': 1,
    'seq': 4,
}


def _split(raw: bytes, cuts: list[int]) -> list[Any]:
    decoder = LineDecoder()
    found: list[Any] = []
    places = sorted({min(cut, len(raw)) for cut in cuts} | {0, len(raw)})
    for start, end in zip(places, places[1:], strict=False):
        found.extend(decoder.feed(raw[start:end]))
    return [item if isinstance(item, Message) else str(item) for item in found]


@then('hypothesis finds no split of line-protocol bytes that changes the messages')
def step_split(context: Any) -> None:
    line = st.one_of(
        st.binary(max_size=40),
        st.sampled_from([b'QUERY a READ 1', b'START x k y z', b'BYE', b'ROW  two  blanks ', b'DONE -']),
    )

    @settings(max_examples=300, deadline=None, derandomize=True)
    @for_all(st.lists(line, max_size=6), st.lists(st.integers(0, 300), max_size=8))
    def check(lines: list[bytes], cuts: list[int]) -> None:
        raw = b''.join(part + b'\r\n' for part in lines)
        assert _split(raw, cuts) == _split(raw, [])

    check()


@then('hypothesis finds no bytes that the line decoder turns into anything else')
def step_arbitrary_bytes(context: Any) -> None:
    @settings(max_examples=500, deadline=None, derandomize=True)
    @for_all(st.binary(max_size=400))
    def check(raw: bytes) -> None:
        for item in LineDecoder().feed(raw):
            assert isinstance(item, Message | WireError)
            if isinstance(item, Message):
                assert item.encode().endswith(b'\r\n')

    check()


@when('{count:d} bytes without a line end are fed to the decoder')
def step_long(context: Any, count: int) -> None:
    context.found = list(LineDecoder().feed(b'x' * count))


@then('the decoder reports that the message is too long, and that nothing after it can be decoded')
def step_too_long(context: Any) -> None:
    (error,) = context.found
    assert isinstance(error, WireError) and error.is_fatal and '1048576' in str(error), error


@when('the statement text "{text}" is parsed')
def step_statement(context: Any, text: str) -> None:
    try:
        statement = statements.parse_statement(text)
    except ValueError:
        context.parsed = 'unknown'
        return
    kind = statement.kind.value
    article = 'an' if kind[0] in 'aeiou' else 'a'
    context.parsed = f'{article} {kind} that {"writes" if statement.is_write else "does not write"}'
    assert statement.text == text


@then('the statement is {result}')
def step_parsed(context: Any, result: str) -> None:
    assert context.parsed == result, context.parsed


@when('a target answers with the error code {code}')
def step_code(context: Any, code: str) -> None:
    context.refusal = statements.parse_error(code, 'why')


@then('the verdict is {verdict} and the caller is told {told}')
def step_verdict(context: Any, verdict: str, told: str) -> None:
    assert context.refusal.reason.verdict.value == verdict
    assert statements.format_error_code(context.refusal) == told


@when('a registry entry has {fault}')
def step_entry(context: Any, fault: str) -> None:
    assert rows.decode_target('i-1', json.dumps(_VALID_ENTRY).encode()) is not None
    changes = {
        'no service': {'service': None},
        'an unknown state': {'state': 'resting'},
        'an unknown role': {'db_role': 'witness'},
        'a number as address': {'address': 9},
        'unreadable bytes': None,
    }[fault]
    raw = b'\xff{' if changes is None else json.dumps({**_VALID_ENTRY, **changes}).encode()
    context.target = rows.decode_target('i-1', raw)


@then('it is not decoded as a target')
def step_no_target(context: Any) -> None:
    assert context.target is None


@when('a configuration has one valid route and one whose timeout is a string')
def step_configuration(context: Any) -> None:
    valid = {'name': 'r', 'host': 'db', 'route_type': 'primary', 'service': 's', 'timeout_ms': 900}
    plain = {
        'version': 7,
        'routes': [{**valid, 'name': 'bad', 'host': 'other', 'timeout_ms': 'soon'}, valid],
        'services': [{'name': 's', 'max_conns': 9}],
        'tenants': [{'name': 't', 'api_keys': ['k'], 'rate_per_s': 5, 'burst': 6}],
        'limits': {'tx_idle_ms': 2500},
    }
    context.configuration = rows.decode_configuration('config', json.dumps(plain).encode())


@then('the valid route and its organisation are in force')
def step_in_force(context: Any) -> None:
    configuration = context.configuration
    assert list(configuration.routes_by_database) == ['db']
    assert configuration.organisation_ids_by_credential == {'k': 't'}
    assert configuration.idle_transaction_s == 2.5 and configuration.version == 7


@then('no module outside platform/ names a call, code or field of the platform')
def step_names(context: Any) -> None:
    uses = [
        f'{path.relative_to(_ROOT)}: {match.group()}'
        for path in sorted((_ROOT / 'packages').rglob('*.py'))
        for match in _PLATFORM_NAMES.finditer(path.read_text('utf-8'))
    ]
    assert not uses, uses


@when('{count:d} lines are logged to a pipe that nobody reads')
def step_log(context: Any, count: int) -> None:
    reader, writer = os.pipe()
    handler = logs.NonBlockingHandler(writer)
    handler.setFormatter(logs.KeyValueFormatter())
    record = logging.LogRecord('x', logging.INFO, '', 0, 'served', None, None)
    for _ in range(count):
        handler.emit(record)
    context.dropped = handler.dropped
    raw = b''
    os.set_blocking(reader, False)
    for _ in range(8):
        with contextlib.suppress(BlockingIOError):
            raw += os.read(reader, 1 << 20)
        handler.emit(record)
    context.raw = raw
    os.close(reader)
    os.close(writer)


@then('no line blocked, and the first line that fits again tells how many were dropped')
def step_dropped(context: Any) -> None:
    assert context.dropped > 0
    lines = context.raw.decode().splitlines()
    (notice,) = [line for line in lines if 'log_lines_dropped' in line]
    assert f'count={context.dropped}' in notice, (notice, context.dropped)
    assert all(line.startswith(('time=', 'level=')) for line in lines), 'a line was truncated'


@given("a real instance with the platform's adapters and stand-ins for the platform and its database")
def step_deployment(context: Any) -> None:
    context.world = relay_processes.Deployment()
    context.world.start()


@given('a real instance in whose store another writer has left odd entries')
def step_odd_store(context: Any) -> None:
    context.world = relay_processes.Deployment()
    context.world.add_odd_entries()
    context.world.start()


@then('the instance still runs, and has logged each odd entry once as it came')
def step_odd_logged(context: Any) -> None:
    assert context.world.is_running()
    lines = [line for line in context.world.output() if 'event=bad_registry_entry' in line]
    keys = [line.partition('key=')[2].split()[0] for line in lines]
    count = len(odd_entries.ENTRIES_BY_NAME)
    expected = [f'{kind}-{number}' for kind in ('odd', 'late') for number in range(count)]
    assert sorted(keys) == sorted(expected), (keys, expected)
    assert max(map(len, context.world.output())) <= 500, max(context.world.output(), key=len)


@when('callers write, read, and send malformed lines, an unknown database and an unknown key')
def step_callers(context: Any) -> None:
    context.answers = context.world.query()


@when('every malformed message is sent to each of its listeners')
def step_malformed(context: Any) -> None:
    context.lines_before = len(context.world.output())
    context.sent = 0
    for listener in ('peers', 'readiness', 'callers'):
        for raw in relay_processes.MALFORMED_MESSAGES:
            context.world.send_raw(listener, raw)
            context.sent += 1


@then('it has logged whole lines of at most {most:d} characters, at most one error or warning for each message')
def step_bounded(context: Any, most: int) -> None:
    lines = context.world.output()[context.lines_before :]
    assert all(line.startswith('time=') and len(line) <= most for line in lines), lines
    problems = [line for line in lines if 'level=error' in line or 'level=warning' in line or 'bad_' in line]
    assert len(problems) <= context.sent, (len(problems), context.sent)


@then('a message with a negative count was refused')
def step_negative(context: Any) -> None:
    refused = [line for line in context.world.output() if 'event=bad_peer_message' in line and '>= 0' in line]
    assert len(refused) == 1, refused


@then('each gets its exact answer and the other sessions continue')
def step_exact_answers(context: Any) -> None:
    answers = context.answers
    assert answers['write'][0].startswith('DONE i-') and answers['write'][1].startswith('READY I 1.'), answers
    assert answers['read'][0] == 'ROW v1' and answers['read'][1].startswith('DONE i-'), answers
    assert answers['malformed'][0].startswith('ERROR MALFORMED'), answers
    assert answers['no cr'][0].startswith('ERROR MALFORMED'), answers
    assert answers['unknown statement'][0].startswith('ERROR NOSTMT'), answers
    assert answers['unknown database'] == ['ERROR NODB there is no such database'], answers
    assert answers['unknown key'][0].startswith('ERROR NOAUTH'), answers
    assert answers['after'][0] == 'ROW v1', answers


@then('the instance stops on SIGTERM within its grace period with exit code 0')
def step_stops(context: Any) -> None:
    assert context.world.stop() == 0


#: Runs the deployed program as its process does, and prints how many certificates all its TLS contexts hold.
_COUNT_CERTIFICATES = """
import gc, runpy, ssl, sys
sys.argv = ['fescuequayd.py', '--help']
try:
    runpy.run_path('deploy/fescuequayd.py', run_name='__main__')
except SystemExit:
    contexts = [one for one in gc.get_objects() if isinstance(one, ssl.SSLContext)]
    print('certificates', sum(context.cert_store_stats()['x509'] for context in contexts))
"""


@when('the deployed program checks its settings')
def step_deployed(context: Any) -> None:
    done = subprocess.run(
        [sys.executable, '-c', _COUNT_CERTIFICATES], cwd=_ROOT, capture_output=True, text=True, check=True
    )
    context.printed = done.stdout


@then('it has loaded {count:d} certificates')
def step_certificates(context: Any, count: int) -> None:
    assert f'certificates {count}\n' in context.printed, context.printed
