"""Steps about configuration texts, keys, targets and instances, in virtual time."""

import copy
from collections.abc import Callable
from typing import Any

from behave import given, then, when

from features import builders, faults
from features.cluster import Cluster, Node
from features.load import versions
from fescuequay_core import events, keys, tokens, verdicts
from fescuequay_core.config import Group, Target
from fescuequay_core.textcheck import load
from fescuequay_core.messages import Heartbeat
from fescuequay_core.seats import connection_share, data_centre_of, hosts_of, seats_of
from fescuequay_core.tokens import Session
from fescuequay_core.types import DataCentreId, GroupId, RequestKind, Role, RouteId, TargetId, TransactionId, Verdict


def _apply_edited(context: Any, edit: Callable[[Any], None]) -> None:
    cluster = context.cluster
    plain = copy.deepcopy(cluster.plain)
    edit(plain)
    assert load(builders.raw_text(plain))[0] is not None
    cluster.apply(plain)
    cluster.plain = plain
    context.changed_at = cluster.now()


def _partition_from_platform(cluster: Cluster) -> None:
    cluster.platform.cut = {'dc-a'}


def _partition_fully(cluster: Cluster) -> None:
    cluster.platform.cut = {'dc-a'}
    cluster.peer_cuts = {frozenset(('dc-a', other)) for other in builders.DATA_CENTRES[1:]}


def _pause_two(cluster: Cluster) -> None:
    for name in ('n1', 'n2'):
        cluster.nodes[name].is_paused = True
        cluster.after(3.0, cluster.nodes[name].resume)


def _slow_down_platform(cluster: Cluster) -> None:
    cluster.platform.delay_s = 0.4


def _lose_answers(cluster: Cluster) -> None:
    cluster.platform.lose_answers = 5


def _deliver_old_record(cluster: Cluster) -> None:
    old = cluster.nodes['n1'].core.board.record
    heartbeat = Heartbeat('n1', 'dc-b', 'n1', old.version, 0.0, record=old)  # type: ignore[arg-type]
    for delay_s in (1.0, 2.0, 3.0):
        for node in cluster.nodes.values():
            cluster.after(delay_s, lambda node=node: node.post(events.PeerMessageReceived(heartbeat, node.now())))


def _start_two(cluster: Cluster) -> None:
    cluster.add('n8', 'dc-a')
    cluster.add('n9', 'dc-d')


_FAULTS: dict[str, Callable[[Cluster], Any]] = {
    'nothing else happens': lambda cluster: None,
    'nothing fails': lambda cluster: None,
    'the platform takes 0.4 s for each answer': _slow_down_platform,
    'one data centre is cut off from the platform': _partition_from_platform,
    'one data centre is cut off from everything': _partition_fully,
    'answers of the platform are lost': _lose_answers,
    'an old record arrives late from a peer': _deliver_old_record,
    'two instances start at that moment': _start_two,
    'instances are paused for 3 s': _pause_two,
    'the primary crashes': faults.crash_primary,
}


@when('a limit is changed while {fault}')
def step_limit_changed(context: Any, fault: str) -> None:
    _FAULTS[fault](context.cluster)
    _apply_edited(context, lambda plain: plain['organisations']['acme'].update(rate_per_s=50))
    context.cluster.run(4)


@then('every live instance has the new text within 4 s')
def step_has_text(context: Any) -> None:
    numbers = {name: node.core.board.text_number for name, node in context.cluster.nodes.items()}
    assert set(numbers.values()) == {2}, numbers


@then('no instance reverts to an earlier text')
def step_no_revert(context: Any) -> None:
    context.cluster.run(4)
    for node, numbers in versions(context.cluster).items():
        assert list(numbers) == sorted(set(numbers)), (node, numbers)
    step_has_text(context)


@when('"{data_centre}" is cut off from the platform for 2 s')
def step_cut(context: Any, data_centre: str) -> None:
    context.cluster.platform.cut = {data_centre}
    context.cluster.run(2)


@when('a new instance starts in "{data_centre}" and knows one peer')
def step_new_instance(context: Any, data_centre: str) -> None:
    node: Node = context.cluster.add('n8', data_centre)
    # The new instance cannot read the list of members from the platform; a peer that knows it contacts it.
    peer = next(other for other in context.cluster.nodes.values() if other.data_centre == data_centre)
    member = events.Member('n8', data_centre, 'n8')  # type: ignore[arg-type]
    peer.core.board.members_by_id[member.instance] = member
    assert node.core.board.text is None


@then('the new instance has the text in force')
def step_new_has_text(context: Any) -> None:
    assert context.cluster.nodes['n8'].core.board.text_number == 1


@given('keys are trusted for 4 s without a confirmation')
def step_grace(context: Any) -> None:
    _apply_edited(context, lambda plain: [route.update(key_grace_s=4) for name, route in plain['routes'].items()])
    context.cluster.run(3)


@when('the key of "{organisation}" is withdrawn while {fault}')
def step_withdraw_while(context: Any, organisation: str, fault: str) -> None:
    _FAULTS[fault](context.cluster)
    step_withdraw(context, organisation)
    context.cluster.run(4)


@when('the key of "{organisation}" is withdrawn')
def step_withdraw(context: Any, organisation: str) -> None:
    _apply_edited(context, lambda plain: plain['organisations'][organisation].update(keys={}))


def _ask_everywhere(context: Any, organisation: str) -> dict[str, Any]:
    cluster: Cluster = context.cluster
    digest = keys.digest_of(builders.key_of(organisation))
    names = {node: cluster.read(node, key_digest=digest, route=RouteId(builders.READS)) for node in cluster.nodes}
    cluster.run(2)
    return {node: cluster.answers[name][1].refusal for node, name in names.items()}


@then('4 s later every request with that key is refused at every instance')
def step_all_refused(context: Any) -> None:
    refusals = _ask_everywhere(context, 'acme')
    codes = {node: refusal.reason.code if refusal else 'served' for node, refusal in refusals.items()}
    assert set(codes.values()) <= {'key_unknown', 'view_stale'}, codes


@then('requests with the key of "{organisation}" are served where {where}')
def step_others_served(context: Any, organisation: str, where: str) -> None:
    refusals = _ask_everywhere(context, organisation)
    for name, refusal in refusals.items():
        is_partitioned = 'connected' in where and context.cluster.nodes[name].data_centre == 'dc-a'
        assert (refusal is not None) == is_partitioned, (name, refusal)


@when('the primary crashes and a write of "acme" waits for the new primary')
def step_waiting_write(context: Any) -> None:
    faults.crash_primary(context.cluster)
    context.cluster.run(0.7)
    context.waiting = context.cluster.write('n3')
    context.cluster.run(0.01)
    assert context.waiting not in context.cluster.answers


@then('the waiting write is refused with "{reason}" and has not run')
def step_waiting_refused(context: Any, reason: str) -> None:
    context.cluster.run(6)
    refusal = context.cluster.answers[context.waiting][1].refusal
    assert refusal is not None and refusal.reason.code == reason, refusal
    assert refusal.verdict is Verdict.NOT_RUN
    assert context.waiting not in {request for request, _ in context.cluster.runs}


def _invalid_request(context: Any, what: str) -> dict[str, Any]:
    forged = tokens.encode(Session('acme'), b'another secret of 32 bytes ...')  # type: ignore[arg-type]
    foreign = tokens.encode(Session('bolt'), builders.SECRET)  # type: ignore[arg-type]
    plain: dict[str, dict[str, Any]] = {
        'no key': {'key_digest': None},
        'an unknown key': {'key_digest': keys.digest_of('fq_nobody')},
        'a key for another route': {'key_digest': keys.digest_of('fq_narrow')},
        'the session of another organisation': {'token': foreign},
        'a forged session': {'token': forged},
        'a write on a read-only route': {'route': RouteId(builders.READS)},
        'a route that does not exist': {'route': RouteId('nowhere')},
        'a transaction of another organisation': {
            'kind': RequestKind.IN_TRANSACTION,
            'transaction': getattr(context, 'transaction', None),
            'key_digest': keys.digest_of(builders.key_of('bolt')),
        },
    }
    return plain[what]


@when('a request comes with {what}')
def step_invalid_request(context: Any, what: str) -> None:
    cluster: Cluster = context.cluster
    digest = keys.digest_of('fq_narrow')
    _apply_edited(
        context,
        lambda plain: plain['organisations']['acme']['keys'].update(
            narrow={'sha256': digest, 'routes': [builders.READS]}
        ),
    )
    cluster.run(3)
    if 'transaction' in what:
        begun = cluster.send('n0', kind=RequestKind.BEGIN, statements=())
        cluster.run(1)
        context.transaction = TransactionId(str(cluster.answers[begun][1].transaction))
    context.runs_before = len(cluster.runs)
    context.invalid = cluster.send('n0', **_invalid_request(context, what))
    cluster.run(1)


@then('nothing ran')
def step_nothing_ran(context: Any) -> None:
    assert len(context.cluster.runs) == context.runs_before
    assert context.cluster.answers[context.invalid][1].refusal.verdict is Verdict.NOT_RUN


@when('the {role} "{target}" is marked as draining')
def step_drain(context: Any, role: str, target: str) -> None:
    def edit(plain: Any) -> None:
        group = plain['services']['db']['groups']['g1']
        group['targets'][target]['draining'] = True
        if role == 'primary':
            group['primary'] = 'g1-2'

    context.cluster.run(2)
    context.fault_at = context.cluster.now()
    _apply_edited(context, edit)


@when('the text names "{target}" as the primary')
def step_move_primary(context: Any, target: str) -> None:
    context.cluster.run(2)
    context.fault_at = context.cluster.now()
    _apply_edited(context, lambda plain: plain['services']['db']['groups']['g1'].update(primary=target))


@then('"{target}" is the primary')
def step_is_primary(context: Any, target: str) -> None:
    assert faults.primary(context.cluster) == target


@then('"{target}" got no work later than 4 s after the change')
def step_no_work(context: Any, target: str) -> None:
    late = [at for at, name, _ in context.cluster.dispatched if name == target and at > context.changed_at + 4]
    assert not late, late[:3]


@then('all faults end and the callers finish')
def step_faults_end(context: Any) -> None:
    faults.heal(context.cluster)
    context.cluster.run(2)
    context.callers.is_on = False
    context.cluster.run(6)


@when('"{name}" is told to stop while {what}')
def step_stop(context: Any, name: str, what: str) -> None:
    cluster: Cluster = context.cluster
    cluster.run(2)
    if what == 'a text is applied':
        _apply_edited(context, lambda plain: plain['organisations']['acme'].update(rate_per_s=900))
    else:
        _FAULTS[what](cluster)
    context.is_crash = 'crashes' in what
    cluster.nodes[name].post(events.StopRequested())


@then('"{name}" has stopped')
def step_stopped(context: Any, name: str) -> None:
    assert context.cluster.nodes[name].is_stopped
    # The balancer sends no more requests to a stopped instance.
    context.cluster.nodes[name].is_dead = True


@then('every request was answered, also at "{name}"')
def step_all_answered(context: Any, name: str) -> None:
    answers = context.cluster.answers
    unanswered = [request for request in context.cluster.sent if request not in answers]
    assert not unanswered, unanswered
    refusals = [answer.refusal for _, answer in answers.values() if answer.refusal is not None]
    # A write that was lost when the primary crashed is refused as not acknowledged, whether its instance stops or not.
    expected = {verdicts.STOPPING, verdicts.NOT_ACKNOWLEDGED} if context.is_crash else {verdicts.STOPPING}
    unexpected = [refusal for refusal in refusals if refusal.reason not in expected]
    assert not unexpected, unexpected[:3]


@given('replicas are far behind')
def step_lag(context: Any) -> None:
    faults.lag_replicas(context.cluster)


@when('a session writes and the primary crashes before a replica has it')
def step_unreplicated_write(context: Any) -> None:
    cluster: Cluster = context.cluster
    name = cluster.write('n0')
    cluster.run(0.3)
    answer = cluster.answers[name][1]
    assert answer.refusal is None
    context.token = answer.token
    faults.crash_primary(cluster)


@then('the session\'s next read is refused with "{reason}"')
def step_session_refused(context: Any, reason: str) -> None:
    for node in ('n1', 'n2'):
        name = context.cluster.read(node, token=context.token)
        context.cluster.run(1)
        refusal = context.cluster.answers[name][1].refusal
        assert refusal is not None and refusal.reason.code == reason, refusal


@then('a read without the session is served')
def step_plain_read(context: Any) -> None:
    name = context.cluster.read('n1')
    context.cluster.run(1)
    assert context.cluster.answers[name][1].refusal is None


@when('a write of a session may have run')
def step_unknown_outcome(context: Any) -> None:
    cluster: Cluster = context.cluster
    target = cluster.targets['g1-1']
    name = cluster.write('n0')
    cluster.run(0.002)
    target.cut = set(builders.DATA_CENTRES)
    cluster.run(0.1)
    target.cut = set()
    cluster.run(7)
    answer = cluster.answers[name][1]
    assert answer.refusal is not None and answer.refusal.verdict is Verdict.MAY_HAVE_RUN, answer
    context.token = answer.token


@then("the session's next read is served by the primary")
def step_primary_read(context: Any) -> None:
    name = context.cluster.read('n3', token=context.token)
    context.cluster.run(1)
    answer = context.cluster.answers[name][1]
    assert answer.refusal is None and answer.role is Role.PRIMARY, answer


@when('{nodes:d} seats in 5 data centres share a target with {limit:d} connections')
def step_share(context: Any, nodes: int, limit: int) -> None:
    plain = builders.plain_text()
    plain['data_centres'] = {
        f'dc-{place}': {'region': 'r1', 'seats': nodes // 5 + (1 if place < nodes % 5 else 0)} for place in range(5)
    }
    targets = {
        TargetId(f't{place}'): Target(DataCentreId(f'dc-{place}'), f'127.0.0.1:{7000 + place}', 3, limit)
        for place in range(3)
    }
    text = builders.text(
        {
            **builders.plain_text(),
            'data_centres': plain['data_centres'],
            'services': {},
            'routes': {},
            'organisations': {},
        }
    )
    assert len(seats_of(text)) == nodes
    context.hosts = hosts_of(text, GroupId('g1'), Group(TargetId('t0'), targets))
    context.shares = [connection_share(context.hosts, seat, limit) for seat in seats_of(text)]


@then('the shares sum to exactly {limit:d} over at most 16 hosts in every data centre')
def step_sum(context: Any, limit: int) -> None:
    assert sum(context.shares) == limit, sum(context.shares)
    assert sum(share > 0 for share in context.shares) == len(context.hosts) <= 16
    assert len({data_centre_of(seat) for seat in context.hosts}) == 5


@then('instances without a seat answer reads through a host in their data centre')
def step_forward(context: Any) -> None:
    cluster: Cluster = context.cluster
    unseated = [name for name, node in cluster.nodes.items() if node.core.board.seat is None]
    assert len(unseated) == 2, unseated
    for name in unseated:
        request = cluster.read(name, route=RouteId(builders.READS))
        cluster.run(1)
        answer = cluster.answers[request][1]
        assert answer.refusal is None, answer.refusal


@when('"dc-a" and "dc-b" are disconnected for 20 s while the platform omits "n1"')
def step_disconnected(context: Any) -> None:
    cluster: Cluster = context.cluster
    cluster.peer_cuts = {frozenset(('dc-a', 'dc-b'))}
    for _ in range(20):
        cluster.nodes['n0'].core.board.members_by_id.pop('n1', None)
        cluster.run(1)


@then('"n0" still knows "n1" but forwards nothing to it')
def step_still_known(context: Any) -> None:
    board = context.cluster.nodes['n0'].core.board
    assert 'n1' in board.peers_by_id
    assert board.peers_by_id['n1'].failing_since is not None


@then('after "n1" dies no instance forwards to it')
def step_dead(context: Any) -> None:
    cluster: Cluster = context.cluster
    cluster.peer_cuts = set()
    cluster.run(2)
    cluster.nodes['n1'].is_dead = True
    cluster.run(5)
    for name, node in cluster.nodes.items():
        view = node.core.board.peers_by_id.get('n1')
        assert node.is_dead or view is None or view.failing_since is not None, name
