"""Log lines and metrics of one entry instance."""

import logging
import time
from typing import Final

from prometheus_client import Histogram

from fescuequay_core.commands import Incident
from fescuequay_core.core import Core
from fescuequay_core.requests import Answer, Request
from fescuequay_core.types import TargetId
from fescuequay_entry.metrics import Metrics
from fescuequay_entry.pool import Pool

_LOG: Final = logging.getLogger('fescuequay')

#: Incidents logged at debug level, because they are too frequent for the default level.
_DEBUG_LEVEL_INCIDENTS: Final = frozenset(('allotment_borrowed', 'request_refused'))


class Telemetry:
    """Records incidents and answers as log lines and metrics.

    :param metrics: Metrics of the instance.
    :param core: Core, whose state is exported as gauges.
    :param pools_by_target: Pools, whose connections are exported as gauges.
    """

    def __init__(self, metrics: Metrics, core: Core, pools_by_target: dict[TargetId, Pool]) -> None:
        self._metrics = metrics
        self._core = core
        self._pools = pools_by_target
        # Cached, because looking up a child histogram by its labels costs more than an observation.
        self._histograms: dict[tuple[str, str, str], Histogram] = {}

    def log_start(self, callers: str, peers: str) -> None:
        """Log the addresses of the listeners."""
        identity = self._core.board.identity
        _log_info('started', instance=identity.instance, data_centre=identity.data_centre, callers=callers, peers=peers)

    def record_incident(self, incident: Incident) -> None:
        """Log and count an incident."""
        self._metrics.incidents.labels(incident.name).inc()
        level = logging.DEBUG if incident.name in _DEBUG_LEVEL_INCIDENTS else logging.INFO
        if _LOG.isEnabledFor(level):
            pairs = {'subject': incident.subject, 'cause': incident.cause, **dict(incident.details)}
            _LOG.log(level, incident.name, extra={'pairs': pairs})

    def record_answer(self, request: Request, answer: Answer, elapsed_s: float) -> None:
        """Log an answer and observe its latency."""
        outcome = answer.refusal.reason.code if answer.refusal else 'ok'
        route_class = 'read' if request.is_read else 'write'
        labels = (answer.organisation or 'unknown', route_class, outcome)
        histogram = self._histograms.get(labels)
        if histogram is None:
            histogram = self._histograms[labels] = self._metrics.latency.labels(*labels)
        histogram.observe(elapsed_s)
        if request.is_read and answer.role is not None and answer.refusal is None:
            self._metrics.served.labels(answer.role.value).inc()
        if _LOG.isEnabledFor(logging.DEBUG):
            pairs = {
                'request': request.request_id,
                'route': request.route,
                'organisation': answer.organisation,
                'outcome': outcome,
                'target': answer.target or '',
                'ms': f'{elapsed_s * 1000:.1f}',
            }
            _LOG.debug('answered', extra={'pairs': pairs})

    def log_internal_fault(self, error: BaseException | None) -> None:
        """Log an unexpected exception."""
        _LOG.error('internal_fault', exc_info=error)

    def refresh_gauges(self) -> None:
        """Update the gauges; to be called before the metrics are collected."""
        now = time.monotonic()
        board = self._core.board
        self._metrics.in_flight.set(len(board.requests_by_id))
        self._metrics.view_age.set(board.view_age_s(now))
        self._metrics.fleet_version.set(board.record.version)
        for target, pool in self._pools.items():
            self._metrics.connections.labels(target).set(pool.open_count)
        for organisation, share in self._core.shares(now).items():
            self._metrics.tokens.labels(organisation).set(share[0])


def _log_info(event: str, **pairs: object) -> None:
    _LOG.info(event, extra={'pairs': pairs})
