"""Steps that run a cluster of cores in virtual time."""

from typing import Any

from behave import given, then, when

from features import builders, faults
from features.cluster import Cluster
from features.checker import violations
from features.load import Callers
from fescuequay_core.types import Verdict


@given('{count:d} instances in virtual time with acknowledgement at the "{where}"')
def step_cluster(context: Any, count: int, where: str) -> None:
    context.cluster = Cluster(builders.plain_text(acknowledge=where))
    for number in range(count):
        # Clock rates differ by up to 90% of the drift that the settings allow.
        drift = (number % 3 - 1) * context.cluster.timing.drift * 0.9 / 2
        context.cluster.add(f'n{number}', builders.DATA_CENTRES[number % 4], drift)
    context.cluster.run(4)


@given('{count:d} sessions that write and read at any instance')
def step_sessions(context: Any, count: int) -> None:
    context.callers = Callers(context.cluster, count, 0.05)


@when('{seconds:g} s later {fault}')
def step_fault(context: Any, seconds: float, fault: str) -> None:
    context.cluster.run(seconds)
    context.fault_at = context.cluster.now()
    faults.FAULTS[fault](context.cluster)


@when('{seconds:g} s pass')
def step_pass(context: Any, seconds: float) -> None:
    context.cluster.run(seconds)


@when('all faults end and the callers finish')
def step_faults_end(context: Any) -> None:
    context.healed_at = context.cluster.now()
    faults.heal(context.cluster)
    context.cluster.run(4)
    context.callers.is_on = False
    context.cluster.run(6)


@then('the checker finds no violation')
def step_no_violation(context: Any) -> None:
    found = list(violations(context.callers.history()))
    assert not found, found


@then('the longest gap between writes is at most {bound:g} s')
def step_gap(context: Any, bound: float) -> None:
    gap = context.callers.longest_gap(context.fault_at)
    assert gap <= bound, f'{gap:.2f} s'


@then('nothing was acknowledged by a replaced primary')
def step_replaced(context: Any) -> None:
    """A write that the primary alone acknowledged may be lost with it, but not if it had been replaced by then."""
    record = context.cluster.platform.record
    starts = {start.term: start.position for start in record.leaders['g1'].starts}
    announced_at = {}
    for at, _, incident in context.cluster.incidents:
        details = dict(incident.details)
        if incident.name == 'leader_changed' and details['state'] == 'leading':
            announced_at.setdefault(int(details['term']), at)
    log = set(context.callers.history().log)
    for session in context.callers.sessions:
        for request, name, _ in session.writes:
            found = context.cluster.answers.get(request)
            if found is None or found[1].refusal is not None:
                continue
            replaced_at = min((at for term, at in announced_at.items() if term > found[1].term), default=float('inf'))
            assert found[0] <= replaced_at or name in log, (name, found[0], replaced_at, starts)
    refused = [write for write in context.callers.history().writes if write.verdict is Verdict.NOT_RUN]
    runs = set(context.callers.history().runs)
    assert not [write for write in refused if write.name in runs and not write.is_idempotent]
