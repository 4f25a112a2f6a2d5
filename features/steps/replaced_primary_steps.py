"""Steps in which a primary is replaced, and answers of the former one still come."""

import dataclasses
from typing import Any, Final

from behave import given, then, when

from fescuequay_core.relay.freshness import Sample
from fescuequay_core.relay.model import LeaderRecord, LogPosition, TargetDescription
from fescuequay_core.relay.permits import Permits
from fescuequay_core.types import InstanceId, LeaderState, Role, ServiceId, TargetId, Term
from fescuequay_emulator.scenarios import TRANSACTIONS_KIND, Fault, Scenario
from fescuequay_emulator.world import Plan
from fescuequay_entry.relay.board import Board, InstanceIdentity
from fescuequay_entry.relay.coordinator import Coordinator

_NOW: Final = 100.0

_RECORD: Final = LeaderRecord(ServiceId('s'), Term(1), TargetId('t1'), LeaderState.LEADING, 'found', version=5)


@given('a deployment with transactions open on a primary, while {what}')
def step_open_transactions(context: Any, what: str) -> None:
    how = 'cut' if 'cut off' in what else ''
    context.relay_scenario = Scenario(
        'transactions on a replaced primary',
        Plan(idle_services=1),
        seconds=12,
        per_s=20,
        faults=(Fault(at=2, kind=TRANSACTIONS_KIND, for_s=7, how=how),),
    )


@when('a coordinator that has got a position 0.1 s ago learns of a new primary')
def step_new_primary(context: Any) -> None:
    board = Board(InstanceIdentity(InstanceId('a'), 'a1', 'north', 'a:1'), lambda: _NOW)
    board.samples.record(_RECORD.service, _RECORD.term, Sample(_NOW - 0.1, LogPosition(Term(1), 7)))
    successor = dataclasses.replace(_RECORD, term=Term(2), target=TargetId('t2'), version=7)
    target = TargetDescription(
        successor.target, 1, successor.service, 't2:9', 'north', is_draining=False, role=Role.PRIMARY
    )
    nobody: Any = None
    coordinator = Coordinator(board, nobody, nobody, nobody)
    context.is_asked = [coordinator._needs_probe(record, target) for record in (_RECORD, successor)]


@then('it asks the new primary for its position')
def step_asks(context: Any) -> None:
    assert context.is_asked == [False, True], context.is_asked


@when('a statement was sent {sent:g} s after its permit was confirmed, {case}')
def step_sent(context: Any, sent: float, case: str) -> None:
    permits = Permits()
    permits.confirm([_RECORD], _NOW)
    if 'closed' in case:
        permits.confirm([dataclasses.replace(_RECORD, state=LeaderState.CLOSING, version=6)], _NOW + sent)
    elif 'confirmed later' in case:
        permits.confirm([_RECORD], _NOW + sent + 1)
    context.is_recorded = permits.was_in_force(_RECORD, _NOW + sent)


@then('the position of its answer {counts}')
def step_counts(context: Any, counts: str) -> None:
    assert context.is_recorded is (counts == 'is recorded'), context.is_recorded
