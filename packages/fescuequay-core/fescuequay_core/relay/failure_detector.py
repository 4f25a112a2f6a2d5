"""Decides from the observations of all instances whether a primary has to be replaced."""

import dataclasses
import enum
from collections.abc import Iterable
from typing import Final

#: Silence after which an instance counts as having lost the primary, in seconds: longer than a fully loaded target
#: takes to answer a probe, and shorter than a statement's time limit.
SILENCE_TIMEOUT_S: Final = 0.7

#: The same for a primary whose address refuses connections, because no process listens there, in seconds.
REFUSED_TIMEOUT_S: Final = 0.25

#: Share of the instances that must have lost the primary before it is replaced although others reach it.
_PARTITION_SHARE: Final = 0.3

#: Time for which these instances must have lost it, in seconds.
_PARTITION_S: Final = 1.0

#: Number of exchange intervals within which every instance in contact has reported once.
_REPORT_INTERVALS: Final = 1.2


class PrimaryStatus(enum.Enum):
    """State of a primary according to all observations."""

    ALIVE = 'alive'
    DEAD = 'dead'
    PARTITIONED = 'cut'


@dataclasses.dataclass(frozen=True, slots=True)
class Observation:
    """What one instance sees of a primary.

    :param failing_s: Time since the first failure without an answer after it; nothing when it answers.
    :param is_refusing: Whether connections are refused.
    :param has_answered: Whether it answered anything during the last second.
    :param reaches_others: Whether another target of the service did; otherwise a change of primary does not help.
    """

    failing_s: float | None
    is_refusing: bool
    has_answered: bool
    reaches_others: bool

    def has_lost_primary(self) -> bool:
        """:returns: Whether the instance has been without the primary for long enough."""
        if self.failing_s is None:
            return False
        return self.failing_s >= (REFUSED_TIMEOUT_S if self.is_refusing else SILENCE_TIMEOUT_S)

    def reaches_primary(self) -> bool:
        """:returns: Whether the primary answered the instance lately and has not failed it since."""
        return self.failing_s is None and self.has_answered


@dataclasses.dataclass(frozen=True, slots=True)
class PeerReport:
    """Latest observation reported by another instance.

    :param observation: Its observation.
    :param age_s: Time since it arrived.
    """

    observation: Observation
    age_s: float

    def is_current(self, failing_s: float, exchange_interval_s: float) -> bool:
        """Check whether the report still counts after the coordinator lost the primary.

        Instances that failed together with the primary stop reporting, and their last report says that they reach it.

        :param failing_s: Time since the coordinator's own probes began to fail.
        :param exchange_interval_s: Time between two exchanges.
        :returns: Whether it is newer than that, or the instance's next report is not due yet.
        """
        return self.age_s <= max(failing_s, _REPORT_INTERVALS * exchange_interval_s)


def evaluate(own: Observation, others: Iterable[PeerReport], exchange_interval_s: float) -> PrimaryStatus:
    """Evaluate the observations.

    :param own: What the coordinator itself sees, from its own probes.
    :param others: Latest reports of the other instances.
    :param exchange_interval_s: Time between two exchanges of one instance.
    :returns: Dead when no instance reaches it and the coordinator's own probes fail; partitioned when many don't.
    """
    reports = list(others)
    observations = [own, *(report.observation for report in reports)]
    lost = [observation for observation in observations if observation.has_lost_primary()]
    reaching = [observation for observation in observations if observation.reaches_primary()]
    if own.has_lost_primary():
        present = (report for report in reports if report.is_current(own.failing_s or 0, exchange_interval_s))
        if not any(report.observation.reaches_primary() for report in present):
            return PrimaryStatus.DEAD
    lasting = [
        observation
        for observation in lost
        if observation.reaches_others and (observation.failing_s or 0) >= _PARTITION_S
    ]
    if len(lasting) > 1 and len(lasting) > _PARTITION_SHARE * (len(lasting) + len(reaching)):
        return PrimaryStatus.PARTITIONED
    return PrimaryStatus.ALIVE
