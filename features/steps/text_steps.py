"""Steps about the operators' configuration text and their command line."""

import pathlib
import re
import tempfile
from collections.abc import Callable
from typing import Any

from behave import then, when
from click.testing import CliRunner

from features import builders
from fescuequay_core import jsonc, textcheck
from fescuequay_ctl.cmdline import main


def _group(plain: Any) -> Any:
    return plain['services']['db']['groups']['g1']


def _set(path: str, value: Any) -> Callable[[Any], None]:
    def edit(plain: Any) -> None:
        *parents, last = path.split('/')
        for name in parents:
            plain = plain[name]
        plain[last] = value

    return edit


def _add_second_group(plain: Any) -> None:
    targets = {'g1-1': {**_group(plain)['targets']['g1-1'], 'address': '127.0.0.1:9999'}}
    plain['services']['db']['groups']['g2'] = {'primary': 'g1-1', 'targets': targets}


def _add_dependency_cycle(plain: Any) -> None:
    plain['services']['db']['depends_on'] = ['cards']
    plain['services']['cards'] = {'access': 'open', 'depends_on': ['db']}


def _add_keyed_dependency(plain: Any) -> None:
    plain['services']['db']['depends_on'] = ['cards']
    plain['services']['cards'] = {}


def _remove_burst(plain: Any) -> None:
    plain['organisations']['acme'].pop('burst')


def _capitalise_name(plain: Any) -> None:
    plain['organisations']['ACME'] = plain['organisations'].pop('acme')


_TARGETS = 'services/db/groups/g1/targets'
_BOLT = builders.organisation('bolt', 'g1')['keys']['main']['sha256']
_ACME = builders.organisation('acme', 'g1')['keys']['main']['sha256']

_EDITS: dict[str, Callable[[Any], None]] = {
    'an unknown field': _set('services/db/colour', 'red'),
    'a missing field': _remove_burst,
    'a rate of zero': _set('organisations/acme/rate_per_s', 0),
    'a name in capitals': _capitalise_name,
    'a route to an unknown service': _set('routes/orders/service', 'nowhere'),
    'services that depend on each other': _add_dependency_cycle,
    'a dependency on an unknown service': _set('services/db/depends_on', ['nothing']),
    'a target in an unknown data centre': _set(f'{_TARGETS}/g1-1/data_centre', 'dc-x'),
    'an address that is not an IP address': _set(f'{_TARGETS}/g1-1/address', 'db.example:5432'),
    'an address used twice': _set(f'{_TARGETS}/g1-2/address', '127.0.0.1:6010'),
    'a target id used twice': _add_second_group,
    'more slots than connections': _set(f'{_TARGETS}/g1-1/slots', 50),
    'a primary that is not a member': _set('services/db/groups/g1/primary', 'g9-9'),
    'a primary that is draining': _set(f'{_TARGETS}/g1-1/draining', value=True),
    'an open route without organisation': _set('routes/public', {'service': 'db', 'access': 'open'}),
    'an open route to a keyed service': _set('services/db/access', 'keyed'),
    'an open route to a keyed dependency': _add_keyed_dependency,
    'a key used by two organisations': _set('organisations/bolt/keys/main/sha256', _ACME),
    'an invalid digest': _set('organisations/acme/keys/main/sha256', _BOLT[:-1]),
    'a key for an unknown route': _set('organisations/acme/keys/main/routes', ['nowhere']),
    'an organisation in an unknown group': _set('organisations/acme/groups/db', 'g7'),
}


@when('a text has {fault}')
def step_fault(context: Any, fault: str) -> None:
    plain = builders.plain_text()
    edits = list(_EDITS.values())[4:9:2] if fault == '3 faults' else [_EDITS[fault]]
    for edit in edits:
        edit(plain)
    context.raw = b'// A comment moves every line.\n' + builders.raw_text(plain)
    text, context.faults = textcheck.load(context.raw)
    assert text is None


@then('it is refused at "{path}" because "{message}"')
def step_refused_at(context: Any, path: str, message: str) -> None:
    found = [fault for fault in context.faults if fault.path == path and message in fault.message]
    assert found, context.faults
    context.fault = found[0]


@then('the line of the fault is the line of "{path}"')
def step_line(context: Any, path: str) -> None:
    lines = jsonc.lines_by_path(context.raw.decode())
    assert context.fault.line == lines[path], (context.fault, lines[path])
    written = context.raw.decode().splitlines()[context.fault.line - 1]
    assert f'"{path.rsplit(".", 1)[-1]}"' in written, written


@then('{count:d} faults are reported in the order of their lines')
def step_count(context: Any, count: int) -> None:
    assert len(context.faults) == count, context.faults
    assert [fault.line for fault in context.faults] == sorted(fault.line for fault in context.faults)


_FILES: dict[str, bytes] = {
    'nothing': b'',
    'binary noise': bytes(range(256)) * 50,
    '10 MB of spaces': b' ' * 10_000_000,
    '100000 open brackets': b'[' * 100_000,
    'a duplicate key': b'{"fleet": "a",\n "fleet": "b"}',
    'an unterminated comment': b'{"fleet": "a" /* and so on',
    'an example': pathlib.Path('examples/husky.jsonc').read_bytes(),
}


@when('fescuequayctl validates a file of {what}')
def step_validate(context: Any, what: str) -> None:
    with tempfile.NamedTemporaryFile(suffix='.jsonc') as file:
        pathlib.Path(file.name).write_bytes(_FILES[what])
        context.file = file.name
        context.result = CliRunner().invoke(main, ['validate', file.name])


@then('it exits with {code:d} and prints FILE:LINE and a sentence, and no traceback')
def step_exit(context: Any, code: int) -> None:
    result = context.result
    assert result.exit_code == code, (result.exit_code, result.output)
    assert result.exception is None or isinstance(result.exception, SystemExit), result.exception
    pattern = rf'{re.escape(context.file)}:\d+: \S+: \w+' if code else 'usable'
    assert re.search(pattern, result.output), result.output


@then('each of these commands exits and prints as listed')
def step_commands(context: Any) -> None:
    world = context.world
    plain = world.fleet.plain
    with tempfile.TemporaryDirectory() as folder:
        edited, broken = pathlib.Path(folder) / 'edited.jsonc', pathlib.Path(folder) / 'broken.jsonc'
        plain['organisations']['acme']['rate_per_s'] = 77
        edited.write_bytes(builders.raw_text(plain))
        broken.write_bytes(builders.raw_text({**plain, 'routes': {'x': {'service': 'nowhere'}}}))
        for row in context.table:
            command = row['command'].replace('EDITED', str(edited)).replace('BROKEN', str(broken))
            arguments = ['--platform', world.fleet.platform_address, *command.split()]
            result = CliRunner().invoke(main, arguments)
            assert result.exit_code == int(row['code']), (command, result.exit_code, result.output)
            assert row['prints'] in result.output, (command, result.output)
