"""Cluster of instance cores in virtual time, with fake platform and targets and simulated network faults."""

import hashlib
import random
from collections.abc import Callable
from typing import Any

from reactivex.scheduler import VirtualTimeScheduler

from features import builders
from features.fakes import FakeGroup, FakePlatform
from fescuequay_core import commands, events
from fescuequay_core.core import Core
from fescuequay_core.fleet import ApplyText, FleetRecord, with_write_id
from fescuequay_core.requests import Answer, Outcome, Request, ResultSet, Statement
from fescuequay_core.settings import Identity, Timing
from fescuequay_core.types import Digest, InstanceId, RequestKind, Verdict
from fescuequay_core.verdicts import CONNECTION_LOST, NO_PRIMARY, Refusal

#: One-way delay of every link, time that a statement takes, and timeout of a probe, in virtual seconds.
LINK_DELAY_S, STATEMENT_S, PROBE_TIMEOUT_S = 0.001, 0.002, 0.5


class Node:
    """One instance: its core, its clock, and whether it is running, paused, stopped or dead."""

    def __init__(self, cluster: 'Cluster', name: str, data_centre: str, drift: float) -> None:
        self.name, self.data_centre = name, data_centre
        self.cluster = cluster
        self.drift = drift
        self.is_dead = self.is_paused = self.is_stopped = False
        self.deferred: list[Callable[[], None]] = []
        identity = Identity(name, data_centre, name, name)
        self.core = Core(identity, cluster.timing, (builders.SECRET,), seed=len(cluster.nodes) + cluster.seed)

    def now(self) -> float:
        """:returns: Monotonic time of this node, which drifts from the cluster's."""
        return 1000.0 + self.cluster.now() * (1 + self.drift)

    def post(self, event: events.Event) -> None:
        """Pass an event to the core; while the process is paused, defer it until it resumes."""
        if self.is_dead:
            return
        if self.is_paused:
            self.deferred.append(lambda: self.post(event))
            return
        for command in self.core.handle(event, self.now()):
            self.cluster.carry_out(self, command)

    def run_or_defer(self, action: Callable[[], None]) -> None:
        """Run an action of the process now, or when it resumes; a dead process runs nothing."""
        if self.is_paused:
            self.deferred.append(lambda: self.run_or_defer(action))
        elif not self.is_dead:
            action()

    def resume(self) -> None:
        """Resume the process and run the deferred actions in order."""
        self.is_paused = False
        deferred, self.deferred = self.deferred, []
        for action in deferred:
            action()


class Cluster:
    """Nodes, the platform and groups of databases; virtual time advances only in ``run``.

    :param plain: First configuration text as plain values.
    :param timing: Intervals and timeouts.
    :param seed: Seed from which the seed of each core is derived.
    """

    def __init__(self, plain: dict[str, Any], timing: Timing | None = None, seed: int = 0) -> None:
        self.scheduler = VirtualTimeScheduler(0.0)
        self.timing = timing or Timing()
        self.seed = seed
        self.platform = FakePlatform()
        self.nodes: dict[str, Node] = {}
        self.peer_cuts: set[frozenset[str]] = set()
        self.groups = {name: FakeGroup(name) for name in plain['services']['db']['groups']}
        self.targets = {name: target for group in self.groups.values() for name, target in group.targets.items()}
        self.answers: dict[str, tuple[float, Answer]] = {}
        self.sent: dict[str, tuple[float, Request]] = {}
        self.runs: list[tuple[str, str]] = []
        self.incidents: list[tuple[float, str, commands.Incident]] = []
        self.dispatched: list[tuple[float, str, str]] = []
        self.statement_s = STATEMENT_S
        # Random number generator for late, duplicated and reordered messages; none for a reliable network.
        self.disorder: random.Random | None = None
        self.hooks: dict[str, list[Callable[[Node], None]]] = {}
        self._numbers = 0
        self.plain = plain
        self.apply(plain)
        self.after(0.001, self._replicate)

    def now(self) -> float:
        """:returns: Global virtual time, which no node can read."""
        return float(self.scheduler.now.timestamp())

    def after(self, delay_s: float, action: Callable[[], None]) -> None:
        """Schedule an action."""
        self.scheduler.schedule_relative(delay_s, lambda *_: action())

    def run(self, seconds: float) -> None:
        """Advance virtual time."""
        self.scheduler.advance_by(seconds)

    def add(self, name: str, data_centre: str, drift: float = 0.0) -> Node:
        """Start an instance."""
        node = Node(self, name, data_centre, drift)
        self.nodes[name] = node
        self._tick(node)
        return node

    def apply(self, plain: dict[str, Any]) -> None:
        """Apply a configuration text as an operator does through a working platform."""
        raw = builders.raw_text(plain)
        digest = Digest(hashlib.sha256(raw).hexdigest())
        self.platform.objects[digest] = raw
        record = self.platform.record or FleetRecord()
        number = record.text.number if record.text else 0
        changed = ApplyText(number, digest, 'operator', self.now()).apply_to(record)
        assert changed is not None
        self.platform.write_fleet(with_write_id(changed, f'operator.{number}'), self.platform.etag())

    def send(self, node: str, timeout_s: float = 5.0, **changes: Any) -> str:
        """Send one request; its answer is stored in ``answers`` under the returned id."""
        self._numbers += 1
        receiver = self.nodes[node]
        request = builders.request(self._numbers, receiver.now(), deadline=receiver.now() + timeout_s, **changes)
        self.sent[request.request_id] = (self.now(), request)
        receiver.post(events.RequestArrived(request))
        return request.request_id

    def write(self, node: str, **changes: Any) -> str:
        """Send one write."""
        return self.send(node, **changes)

    def read(self, node: str, **changes: Any) -> str:
        """Send one read."""
        return self.send(node, is_read=True, statements=(Statement('select'),), **changes)

    def carry_out(self, node: Node, command: commands.Command) -> None:
        """Carry out a command that a core returned to its host."""
        handler = getattr(self, f'_do_{type(command).__name__}', None)
        if handler is not None:
            handler(node, command)

    def _tick(self, node: Node) -> None:
        if not node.is_dead and not node.is_stopped:
            if not node.is_paused:
                node.post(events.Tick())
            self.after(self.timing.tick_s, lambda: self._tick(node))

    def _replicate(self) -> None:
        for group in self.groups.values():
            group.replicate(self.now())
        self.after(0.005, self._replicate)

    def _call_platform(self, node: Node, call: Callable[[], Any], done: Callable[[Any], None]) -> None:
        """Call the platform and pass the result to ``done``, or ``None`` when no answer comes."""

        def arrive() -> None:
            if self.platform.is_down or node.data_centre in self.platform.cut:
                self.after(0.5, lambda: done(None))
                return
            found = call()
            if self.platform.lose_answers and found is not None:
                self.platform.lose_answers -= 1
                self.after(0.5, lambda: done(None))
                return
            self.after(LINK_DELAY_S + self._extra_delay_s(), lambda: done(found))

        node.run_or_defer(lambda: self.after(LINK_DELAY_S + self.platform.delay_s + self._extra_delay_s(), arrive))

    def _do_ReadFleet(self, node: Node, command: commands.ReadFleet) -> None:
        started_at = node.now()

        def read() -> Any:
            etag = self.platform.etag()
            return etag, None if etag == command.etag else self.platform.record

        def done(found: Any) -> None:
            if found is None:
                node.post(events.FleetReadFailed())
            else:
                node.post(events.FleetRead(started_at, found[0], found[1]))

        self._call_platform(node, read, done)

    def _do_WriteFleet(self, node: Node, command: commands.WriteFleet) -> None:
        self._call_platform(
            node,
            lambda: (self.platform.write_fleet(command.record, command.etag), self.platform.etag()),
            lambda found: node.post(
                events.FleetWritten(command.write_id, *(found or (events.WriteResult.UNKNOWN, None)))
            ),
        )

    def _do_ReadObject(self, node: Node, command: commands.ReadObject) -> None:
        def done(found: Any) -> None:
            if found is None:
                found = next(
                    (
                        self.platform.objects[command.digest]
                        for peer in command.peer_addresses
                        if self._can_reach(node.name, peer) and self._holds_text(peer)
                    ),
                    None,
                )
            node.post(events.ObjectRead(command.digest, found))

        self._call_platform(node, lambda: self.platform.objects[command.digest], done)

    def _extra_delay_s(self) -> float:
        """:returns: Extra delay of a message, so that messages overtake each other."""
        if self.disorder is None or self.disorder.random() < 0.7:
            return 0.0
        return self.disorder.uniform(0, 1.5)

    def _holds_text(self, peer: str) -> bool:
        board = self.nodes[peer].core.board
        return board.record.text is not None and board.text_number == board.record.text.number

    def _do_ReadMembers(self, node: Node, command: commands.ReadMembers) -> None:
        def members() -> Any:
            live = [other for other in self.nodes.values() if not other.is_dead]
            return tuple(events.Member(InstanceId(other.name), other.data_centre, other.name) for other in live)

        def done(found: Any) -> None:
            if found is not None:
                node.post(events.MembersRead(found))

        self._call_platform(node, members, done)

    def _do_ReadSeats(self, node: Node, command: commands.ReadSeats) -> None:
        def done(found: Any) -> None:
            if found is not None:
                node.post(events.SeatsRead(found))

        self._call_platform(node, lambda: self.platform.read_seats(node.data_centre, self.now()), done)

    def _do_WriteSeat(self, node: Node, command: commands.WriteSeat) -> None:
        started_at = node.now()

        def done(found: Any) -> None:
            outcome, etag = found or (events.WriteResult.UNKNOWN, None)
            node.post(events.SeatWritten(command.seat, outcome, etag, started_at))

        self._call_platform(node, lambda: self.platform.write_seat(command, self.now()), done)

    def _can_reach(self, left: str, right: str) -> bool:
        data_centres = {self.nodes[name].data_centre for name in (left, right)}
        return frozenset(data_centres) not in self.peer_cuts and not self.nodes[right].is_dead

    def _do_SendPeer(self, node: Node, command: commands.SendPeer) -> None:
        sent_at = node.now()

        def fail() -> None:
            node.post(events.PeerFailed(command.peer))

        def arrive() -> None:
            other = self.nodes.get(command.peer)
            if other is None or not self._can_reach(node.name, command.peer):
                self.after(0.5, fail)
                return
            if other.is_paused:
                other.deferred.append(arrive)
                return
            for reply in other.core.handle(events.PeerMessageReceived(command.message), other.now()):
                if isinstance(reply, commands.AnswerPeer):
                    message = reply.message
                    self.after(LINK_DELAY_S, lambda: node.post(events.PeerMessageReceived(message, sent_at)))
                else:
                    self.carry_out(other, reply)

        def send() -> None:
            self.after(LINK_DELAY_S + self._extra_delay_s(), arrive)
            if self.disorder is not None and self.disorder.random() < 0.3:
                self.after(LINK_DELAY_S + self.disorder.uniform(0, 4), arrive)

        node.run_or_defer(send)

    def _do_Forward(self, node: Node, command: commands.Forward) -> None:
        name = command.request.request_id

        def arrive() -> None:
            if not self._can_reach(node.name, command.peer):
                node.post(events.ForwardEnded(name, None))
                return
            self.nodes[command.peer].post(events.RequestArrived(command.request))

        self.after(LINK_DELAY_S, arrive)

    def _call_target(self, node: Node, target: str, call: Callable[[Any], Any], done: Callable[[Any], None]) -> None:
        """Call a target and pass the result to ``done``, or ``None`` when no answer comes."""

        def arrive() -> None:
            found = self.targets[target]
            if found.is_down or node.data_centre in found.cut:
                self.after(PROBE_TIMEOUT_S, lambda: done(None))
                return
            result = call(found)
            if result is None:
                done(None)
                return
            self.after(LINK_DELAY_S, lambda: self._return_result(node, target, result, done))

        node.run_or_defer(lambda: self.after(LINK_DELAY_S, arrive))

    def _return_result(self, node: Node, target: str, result: Any, done: Callable[[Any], None]) -> None:
        if node.data_centre in self.targets[target].cut:
            self.after(PROBE_TIMEOUT_S, lambda: done(None))
        else:
            done(result)

    def _do_ProbeTarget(self, node: Node, command: commands.ProbeTarget) -> None:
        def begin() -> None:
            started_at = node.now()

            def done(status: Any) -> None:
                if status is None:
                    node.post(events.TargetStatusFailed(command.target, started_at))
                else:
                    node.post(events.TargetStatusReceived(command.target, status, started_at))

            self._call_target(node, command.target, lambda target: target.status(self.now()), done)

        self.after(command.delay_s, lambda: node.run_or_defer(begin))

    def _do_FenceTarget(self, node: Node, command: commands.FenceTarget) -> None:
        def fence(target: Any) -> Any:
            return target.status(self.now()) if target.set_fence(command.term) else None

        self._call_target(
            node, command.target, fence, lambda status: node.post(events.Fenced(command.target, command.term, status))
        )

    def _do_PromoteTarget(self, node: Node, command: commands.PromoteTarget) -> None:
        self._call_target(
            node,
            command.target,
            lambda target: target.promote(command.term),
            lambda start: node.post(events.Promoted(command.target, command.term, start)),
        )

    def _do_Execute(self, node: Node, command: commands.Execute) -> None:
        request = command.request
        self.dispatched.append((self.now(), command.target, request.request_id))
        target = self.targets[command.target]
        target.in_use += 1
        target.most_in_use = max(target.most_in_use, target.in_use)
        has_ended: list[bool] = []

        def done(outcome: Outcome) -> None:
            if not has_ended:
                has_ended.append(True)
                target.in_use -= 1
                node.post(events.ExecutionEnded(request.request_id, outcome))

        def arrive() -> None:
            if target.is_down:
                done(_failed(Verdict.NOT_RUN, 'refused', is_retryable=True))
            elif node.data_centre in target.cut:
                remaining_s = max(request.deadline - node.now(), 0)
                self.after(remaining_s, lambda: done(_failed(Verdict.MAY_HAVE_RUN, 'silent')))
            else:
                self.after(self.statement_s, lambda: done(self._execute(node, command)))

        node.run_or_defer(lambda: self.after(LINK_DELAY_S, arrive))

    def _execute(self, node: Node, command: commands.Execute) -> Outcome:
        target = self.targets[command.target]
        request = command.request
        if target.is_down:
            return _failed(Verdict.MAY_HAVE_RUN, 'lost')
        if command.is_read_only or request.kind in {RequestKind.BEGIN, RequestKind.ROLLBACK}:
            seen = ','.join(entry.write for entry in target.log)
            return Outcome(Verdict.RAN, (ResultSet(seen.encode()),))
        if not target.is_primary:
            return _failed(Verdict.NOT_RUN, 'not the primary', is_retryable=True, reason=NO_PRIMARY)
        key = request.idempotency_key
        if key is not None and any(entry.write == key for entry in target.log):
            return Outcome(Verdict.RAN, is_repeat=True)
        group = next(group for group in self.groups.values() if command.target in group.targets)
        group.write(target, key or request.request_id, self.now())
        self.runs.append((request.request_id, command.target))
        if node.data_centre in target.cut:
            return _failed(Verdict.MAY_HAVE_RUN, 'the answer was lost')
        return Outcome(Verdict.RAN)

    def _do_Reply(self, node: Node, command: commands.Reply) -> None:
        answer = command.answer
        if answer.request_id in self.sent and answer.request_id not in self.answers:
            self.answers[answer.request_id] = (self.now(), answer)
        else:
            origin = next((n for n in self.nodes.values() if answer.request_id in n.core.board.requests_by_id), None)
            if origin is not None:
                self.after(LINK_DELAY_S, lambda: origin.post(events.ForwardEnded(answer.request_id, answer)))

    def _do_Incident(self, node: Node, command: commands.Incident) -> None:
        self.incidents.append((self.now(), node.name, command))
        for hook in self.hooks.pop(command.name, []):
            hook(node)

    def _do_Stopped(self, node: Node, command: commands.Stopped) -> None:
        node.is_stopped = True


def _failed(verdict: Verdict, detail: str, *, is_retryable: bool = False, reason: Any = CONNECTION_LOST) -> Outcome:
    return Outcome(verdict, refusal=Refusal(reason, verdict, detail), is_retryable=is_retryable)
