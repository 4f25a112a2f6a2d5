"""Callers in virtual time, and the history of their run for the checker."""

import random
from typing import Any

from features import builders
from features.cluster import Cluster
from features.checker import Grant, History, Limit, Read, Write
from fescuequay_core import keys, verdicts
from fescuequay_core.types import RequestId, RouteId


class Session:
    """A caller that sends writes and reads in turn and waits for each answer.

    :param home: Instance that it uses; without one it uses a random instance for each request.
    """

    def __init__(
        self, cluster: Cluster, number: int, organisation: str, rng: random.Random, home: str | None = None
    ) -> None:
        self.home = home
        self.timeout_s = 5.0
        self.cluster = cluster
        self.rng = rng
        self.organisation = organisation
        self.token: str | None = None
        self.number = number
        self.turn = 0
        self.acked: set[str] = set()
        self.writes: list[tuple[str, str, bool]] = []
        self.reads: list[tuple[str, frozenset[str]]] = []
        self.current: str | None = None

    def step(self) -> None:
        """Receive the answer to the last request, if there is one, and send the next request."""
        if self.current is not None:
            found = self.cluster.answers.get(self.current)
            if found is None:
                return
            self._receive(found[1])
        live = [name for name, node in self.cluster.nodes.items() if not node.is_dead and not node.is_paused]
        if not live:
            return
        node = self.home or self.rng.choice(live)
        self.turn += 1
        digest = keys.digest_of(builders.key_of(self.organisation))
        if self.turn % 3 == 0:
            self.current = self.cluster.read(
                node, token=self.token, key_digest=digest, route=RouteId(builders.READS), timeout_s=self.timeout_s
            )
            self.reads.append((self.current, frozenset(self.acked)))
            return
        key = f'k{self.number}-{self.turn}' if self.turn % 5 == 0 else None
        self.current = self.cluster.write(
            node, token=self.token, key_digest=digest, idempotency_key=key, timeout_s=self.timeout_s
        )
        self.writes.append((self.current, key or self.current, key is not None))

    def _receive(self, answer: Any) -> None:
        self.token = answer.token or self.token
        if answer.refusal is None and self.writes and self.writes[-1][0] == self.current:
            self.acked.add(self.writes[-1][1])
        if answer.refusal is not None and answer.refusal.reason is verdicts.SESSION_AHEAD:
            # The refusal states that the term does not hold what the session saw; the caller starts a new session.
            self.token = None
            self.acked = set()
        self.current = None


class Callers:
    """Several sessions that send requests at a fixed interval until ``is_on`` is false.

    :param homes: Instances that the first sessions use; the other sessions use random ones.
    """

    def __init__(
        self, cluster: Cluster, sessions: int, interval_s: float, seed: int = 0, homes: tuple[str, ...] = ()
    ) -> None:
        rng = random.Random(seed)
        self.cluster = cluster
        self.interval_s = interval_s
        self.is_on = True
        instances = (*homes, *([None] * (sessions - len(homes))))
        self.sessions = [
            Session(cluster, number, ('acme', 'bolt')[number % 2], rng, home) for number, home in enumerate(instances)
        ]
        for place, session in enumerate(self.sessions):
            cluster.after(0.001 + interval_s * place / sessions, lambda session=session: self._act(session))

    def _act(self, session: Session) -> None:
        if self.is_on:
            session.step()
            self.cluster.after(self.interval_s, lambda: self._act(session))

    def longest_gap(self, since: float) -> float:
        """:returns: Longest time between two acknowledged writes after a point in time."""
        times = sorted(
            self.cluster.answers[name][0]
            for session in self.sessions
            for name, _, _ in session.writes
            if name in self.cluster.answers and self.cluster.answers[name][1].refusal is None
        )
        times = [at for at in times if at >= since - self.interval_s]
        return max((after - before for before, after in zip(times, times[1:], strict=False)), default=float('inf'))

    def history(self, group: str = 'g1') -> History:
        """:returns: The history of the run."""
        leader = self.cluster.platform.record.leaders[group] if self.cluster.platform.record else None
        log = self.cluster.targets[leader.target].log if leader else []
        names = {request: name for session in self.sessions for request, name, _ in session.writes}
        return History(
            writes=tuple(self._writes()),
            reads=tuple(self._reads()),
            log=tuple(entry.write for entry in log),
            runs=tuple(names[request] for request, _ in self.cluster.runs if request in names),
            grants=tuple(grants(self.cluster)),
            limits=limits(self.cluster.plain),
            versions=versions(self.cluster),
        )

    def _writes(self) -> Any:
        for session in self.sessions:
            for request, name, is_idempotent in session.writes:
                found = self.cluster.answers.get(request)
                refusal = found[1].refusal if found else None
                is_acked = found is not None and refusal is None
                yield Write(name, is_acked, refusal.verdict if refusal else None, is_idempotent)

    def _reads(self) -> Any:
        for session in self.sessions:
            for request, required in session.reads:
                found = self.cluster.answers.get(request)
                if found is not None and found[1].refusal is None:
                    yield Read(frozenset(found[1].results[0].body.decode().split(',')), required)


def grants(cluster: Cluster) -> Any:
    """Iterate over the first execution of each request, for which its organisation was charged."""
    seen: set[str] = set()
    organisations = {keys.digest_of(builders.key_of(name)): name for name in cluster.plain['organisations']}
    for at, _, request in cluster.dispatched:
        if request not in seen and request in cluster.sent:
            seen.add(request)
            digest = cluster.sent[RequestId(request)][1].key_digest
            if digest in organisations:
                yield Grant(at, organisations[digest])


def limits(text: dict[str, Any]) -> dict[str, Limit]:
    """:returns: Limits of a configuration text by organisation."""
    return {name: Limit(row['rate_per_s'], row['burst']) for name, row in text['organisations'].items()}


def versions(cluster: Cluster) -> dict[str, tuple[int, ...]]:
    """:returns: Numbers of the configuration texts by instance, in the order in which they took effect."""
    found: dict[str, list[int]] = {}
    for _, node, incident in cluster.incidents:
        if incident.name == 'text_in_force':
            found.setdefault(node, []).append(int(incident.subject))
    return {node: tuple(numbers) for node, numbers in found.items()}
