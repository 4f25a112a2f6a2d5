"""Steps that check the journal entries cited by the documentation."""

import json
import pathlib
import re
from collections.abc import Iterator, Mapping
from typing import Any

from behave import given, then

_ROOT = pathlib.Path(__file__).resolve().parents[2]

#: Id of a journal entry: eight hexadecimal digits with at least one letter and one digit.
_ENTRY_ID = re.compile(r'\b(?=[0-9a-f]*[a-f])(?=[0-9a-f]*\d)[0-9a-f]{8}\b')

#: Unfinished entries that were cited before the check existed; the pages call them unfinished on the same line.
_KNOWN_UNFINISHED = frozenset(
    ('7cc00ace', '42d96bef', '05601484', 'e75923ee', '5129ce33', 'be8bbd8c', '754d2d59', 'fa717e02', '12103c99')
)

_FINISHED = {'1a2b3c4d': True, '5e6f7a8b': False}


def _entries() -> dict[str, bool]:
    """:returns: Whether each entry of the journal finished, by its id."""
    paths = (_ROOT / 'journal').glob('*.json')
    return {path.stem.rpartition('-')[2]: json.loads(path.read_text())['ok'] is True for path in paths}


def _faults(page: str, has_finished_by_id: Mapping[str, bool]) -> Iterator[str]:
    """:returns: A sentence for each cited entry that is missing or did not finish."""
    for number, line in enumerate(page.splitlines(), 1):
        for cited in _ENTRY_ID.findall(line):
            is_excepted = cited in _KNOWN_UNFINISHED and 'unfinished' in line
            if not has_finished_by_id.get(cited) and not is_excepted:
                yield f'line {number} cites {cited}, which is missing or did not finish'


@then('each cited entry finished, except those that the page calls unfinished')
def step_cited(context: Any) -> None:
    entries = _entries()
    faults = [
        f'{path.relative_to(_ROOT)}: {fault}'
        for path in sorted((_ROOT / 'docs').rglob('*.md'))
        for fault in _faults(path.read_text(), entries)
    ]
    assert not faults, '\n'.join(faults)


@given('a page that cites an entry that {what}')
def step_page(context: Any, what: str) -> None:
    context.page = {
        'is missing': 'Mean 0.7 (00abcdef).',
        'did not finish': 'Mean 0.7 (5e6f7a8b).',
        'did not finish though the page says unfinished': 'Mean 0.7 (5e6f7a8b, unfinished).',
    }[what]


@then('the check reports the page')
def step_reports(context: Any) -> None:
    assert list(_faults(context.page, _FINISHED)) and not list(_faults('Mean 0.7 (1a2b3c4d).', _FINISHED))
