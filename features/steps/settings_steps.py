"""Steps for settings files."""

import json
import pathlib
import tempfile
from typing import Any, Final

from behave import then, when

from fescuequay_entry import config
from fescuequay_entry.relay import settings as relay_settings

_HEADER: Final = 'n0\r\nX-Fencing-Token: 9'

_VALUES_BY_NAME: Final = {
    'a name with a header in it': _HEADER,
    'a name with a line feed': 'n0\n',
    'a name with a NUL': 'n0\0',
    'a name with a blank': 'n 0',
    'a name with a next line': 'n0\x85x',
    'an empty name': '',
    'a name of 300 characters': 'n' * 300,
    'an address with a line feed': '127.0.0.1:80\n',
    'an address with other digits': '127.0.0.1:\u00b2',
    'a base with a header in it': f'http://{_HEADER}',
}

_RELAYING: Final = {
    'instance': 'n0',
    'data_centre': 'd-1',
    'host': '127.0.0.1',
    'callers': '127.0.0.1:1',
    'readiness': '127.0.0.1:2',
    'peer_ports': [3, 4],
    'store': '127.0.0.1:5',
    'promoter': '127.0.0.1:6',
}

_ENTRY: Final = {'instance': 'n0', 'data_centre': 'd-1', 'platform': 'http://127.0.0.1:7', 'secrets': ['5e' * 16]}

_KINDS: Final = {
    'a relaying': (_RELAYING, relay_settings.load, relay_settings.SettingsError),
    'an entry': (_ENTRY, config.load, config.SettingsError),
}


@when('the settings of {kind} instance have nothing odd')
def step_sound(context: Any, kind: str) -> None:
    _load(context, kind, {})


@when('the settings of {kind} instance have {value} for {setting}')
def step_odd(context: Any, kind: str, value: str, setting: str) -> None:
    text = _VALUES_BY_NAME[value]
    _load(context, kind, {setting: text.removesuffix(':80\n') + '\n' if setting == 'host' and text else text})


def _load(context: Any, kind: str, odd: dict[str, str]) -> None:
    plain, load, refused = _KINDS[kind]
    settings = {**plain, **odd}
    context.line = 2 + list(settings).index(next(iter(odd), 'instance'))
    with tempfile.NamedTemporaryFile('w', suffix='.jsonc') as file:
        file.write(json.dumps(settings, indent=1))
        file.flush()
        context.path, context.error = file.name, None
        try:
            context.loaded = load(pathlib.Path(file.name))
        except refused as error:
            context.error = str(error)


@then('they are refused in one line that names the file, the line and {setting}')
def step_refused_at(context: Any, setting: str) -> None:
    step_refused(context, setting)
    assert context.error.startswith(f'{context.path}:{context.line}: {setting}: '), context.error


@then('they are refused in one line that names the file and {setting}')
def step_refused(context: Any, setting: str) -> None:
    assert context.error is not None, context.loaded
    assert context.error.startswith(context.path) and setting in context.error, context.error
    assert context.error.isprintable(), context.error


@then('they are usable')
def step_usable(context: Any) -> None:
    assert context.error is None, context.error
