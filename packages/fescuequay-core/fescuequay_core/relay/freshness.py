"""Positions of primaries at known times, from which the position that a read requires is chosen."""

import collections
import dataclasses
from typing import Final

from fescuequay_core.relay.model import LogPosition, Route
from fescuequay_core.types import Instant, ServiceId, Term

#: Least time between two samples that are kept, in seconds; closer samples hardly improve the choice of a replica.
_SPACING_S: Final = 0.05

#: Samples kept for a service: 3.2 s at the spacing above. Reads that accept older
#: data are treated as if they accepted only this age.
_MAX_SAMPLES: Final = 64


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """Position that a primary had reached.

    It stays true when the primary is replaced: what was acknowledged before ``at`` is up to the position in the log of
    any later primary, or was rolled back.

    :param at: Time by which it had certainly reached the position: when it was asked, under a permit valid then.
    :param position: The position; it contains every commit that was acknowledged before ``at``.
    """

    at: Instant
    position: LogPosition


@dataclasses.dataclass(frozen=True, slots=True)
class RequiredPosition:
    """Position that a replica must have reached to serve a read, and the sample on which that rests.

    :param position: The position.
    :param since: Time by which the primary had certainly reached it; infinite if that is not known.
    :param sample: Sample that covers the commits that the read must see.
    :param term: Term of the leader record under which the sample was taken.
    """

    position: LogPosition
    since: Instant
    sample: Sample
    term: Term


class Samples:
    """Samples of each service's primary in its present term."""

    def __init__(self) -> None:
        self._terms_by_service: dict[ServiceId, Term] = {}
        self._samples_by_service: dict[ServiceId, collections.deque[Sample]] = {}
        self._needed_at_by_service: dict[ServiceId, Instant] = {}

    def record(self, service: ServiceId, term: Term, sample: Sample) -> None:
        """Record a sample.

        :param service: The service.
        :param term: Term of the leader record under whose permit the primary was asked.
        :param sample: Its position. The caller has checked that the permit was valid when it asked: a transaction that
            is still open on a replaced primary tells nothing of what its successor has acknowledged.
        """
        known = self._terms_by_service.get(service)
        if known is not None and term < known or sample.position.term > term:
            return
        if known != term:
            self._terms_by_service[service] = term
            self._samples_by_service[service] = collections.deque(maxlen=_MAX_SAMPLES)
        samples = self._samples_by_service[service]
        if not samples or sample.at >= samples[-1].at + _SPACING_S:
            samples.append(sample)

    def newest(self, service: ServiceId) -> tuple[Term, Sample] | None:
        """:returns: The newest sample and its term."""
        samples = self._samples_by_service.get(service)
        return (self._terms_by_service[service], samples[-1]) if samples else None

    def needed_since(self, not_before: Instant) -> tuple[ServiceId, ...]:
        """:returns: The services of which a position has been needed since a given time."""
        return tuple(service for service, at in self._needed_at_by_service.items() if at >= not_before)

    def oldest_since(self, service: ServiceId, not_before: Instant) -> Sample | None:
        """Find the least position that holds every commit acknowledged before a given time.

        :param service: The service.
        :param not_before: That time.
        :returns: The oldest sample that is new enough, or none.
        """
        for sample in self._samples_by_service.get(service, ()):
            if sample.at >= not_before:
                return sample
        return None

    def required_position(
        self, route: Route, session_position: LogPosition | None, began_at: Instant
    ) -> RequiredPosition | None:
        """Determine which position a replica must have reached to serve a read.

        :param route: Route of the read.
        :param session_position: Latest commit of the same session.
        :param began_at: When the read, or its transaction, arrived.
        :returns: The position, or none when only the primary may serve.
        """
        self._needed_at_by_service[route.service] = began_at
        sample = self.oldest_since(route.service, began_at - route.staleness_s)
        if sample is None or route.staleness_s <= 0:
            return None
        term = self._terms_by_service[route.service]
        # A session's position of an earlier term may have been rolled back; what was kept lies before this term.
        if session_position is None or session_position.term < term or session_position <= sample.position:
            return RequiredPosition(sample.position, sample.at, sample, term)
        return RequiredPosition(session_position, float('inf'), sample, term)
