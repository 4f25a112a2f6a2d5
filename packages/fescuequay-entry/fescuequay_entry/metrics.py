"""Prometheus metrics of one instance; the configuration text limits the number of label values."""

from typing import Final

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

_LATENCY_BUCKETS_S: Final = (0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0)


class Metrics:
    """Metrics of one instance, in a separate registry."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.latency = Histogram(
            'fescuequay_request_seconds',
            'Time from the arrival of a request to its answer.',
            ('organisation', 'route_class', 'outcome'),
            buckets=_LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.served = Counter(
            'fescuequay_reads_total', 'Reads by the role that served them.', ('role',), registry=self.registry
        )
        self.incidents = Counter(
            'fescuequay_incidents_total', 'Events that the instance recorded.', ('name',), registry=self.registry
        )
        self.in_flight = Gauge(
            'fescuequay_requests_in_flight', 'Requests that wait for their answer.', registry=self.registry
        )
        self.view_age = Gauge(
            'fescuequay_view_age_seconds', 'Age of the latest confirmation of the fleet record.', registry=self.registry
        )
        self.fleet_version = Gauge(
            'fescuequay_fleet_version', 'Version of the fleet record in force.', registry=self.registry
        )
        self.connections = Gauge(
            'fescuequay_target_connections', 'Open connections by target.', ('target',), registry=self.registry
        )
        self.tokens = Gauge(
            'fescuequay_allotment_rate',
            'Refill rate of the local allotment per second.',
            ('organisation',),
            registry=self.registry,
        )

    def exposition(self) -> bytes:
        """:returns: The metrics in Prometheus' text exposition format."""
        return generate_latest(self.registry)
