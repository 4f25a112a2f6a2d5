"""Faults in a cluster, by the phrases of the feature files."""

from collections.abc import Callable

from features.cluster import Cluster, Node

#: Injects a fault into a running cluster.
Fault = Callable[[Cluster], None]


def primary(cluster: Cluster, group: str = 'g1') -> str:
    """:returns: The primary of a group according to the fleet record."""
    assert cluster.platform.record is not None
    return str(cluster.platform.record.leaders[group].target)


def crash_primary(cluster: Cluster) -> None:
    """Crash the primary."""
    cluster.targets[primary(cluster)].is_down = True


def isolate_primary(cluster: Cluster) -> None:
    """Partition the primary from its group and from all other data centres."""
    target = cluster.targets[primary(cluster)]
    target.is_isolated = True
    target.cut = {'dc-b', 'dc-c', 'dc-d'}


def isolate_primary_with_its_data_centre(cluster: Cluster) -> None:
    """Partition the whole data centre of the primary; its instances still reach the primary."""
    isolate_primary(cluster)
    cluster.platform.cut = {'dc-a'}
    cluster.peer_cuts = {frozenset(('dc-a', other)) for other in ('dc-b', 'dc-c', 'dc-d')}
    for name, target in cluster.targets.items():
        if name != primary(cluster):
            target.cut = {'dc-a'}


def heal(cluster: Cluster) -> None:
    """Repair all links, all targets and the platform."""
    cluster.platform.cut = set()
    cluster.platform.is_down = False
    cluster.platform.delay_s = 0.0
    cluster.peer_cuts = set()
    for target in cluster.targets.values():
        target.cut = set()
        target.is_down = target.is_isolated = False


def lag_replicas(cluster: Cluster) -> None:
    """Let both replicas lag by more than a second."""
    for name, target in cluster.targets.items():
        if name != primary(cluster):
            target.lag_s = 1.2


def _kill(node: Node) -> None:
    node.is_dead = True


def _pause(node: Node) -> None:
    node.is_paused = True
    node.cluster.after(6.0, node.resume)


def at_step(incident: str, action: Callable[[Node], None]) -> Fault:
    """:returns: A crash of the primary in which the promoting instance suffers a fault right after a step."""

    def fault(cluster: Cluster) -> None:
        cluster.hooks.setdefault(incident, []).append(action)
        crash_primary(cluster)

    return fault


def _pause_instances_of_first_data_centre(cluster: Cluster) -> None:
    isolate_primary(cluster)
    for node in cluster.nodes.values():
        if node.data_centre == 'dc-a':
            _pause(node)


def _platform_down(cluster: Cluster) -> None:
    cluster.platform.is_down = True


def _platform_down_for(seconds: float, other_fault: Fault) -> Fault:
    def fault(cluster: Cluster) -> None:
        cluster.platform.is_down = True
        cluster.after(seconds, lambda: heal_platform(cluster))
        other_fault(cluster)

    return fault


def heal_platform(cluster: Cluster) -> None:
    """End an outage of the platform."""
    cluster.platform.is_down = False


def _lose_answers(cluster: Cluster) -> None:
    cluster.platform.lose_answers = 6
    crash_primary(cluster)


def _slow_platform(cluster: Cluster) -> None:
    cluster.platform.delay_s = 0.4
    crash_primary(cluster)


def _crash_twice(cluster: Cluster) -> None:
    first = primary(cluster)
    crash_primary(cluster)

    def again() -> None:
        cluster.targets[first].is_down = False
        cluster.after(1.0, lambda: crash_primary(cluster))

    cluster.after(4.0, again)


def _kill_instances(cluster: Cluster) -> None:
    for name in ('n1', 'n4'):
        _kill(cluster.nodes[name])


def _nothing(cluster: Cluster) -> None:
    """Inject no fault."""


FAULTS: dict[str, Fault] = {
    'nothing happens': _nothing,
    'the primary crashes': crash_primary,
    'the primary is cut off while it still leads': isolate_primary,
    'the primary is cut off with its data centre': isolate_primary_with_its_data_centre,
    'the primary is cut off and instances beside it are paused': _pause_instances_of_first_data_centre,
    'the primary crashes while replicas are far behind': lambda cluster: (
        lag_replicas(cluster),
        crash_primary(cluster),
    )[-1],
    'the promoter dies after closing the term': at_step('promotion_began', _kill),
    'the promoter dies after fencing': at_step('target_fenced', _kill),
    'the promoter dies after promoting': at_step('target_promoted', _kill),
    'the promoter is paused after closing the term': at_step('promotion_began', _pause),
    'the promoter is paused after fencing': at_step('target_fenced', _pause),
    'the promoter is paused after promoting': at_step('target_promoted', _pause),
    'the platform loses answers during the failover': _lose_answers,
    'the platform is slow during the failover': _slow_platform,
    'the platform is down for 2 s of the failover': _platform_down_for(2.0, crash_primary),
    'the platform goes down': _platform_down,
    'the primary fails twice': _crash_twice,
    'two instances die': _kill_instances,
}
