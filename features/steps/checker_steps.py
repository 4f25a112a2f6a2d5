"""Steps that test the history checker itself."""

from typing import Any

from behave import then, when

from features.checker import Grant, History, Limit, Read, Write, violations
from fescuequay_core.types import Verdict

_HISTORIES = {
    'an acknowledged write is lost': History(writes=(Write('a', is_acked=True),)),
    'a write ran and was refused as not run': History(
        writes=(Write('a', verdict=Verdict.NOT_RUN),), log=('a',), runs=('a',)
    ),
    'a write is in the log twice': History(log=('a', 'a')),
    'a write ran twice': History(log=('a',), runs=('a', 'a')),
    'a session misses its own write': History(reads=(Read(frozenset('b'), frozenset('a')),)),
    'an organisation gets one too many': History(
        grants=(Grant(0, 'acme'), Grant(0, 'acme'), Grant(1, 'acme'), Grant(1, 'acme')),
        limits={'acme': Limit(1, 2)},
    ),
    'an instance reverts to an older text': History(versions={'i1': (1, 2, 1)}),
    'nothing is wrong': History(
        writes=(
            Write('a', is_acked=True),
            Write('b', verdict=Verdict.NOT_RUN),
            Write('c', verdict=Verdict.MAY_HAVE_RUN),
        ),
        log=('a', 'c'),
        runs=('a', 'c'),
        reads=(Read(frozenset('ac'), frozenset('a')),),
        grants=(Grant(0, 'acme'), Grant(0, 'acme'), Grant(1, 'acme')),
        limits={'acme': Limit(1, 2)},
        versions={'i1': (1, 2, 3)},
    ),
}


@when('the checker examines a history in which {name}')
def step_check_history(context: Any, name: str) -> None:
    context.found = list(violations(_HISTORIES[name]))


@then('it reports "{violation}"')
def step_reports(context: Any, violation: str) -> None:
    expected = [] if violation == 'nothing' else [violation]
    assert context.found == expected, context.found
