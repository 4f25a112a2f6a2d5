"""Runs a cluster of cores under random sequences of faults that hypothesis generates."""

import copy
import random
from typing import Any

from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule, run_state_machine_as_test

from features import builders, faults
from features.cluster import Cluster, Node
from features.checker import violations
from features.load import Callers

_NODES = tuple(f'n{number}' for number in range(6))
_TARGETS = ('g1-1', 'g1-2', 'g1-3')


# The seed of each sequence is derived from the source of these two classes without comments: any other change to them,
# of a name or a docstring too, makes hypothesis generate different sequences.


class HostileOrders(RuleBasedStateMachine):
    """Sessions write and read all the time; each rule changes what fails around them."""

    #: Where a write must be stored before it is acknowledged.
    acknowledge = 'replica'

    @initialize(seed=st.integers(0, 1000))
    def start(self, seed: int) -> None:
        """Start six instances and eight sessions; messages are late, doubled and overtake each other."""
        plain = builders.plain_text(acknowledge=self.acknowledge)
        plain['services']['db']['read_age_ms'] = 3000
        for name in ('acme', 'bolt'):
            plain['organisations'][name] = builders.organisation(name, 'g1', 60, 30)
        self.cluster = Cluster(plain, seed=seed)
        for number, name in enumerate(_NODES):
            drift = (number % 3 - 1) * self.cluster.timing.drift * 0.9
            self.cluster.add(name, builders.DATA_CENTRES[number % 4], drift)
        self.cluster.run(4)
        self.names = {name: name for name in _NODES}
        self.cluster.disorder = random.Random(seed)
        self.callers = Callers(self.cluster, 10, 0.06, seed)
        for session in self.callers.sessions:
            # Short timeouts let the sessions send more requests while much of the fleet is unreachable.
            session.timeout_s = 1.0

    @rule(seconds=st.sampled_from((0.05, 0.3, 1.0, 2.5)))
    def time_passes(self, seconds: float) -> None:
        """Let the fleet act."""
        self.cluster.run(seconds)

    @rule(name=st.sampled_from(_TARGETS))
    def target_crashes(self, name: str) -> None:
        """Take a target down, or bring it back if it is down or another is."""
        is_other_down = any(target.is_down for target in self.cluster.targets.values())
        self.cluster.targets[name].is_down = not is_other_down

    @rule(lag_s=st.sampled_from((0.0, 0.0, 1.5)), lagging=st.sampled_from(_TARGETS))
    def primary_crashes(self, lag_s: float, lagging: str) -> None:
        """Crash whichever target leads, perhaps while another one is behind."""
        self._mend_targets()
        self.cluster.targets[lagging].lag_s = lag_s
        self.cluster.run(lag_s)
        faults.crash_primary(self.cluster)

    @rule(places=st.sets(st.sampled_from(builders.DATA_CENTRES), min_size=2))
    def primary_is_cut_off(self, places: set[str]) -> None:
        """Cut off whichever target leads; it goes on in the data centres that still reach it."""
        self._mend_targets()
        target = self.cluster.targets[faults.primary(self.cluster)]
        target.is_isolated = True
        target.cut = places

    @rule()
    def everything_works_again(self) -> None:
        """Mend the network, the platform and the targets."""
        faults.heal(self.cluster)

    def _node(self, name: str) -> Node:
        return self.cluster.nodes[self.names[name]]

    def _mend_targets(self) -> None:
        for target in self.cluster.targets.values():
            target.is_down = target.is_isolated = False
            target.cut = set()
            target.lag_s = 0.0

    @rule(name=st.sampled_from(_TARGETS), places=st.sets(st.sampled_from(builders.DATA_CENTRES)))
    def target_is_cut_off(self, name: str, places: set[str]) -> None:
        """Cut a target off from its group and from some data centres."""
        self.cluster.targets[name].is_isolated = bool(places)
        self.cluster.targets[name].cut = places

    @rule(name=st.sampled_from(_TARGETS), seconds=st.sampled_from((0.0, 0.4, 2.0)))
    def replica_lags(self, name: str, seconds: float) -> None:
        """Let a target take the log late."""
        self.cluster.targets[name].lag_s = seconds

    @rule(name=st.sampled_from(_NODES), seconds=st.sampled_from((0.5, 3.0, 8.0)))
    def instance_is_paused(self, name: str, seconds: float) -> None:
        """Pause an instance, past its leases perhaps."""
        node = self._node(name)
        if not node.is_paused and not node.is_dead:
            node.is_paused = True
            self.cluster.after(seconds, node.resume)

    @rule(name=st.sampled_from(_NODES))
    def instance_is_replaced(self, name: str) -> None:
        """Kill an instance and start another in its place."""
        old = self._node(name)
        old.is_dead = True
        # Each process start is a new instance with a new name and without the state of the one that it replaces.
        self.names[name] = f'{name}-{len(self.cluster.nodes)}'
        self.cluster.add(self.names[name], old.data_centre)

    @rule(left=st.sampled_from(builders.DATA_CENTRES), right=st.sampled_from(builders.DATA_CENTRES))
    def data_centres_lose_each_other(self, left: str, right: str) -> None:
        """Cut or mend the link of two data centres."""
        if left != right:
            self.cluster.peer_cuts ^= {frozenset((left, right))}

    @rule(places=st.sets(st.sampled_from(builders.DATA_CENTRES)), is_down=st.booleans())
    def platform_is_cut_off(self, places: set[str], *, is_down: bool) -> None:
        """Cut the platform off from some data centres, or take it down."""
        self.cluster.platform.cut = places
        self.cluster.platform.is_down = is_down

    @rule(count=st.integers(1, 8))
    def platform_loses_answers(self, count: int) -> None:
        """Lose answers of writes and reads that took effect."""
        self.cluster.platform.lose_answers = count

    @rule(rate=st.sampled_from((20, 40, 60)))
    def limit_is_changed(self, rate: int) -> None:
        """Apply a text with a lower or restored limit."""
        plain = copy.deepcopy(self.cluster.plain)
        plain['organisations']['acme'].update(rate_per_s=rate, burst=rate // 2)
        self.cluster.apply(plain)

    @rule(name=st.sampled_from(_TARGETS))
    def primary_is_moved(self, name: str) -> None:
        """Apply a text that names another primary."""
        plain = copy.deepcopy(self.cluster.plain)
        plain['services']['db']['groups']['g1']['primary'] = name
        self.cluster.apply(plain)

    def teardown(self) -> None:
        """Mend everything, let the callers finish, and judge."""
        if not hasattr(self, 'callers'):
            return
        self.cluster.disorder = None
        faults.heal(self.cluster)
        self._mend_targets()
        self.cluster.run(5)
        self.callers.is_on = False
        self.cluster.run(9)
        found = [line for line in violations(self.callers.history()) if self._is_broken(line)]
        assert not found, found[:5]

    def _is_broken(self, line: str) -> bool:
        """A primary that acknowledges alone may lose its last writes; that is the operators' choice."""
        return self.acknowledge == 'replica' or 'is lost' not in line


class HostileOrdersAtPrimary(HostileOrders):
    """The same with acknowledgement at the primary alone."""

    acknowledge = 'primary'


def run(machine: type[RuleBasedStateMachine], examples: int, steps: int, *, shrink: bool = True) -> None:
    """Run a state machine with the same sequences of faults each time.

    :param machine: The state machine.
    :param examples: Number of sequences.
    :param steps: Largest number of rules in a sequence.
    :param shrink: Whether a failing sequence is shortened before it is reported.
    """
    chosen: Any = settings(
        derandomize=True,
        database=None,
        deadline=None,
        max_examples=examples,
        stateful_step_count=steps,
        suppress_health_check=list(HealthCheck),
        print_blob=False,
        phases=(Phase.generate, Phase.shrink) if shrink else (Phase.generate,),
    )
    run_state_machine_as_test(machine, settings=chosen)  # type: ignore[no-untyped-call]
