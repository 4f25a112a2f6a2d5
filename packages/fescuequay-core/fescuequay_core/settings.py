"""Timings and limits of one instance, all with safe defaults."""

from typing import Annotated

import msgspec

_Seconds = Annotated[float, msgspec.Meta(gt=0, le=86_400)]


class Timing(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Intervals and bounds, in seconds unless the name says otherwise.

    :param tick_s: Interval of the internal timer.
    :param fleet_poll_s: Interval of reads of the fleet record.
    :param members_poll_s: Interval of reads of the platform's instance list.
    :param heartbeat_s: Interval of heartbeats to peers.
    :param heartbeat_fanout: Peers that get a heartbeat each interval.
    :param peer_timeout_s: Silence after which a peer gets no forwards.
    :param probe_s: Interval of status probes of each target.
    :param idle_probe_s: The same at a host that neither watches the group closely nor has requests for it.
    :param probe_timeout_s: Longest wait for a status.
    :param permit_s: Age of the fleet record up to which a primary may acknowledge alone.
    :param suspect_after_s: Silence of a primary after which its group looks for another.
    :param takeover_after_s: Stay of a promotion in one step after which another instance takes over.
    :param fence_retry_s: Interval of repeated fence and promote requests.
    :param drift: Largest error of the rate of one clock, as a part of it.
    :param queue_wait_s: Longest wait of a request for a connection or a primary.
    :param replica_wait_s: Longest wait of a read for a replica to catch up.
    :param seat_lease_s: Time a seat is kept without renewal.
    :param seat_renew_s: Interval of seat renewals.
    :param floor_lease_s: Time a cut-off holder keeps the floor of its seat without renewal.
    :param floor: Part of a seat's allotments that stays with a cut-off holder.
    :param loan_s: Length of a loan between peers.
    :param loan_wait_s: Longest wait of a request for a loan.
    :param transaction_idle_s: Idle time after which an interactive transaction is rolled back.
    :param drain_s: Longest graceful stop.
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
        """Tell how long to wait here until a duration has surely passed on every other clock.

        :param duration_s: The duration.
        :returns: The longer duration on this instance's clock.
        """
        return duration_s * (1 + self.drift) / (1 - self.drift)


class Identity(msgspec.Struct, frozen=True):
    """Who one instance is.

    :param instance: Its id, new with each start.
    :param data_centre: Its data centre.
    :param peer_address: IP number and port of its peer listener.
    :param caller_address: IP number and port of its callers' listener.
    """

    instance: str
    data_centre: str
    peer_address: str
    caller_address: str
