"""Configurations that the operator of the soak test writes."""

from typing import Any, Final

from features.soak.callers import MAX_STALENESS_S
from features.soak.databases import Service

#: Database of the route that accepts data of some age.
BOUNDED_HOST: Final = 'bounded'

_MS_PER_S: Final = 1000


def make_configuration(services: list[Service], version: int = 1) -> dict[str, Any]:
    """:returns: A configuration that has one route more, named after its version."""
    routes: list[dict[str, Any]] = [
        {
            'name': f'r-{host}',
            'host': host,
            'route_type': 'primary',
            'service': service,
            'timeout_ms': 1000,
            'target_latency_ms': 400,
        }
        for host, service in (
            *((service.name, service.name) for service in services),
            (f'added-{version}', services[0].name),
            (BOUNDED_HOST, services[-1].name),
        )
    ]
    routes[-1].update(route_type='bounded_staleness', max_staleness_ms=int(MAX_STALENESS_S * _MS_PER_S))
    return {
        'version': version,
        'routes': routes,
        'services': [{'name': service.name, 'max_conns': 200, 'sync_replicas': 0} for service in services],
        'tenants': [{'name': 'org', 'api_keys': ['secret'], 'rate_per_s': 5000, 'burst': 5000}],
        'limits': {'tx_idle_ms': 3000},
    }
