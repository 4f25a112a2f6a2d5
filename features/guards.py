"""Guards of the core by name, each with the patch that removes it, and the runs that have violations without them."""

import contextlib
import copy
import random
from collections.abc import Callable, Iterator
from typing import Any
from unittest import mock

from features import builders, faults
from features.cluster import Cluster
from features.checker import Limit, largest_excess, violations
from features.load import Callers, grants, versions
from fescuequay_core import (
    access,
    acknowledgements,
    admission,
    allotments,
    blackboard,
    fleet_controller,
    leadership,
    routing,
    seats,
    targets,
)
from fescuequay_core import events, keys
from fescuequay_core.messages import Heartbeat
from fescuequay_core.requests import Outcome
from fescuequay_core.types import RouteId, TargetId, Verdict

#: Runs a cluster and returns a sentence for each violation.
Run = Callable[[], list[str]]


def _cluster(acknowledge: str = 'replica', instances: int = 8, rate: int = 1000) -> Cluster:
    plain = builders.plain_text(acknowledge=acknowledge)
    for name in ('acme', 'bolt'):
        plain['organisations'][name] = builders.organisation(name, 'g1', rate, rate)
    for route in plain['routes'].values():
        route.setdefault('key_grace_s', 60)
    cluster = Cluster(plain)
    for number in range(instances):
        cluster.add(f'n{number}', builders.DATA_CENTRES[number % 4])
    cluster.run(4)
    return cluster


def _run_callers(cluster: Cluster, fault: faults.Fault, seconds: float = 10, homes: tuple[str, ...] = ()) -> list[str]:
    callers = Callers(cluster, 16, 0.03, homes=homes)
    cluster.run(2)
    fault(cluster)
    cluster.run(seconds)
    faults.heal(cluster)
    cluster.run(3)
    callers.is_on = False
    cluster.run(6)
    found = list(violations(callers.history()))
    return found + list(_late_acknowledgements(cluster, callers))


def _late_acknowledgements(cluster: Cluster, callers: Callers) -> Iterator[str]:
    """Iterate over writes that a term acknowledged after a later term without them was published."""
    published: dict[int, float] = {}
    for at, _, incident in cluster.incidents:
        details = dict(incident.details)
        if incident.name == 'leader_changed' and details['state'] == 'leading':
            published.setdefault(int(details['term']), at)
    log = set(callers.history().log)
    for session in callers.sessions:
        for request, name, _ in session.writes:
            at, answer = cluster.answers.get(request, (0.0, None))
            if answer is None or answer.refusal is not None:
                continue
            replaced_at = min((when for term, when in published.items() if term > answer.term), default=float('inf'))
            if at > replaced_at and name not in log:
                yield f'{name} was acknowledged by term {answer.term} after it was replaced'


def _permits() -> list[str]:
    found = _run_callers(_cluster('primary'), faults.isolate_primary_with_its_data_centre, 8, ('n0', 'n4'))
    # A primary that acknowledges without replicas may lose its last writes; operators accept that with this setting.
    return [sentence for sentence in found if 'is lost' not in sentence]


def _crash_lagging() -> list[str]:
    return _run_callers(_cluster(), faults.FAULTS['the primary crashes while replicas are far behind'])


def _stale_status() -> list[str]:
    """Deliver a status requested before a write after the write, and crash the primary before a replica has it."""
    cluster = _cluster()
    for name in ('g1-2', 'g1-3'):
        cluster.targets[name].lag_s = 1.0
    cluster.run(2)
    node = cluster.nodes['n0']
    status, asked_at = cluster.targets['g1-1'].status(cluster.now()), node.now()
    write = cluster.write('n0', timeout_s=2.0)
    while not any(entry.write == write for entry in cluster.targets['g1-1'].log):
        cluster.run(0.001)
    cluster.run(0.0015)
    node.post(events.TargetStatusReceived(TargetId('g1-1'), status, asked_at))
    faults.crash_primary(cluster)
    cluster.run(10)
    is_acked = cluster.answers[write][1].refusal is None
    is_held = any(entry.write == write for entry in cluster.targets[faults.primary(cluster)].log)
    return ['the acknowledged write is lost'] if is_acked and not is_held else []


def _crash_one_reachable() -> list[str]:
    def fault(cluster: Cluster) -> None:
        cluster.targets['g1-3'].lag_s = 1.5
        cluster.run(1)
        cluster.targets['g1-2'].cut = set(builders.DATA_CENTRES)
        faults.crash_primary(cluster)

        def reconnect() -> None:
            cluster.targets['g1-2'].cut = set()

        cluster.after(4, reconnect)

    return _run_callers(_cluster(), fault)


def _crash_one_lagging() -> list[str]:
    def fault(cluster: Cluster) -> None:
        cluster.targets['g1-3'].lag_s = 1.5
        cluster.run(1)
        faults.crash_primary(cluster)

    return _run_callers(_cluster(), fault)


def _lagging() -> list[str]:
    def fault(cluster: Cluster) -> None:
        cluster.targets['g1-3'].lag_s = 0.4

    return _run_callers(_cluster(), fault, 5)


def _session_ahead() -> list[str]:
    cluster = _cluster('primary')
    faults.lag_replicas(cluster)
    return [line for line in _run_callers(cluster, faults.crash_primary) if 'did not see' in line]


def _lost_answers() -> list[str]:
    def fault(cluster: Cluster) -> None:
        for delay in (0.2, 0.6, 1.0, 1.4):
            cluster.after(delay, lambda: setattr(cluster.targets['g1-1'], 'cut', {'dc-a', 'dc-c'}))
            cluster.after(delay + 0.1, lambda: setattr(cluster.targets['g1-1'], 'cut', set()))

    return _run_callers(_cluster(), fault, 8)


def _excess(cluster: Cluster, rate: float) -> list[str]:
    limit = Limit(rate, rate)
    found = []
    for name in ('acme', 'bolt'):
        excess = largest_excess([grant.at for grant in grants(cluster) if grant.organisation == name], limit)
        if excess > 1e-6:
            found.append(f'{name} got {excess:.1f} too many')
    for name, target in cluster.targets.items():
        if target.most_in_use > 20:
            found.append(f'{name} had {target.most_in_use} connections in use')
    return found


def _flood(cluster: Cluster, per_s: int, seconds: int) -> None:
    rng = random.Random(5)
    digest = keys.digest_of(builders.key_of('acme'))

    def send() -> None:
        name = rng.choice([name for name, node in cluster.nodes.items() if not node.is_dead and not node.is_paused])
        cluster.read(name, key_digest=digest, route=RouteId(builders.READS))

    for number in range(per_s * seconds):
        cluster.after(number / per_s, send)


def _flood_everywhere() -> list[str]:
    cluster = _cluster(rate=100)
    digest = keys.digest_of(builders.key_of('acme'))
    # Uneven demand makes instances borrow shares; a burst at every instance occupies all connections.
    for number in range(400):
        cluster.after(number / 100, lambda: cluster.read('n1', key_digest=digest, route=RouteId(builders.READS)))
    cluster.run(4)
    _flood(cluster, 400, 4)
    cluster.run(5)
    for node in cluster.nodes:
        for _ in range(60):
            cluster.write(node)
            cluster.write(node, key_digest=keys.digest_of(builders.key_of('bolt')))
    cluster.run(3)
    return _excess(cluster, 100)


def _paused_holder() -> list[str]:
    cluster = _cluster(rate=100, instances=9)
    cluster.run(2)
    holder = next(node for node in cluster.nodes.values() if node.data_centre == 'dc-a' and node.core.board.seat)
    holder.is_paused = True
    cluster.run(22)
    holder.is_paused = False
    # It resumes in the middle of a burst, before it receives any message.
    holder.deferred = []
    for number in range(500):
        digest = keys.digest_of(builders.key_of('acme'))
        names = list(cluster.nodes)
        cluster.read(names[number % len(names)], key_digest=digest, route=RouteId(builders.READS))
    cluster.run(2)
    holder.resume()
    return _excess(cluster, 100)


def _no_seat() -> list[str]:
    cluster = _cluster(rate=100, instances=9)
    _flood(cluster, 500, 6)
    cluster.run(8)
    return _excess(cluster, 100)


def _old_record() -> list[str]:
    cluster = _cluster()
    old = cluster.nodes['n1'].core.board.record
    for number in (1, 2):
        plain = copy.deepcopy(cluster.plain)
        plain['organisations']['acme']['rate_per_s'] = 500 + number
        cluster.apply(plain)
        cluster.run(2)
    heartbeat = Heartbeat('n1', 'dc-b', 'n1', old.version, 0.0, record=old)  # type: ignore[arg-type]
    node = cluster.nodes['n3']
    before = node.core.board.record.version
    node.post(events.PeerMessageReceived(heartbeat, node.now()))
    found = [f'{name} reverted' for name, numbers in versions(cluster).items() if list(numbers) != sorted(numbers)]
    return found + ([f'n3 went from {before}'] if node.core.board.record.version < before else [])


def _withdraw(cluster: Cluster) -> None:
    plain = copy.deepcopy(cluster.plain)
    plain['organisations']['acme']['keys'] = {}
    cluster.apply(plain)


def _withdrawn_while_waiting() -> list[str]:
    cluster = _cluster()
    faults.crash_primary(cluster)
    cluster.run(0.7)
    name = cluster.write('n3')
    _withdraw(cluster)
    cluster.run(6)
    return [f'{name} ran'] if name in {request for request, _ in cluster.runs} else []


def _withdrawn_behind_partition() -> list[str]:
    cluster = _cluster()
    plain = copy.deepcopy(cluster.plain)
    for route in plain['routes'].values():
        route['key_grace_s'] = 4
    cluster.apply(plain)
    cluster.plain = plain
    cluster.run(3)
    cluster.platform.cut = {'dc-a'}
    cluster.peer_cuts = {frozenset(('dc-a', other)) for other in builders.DATA_CENTRES[1:]}
    _withdraw(cluster)
    cluster.run(4.1)
    names = [cluster.read(name, route=RouteId(builders.READS)) for name in cluster.nodes]
    cluster.run(2)
    return [name for name in names if cluster.answers[name][1].refusal is None]


def _draining() -> list[str]:
    cluster = _cluster()
    callers = Callers(cluster, 8, 0.05)
    plain = copy.deepcopy(cluster.plain)
    plain['services']['db']['groups']['g1']['targets']['g1-2']['draining'] = True
    cluster.apply(plain)
    since = cluster.now() + 4
    cluster.run(7)
    callers.is_on = False
    cluster.run(1)
    return [f'work at {at}' for at, target, _ in cluster.dispatched if target == 'g1-2' and at > since]


RUNS: dict[str, Run] = {
    'a cut-off primary under permits': _permits,
    'a crash with lagging replicas': _crash_lagging,
    'a status requested before the write': _stale_status,
    'a crash with one reachable replica': _crash_one_reachable,
    'a crash with one lagging replica': _crash_one_lagging,
    'lagging replicas': _lagging,
    'a session ahead of the term': _session_ahead,
    'lost answers of writes': _lost_answers,
    'a flood at all instances': _flood_everywhere,
    'a paused instance whose seat is claimed by another': _paused_holder,
    'an instance without a seat': _no_seat,
    'an old record from a peer': _old_record,
    'a key withdrawn while a write waits': _withdrawn_while_waiting,
    'a key withdrawn behind a partition': _withdrawn_behind_partition,
    'a draining replica': _draining,
}


def _return_always(value: Any) -> Callable[..., Any]:
    return lambda *args, **options: value


def _least_advanced(self: Any, group: Any, leader: Any, statuses: Any) -> Any:
    return min(statuses, key=lambda target: statuses[target].position)


def _retry_everything(original: Callable[..., Any]) -> Callable[..., Any]:
    def conclude(self: Any, pending: Any, outcome: Outcome, now: float) -> Any:
        return original(self, pending, Outcome(Verdict.NOT_RUN, refusal=outcome.refusal, is_retryable=True), now)

    return conclude


def _fresh_without_mark(original: Callable[..., Any]) -> Callable[..., Any]:
    return lambda self, pending, view, mark, accepted_s, now: original(self, pending, view, None, accepted_s, now)


def _lend_without_reduction(self: Any, loan: Any, until: float, now: float) -> None:
    self.advance(now)


def _accept_any_status(original: Callable[..., Any]) -> Callable[..., Any]:
    def on_status(self: Any, target: Any, status: Any, started_at: float, now: float) -> Any:
        return original(self, target, status, float('inf'), now)

    return on_status


def _has_main_for_ever(self: Any, now: float) -> bool:
    return self.board.seat is not None and now >= self.usable_from


def _adopt_any_version(self: Any, record: Any, now: float) -> Iterator[Any]:
    self.board.record = record
    yield from self._fetch_text(now)


def _check_once(original: Callable[..., Any]) -> Callable[..., Any]:
    def check(self: Any, request: Any, now: float) -> Any:
        known = self.__dict__.setdefault('_checked', {})
        return known.setdefault(request.request_id, original(self, request, now))

    return check


def _without_draining(original: Callable[..., Any]) -> Callable[..., Any]:
    def replicas(self: Any, pending: Any, leader: Any) -> Any:
        group = self._board.group_of(pending.group)
        for target in group.targets:
            view = self._board.view_of(target)
            if target != leader.target and view.connections and view.status is not None:
                yield target, view

    return replicas


def _patch(owner: Any, name: str, replacement: Any) -> Any:
    return mock.patch.object(owner, name, replacement)


GUARDS: dict[str, Callable[[], Any]] = {
    'the permit of an acknowledgement': lambda: _patch(blackboard.Blackboard, 'has_permit', _return_always(True)),
    'the wait for old permits': lambda: _patch(
        leadership.LeadershipController, '_permits_expired', _return_always(True)
    ),
    'the confirmation by a majority': lambda: _patch(
        acknowledgements.AcknowledgementTracker, '_is_confirmed', _return_always(True)
    ),
    'the check that a status was requested after the write': lambda: _patch(
        acknowledgements.AcknowledgementTracker,
        'on_status',
        _accept_any_status(acknowledgements.AcknowledgementTracker.on_status),
    ),
    'the fence of a majority': lambda: _patch(leadership, '_majority', _return_always(1)),
    'the choice of the most advanced replica': lambda: _patch(
        leadership.LeadershipController, '_choose_candidate', _least_advanced
    ),
    'the position check of replica reads': lambda: _patch(
        routing.Router, '_is_fresh', _fresh_without_mark(routing.Router._is_fresh)
    ),
    'the refusal of sessions ahead of the term': lambda: _patch(routing.Router, '_check_mark', _return_always(None)),
    'the restriction of retries to what has not run': lambda: _patch(
        admission.AdmissionController,
        '_handle_failure',
        _retry_everything(admission.AdmissionController._handle_failure),
    ),
    "the reduction of the lender's own share": lambda: _patch(allotments.Allotment, 'lend', _lend_without_reduction),
    'the lease of a seat': lambda: _patch(seats.SeatController, 'has_main', _has_main_for_ever),
    'the wait before a seat is claimed': lambda: _patch(seats.SeatController, '_is_free', _return_always(True)),
    'the order of versions': lambda: _patch(fleet_controller.FleetController, '_adopt', _adopt_any_version),
    'the second check of the key': lambda: _patch(access.Authoriser, 'check', _check_once(access.Authoriser.check)),
    'the bound on the age of keys': lambda: _patch(blackboard.Blackboard, 'view_age_s', _return_always(0.0)),
    'the exclusion of draining targets': lambda: _patch(
        routing.Router, '_replicas', _without_draining(routing.Router._replicas)
    ),
    'the division of connections': lambda: _patch(targets, 'connection_share', lambda hosts, seat, limit: limit),
}


@contextlib.contextmanager
def removed(guard: str) -> Iterator[None]:
    """Remove a guard for the length of a block.

    :param guard: Its name.
    """
    with GUARDS[guard]():
        yield
