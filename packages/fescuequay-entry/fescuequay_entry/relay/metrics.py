"""Prometheus metrics of an instance; the configuration bounds the number of label values."""

import dataclasses
from typing import Final

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

from fescuequay_core.relay.model import StatementKind

_BUCKETS_S: Final = (0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2)


@dataclasses.dataclass(slots=True)
class QueueTotals:
    """What statements of one priority met when they waited for targets.

    :param waiting: Statements that wait now.
    :param served: Statements whose turn came.
    :param displaced: Statements that were refused because others went first.
    :param waited_s: Total wait of those whose turn came, in seconds.
    """

    waiting: int = 0
    served: int = 0
    displaced: int = 0
    waited_s: float = 0.0


class QueueStatistics:
    """Totals of the statements that wait for targets, by priority."""

    def __init__(self) -> None:
        self.totals_by_priority: dict[int, QueueTotals] = {}

    def enter(self, priority: int) -> None:
        """Record that a statement waits."""
        self.totals_by_priority.setdefault(priority, QueueTotals()).waiting += 1

    def leave(self, priority: int, waited_s: float, *, has_turn: bool) -> None:
        """Record that a statement no longer waits, since its turn has come or it was refused."""
        totals = self.totals_by_priority[priority]
        totals.waiting -= 1
        totals.served += int(has_turn)
        totals.displaced += int(not has_turn)
        totals.waited_s += waited_s if has_turn else 0.0


class GatewayMetrics:
    """Counters of what gateways do for other instances.

    :param registry: Where they are registered.
    """

    def __init__(self, registry: CollectorRegistry) -> None:
        self.hops = Counter(
            'fescuequay_hops_total', 'Requests to gateways by outcome.', ('outcome',), registry=registry
        )
        self.asked = Counter(
            'fescuequay_gateway_requests_total',
            'Requests of other instances to this gateway by outcome.',
            ('outcome',),
            registry=registry,
        )
        self.held = Gauge(
            'fescuequay_gateway_connections', 'Open connections of this instance to targets.', registry=registry
        )
        self.lent = Gauge(
            'fescuequay_gateway_leases', 'Connections that transactions of other instances use.', registry=registry
        )
        self.wait = Histogram(
            'fescuequay_gateway_wait_seconds',
            'Time for which requests of other instances waited for a connection.',
            buckets=_BUCKETS_S,
            registry=registry,
        )


class RelayMetrics:
    """Counters, gauges and histograms of an instance, in a registry of its own."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.latency = Histogram(
            'fescuequay_statement_seconds',
            'Time from the arrival of a statement to its answer.',
            ('organisation',),
            buckets=_BUCKETS_S,
            registry=self.registry,
        )
        self.statements = Counter(
            'fescuequay_statements_total',
            'Statements by kind and outcome.',
            ('kind', 'outcome'),
            registry=self.registry,
        )
        self.refused = Counter('fescuequay_refused_total', 'Refusals by reason.', ('reason',), registry=self.registry)
        self.answered = Counter(
            'fescuequay_answers_total', 'Answers by the role that ran the statement.', ('role',), registry=self.registry
        )
        self.sessions = Gauge('fescuequay_sessions', 'Open sessions of callers.', registry=self.registry)
        self.record_age = Gauge(
            'fescuequay_record_age_seconds', 'Age of the oldest leader confirmation.', registry=self.registry
        )
        self.queue = Gauge(
            'fescuequay_queue',
            'Statements that waited for targets, by priority: waiting now; served, displaced and waited_s in all.',
            ('priority', 'what'),
            registry=self.registry,
        )
        self.configuration = Gauge(
            'fescuequay_configuration_version', 'Configuration in force.', registry=self.registry
        )
        self.configuration_read_age = Gauge(
            'fescuequay_configuration_read_age_seconds',
            "Time since the operators' row was last read, here or by the coordinator.",
            registry=self.registry,
        )
        self.target_limit = Gauge(
            'fescuequay_target_limit',
            'Statements that may be at a target at a time.',
            ('target',),
            registry=self.registry,
        )

        self.gateway = GatewayMetrics(self.registry)

    def record_statement(self, organisation: str, kind: StatementKind, outcome: str, took_s: float) -> None:
        """Record the outcome and duration of a statement, in seconds."""
        self.latency.labels(organisation).observe(took_s)
        self.statements.labels(kind.value, outcome).inc()

    def set_queue(self, statistics: QueueStatistics) -> None:
        """Show the totals of the waiting statements."""
        for priority, totals in statistics.totals_by_priority.items():
            for what, count in dataclasses.asdict(totals).items():
                self.queue.labels(str(priority), what).set(count)

    def text(self) -> bytes:
        """:returns: All metrics in the text exposition format."""
        return generate_latest(self.registry)
