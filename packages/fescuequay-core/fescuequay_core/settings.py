"""Timing settings of one instance, all with safe defaults, and its identity."""

from typing import Annotated

import msgspec

_Seconds = Annotated[float, msgspec.Meta(gt=0, le=86_400)]


class Timing(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Intervals, timeouts and related ratios; names that end in ``_s`` are in seconds.

    :param tick_s: Interval of the internal timer.
    :param fleet_poll_s: Interval of reads of the fleet record.
    :param members_poll_s: Interval of reads of the list of instances at the platform.
    :param heartbeat_s: Interval of heartbeats to peers.
    :param heartbeat_fanout: Number of peers that get a heartbeat in each interval.
    :param peer_timeout_s: Silence after which no requests are forwarded to a peer.
    :param probe_s: Interval of status probes of each target.
    :param idle_probe_s: The same interval at a host that neither watches the group closely nor has requests for it.
    :param probe_timeout_s: Timeout of a status probe.
    :param permit_s: Duration of a permit: age of the fleet record up to which a primary may acknowledge alone.
    :param suspect_after_s: Silence of a primary after which its group looks for another primary.
    :param takeover_after_s: Time without progress of a promotion after which another instance takes it over.
    :param fence_retry_s: Interval of repeated fence and promote requests.
    :param drift: Maximum relative rate error of one clock.
    :param queue_wait_s: Maximum wait of a request for a connection or a primary.
    :param replica_wait_s: Maximum wait of a read for a replica to catch up.
    :param seat_lease_s: Time for which a seat is kept without renewal.
    :param seat_renew_s: Interval of seat renewals.
    :param floor_lease_s: Time for which an isolated holder keeps the floor of its seat without renewal.
    :param floor: Fraction of a seat's allotments that stays with an isolated holder.
    :param loan_s: Duration of a loan between peers.
    :param loan_wait_s: Maximum wait of a request for a loan.
    :param transaction_idle_s: Idle time after which an interactive transaction is rolled back.
    :param drain_s: Maximum duration of a graceful stop.
    """

    tick_s: _Seconds = 0.05
    fleet_poll_s: _Seconds = 0.8
    members_poll_s: _Seconds = 3.0
    heartbeat_s: _Seconds = 0.6
    heartbeat_fanout: Annotated[int, msgspec.Meta(ge=1, le=32)] = 3
    peer_timeout_s: _Seconds = 3.0
    probe_s: _Seconds = 0.3
    idle_probe_s: _Seconds = 5.0
    probe_timeout_s: _Seconds = 0.5
    permit_s: _Seconds = 2.0
    suspect_after_s: _Seconds = 1.0
    takeover_after_s: _Seconds = 1.5
    fence_retry_s: _Seconds = 0.2
    drift: Annotated[float, msgspec.Meta(ge=0, le=0.1)] = 0.002
    queue_wait_s: _Seconds = 4.0
    replica_wait_s: _Seconds = 0.05
    seat_lease_s: _Seconds = 15.0
    seat_renew_s: _Seconds = 5.0
    floor_lease_s: _Seconds = 7200.0
    floor: Annotated[float, msgspec.Meta(gt=0, lt=1)] = 0.25
    loan_s: _Seconds = 2.0
    loan_wait_s: _Seconds = 0.15
    transaction_idle_s: _Seconds = 10.0
    drain_s: _Seconds = 20.0

    def drift_safe_s(self, duration_s: float) -> float:
        """Extend a duration by the clock drift, so that it has certainly passed on every other clock.

        :param duration_s: The duration, as any other clock measures it.
        :returns: The duration to wait on this instance's clock.
        """
        return duration_s * (1 + self.drift) / (1 - self.drift)


class Identity(msgspec.Struct, frozen=True):
    """Identity of one instance.

    :param instance: Its id, which changes with each start.
    :param data_centre: Its data centre.
    :param peer_address: IP address and port of its listener for peers.
    :param caller_address: IP address and port of its listener for callers.
    """

    instance: str
    data_centre: str
    peer_address: str
    caller_address: str
