"""Settles a new era of the table: which leader records hold, and which need evidence from the targets.

Whoever settles an era knows that no coordinator of an earlier era acts any more. It may still not know what the last
one did, since the table may have lost that too.
"""

import dataclasses
from collections.abc import Iterable, Mapping
from typing import Final

from fescuequay_core.relay.model import LeaderRecord, TargetReport
from fescuequay_core.relay.permits import Permits
from fescuequay_core.types import Instant, LeaderState, Role, ServiceId, TargetId

#: Cause of a closing record of which the settling instance does not know whether it was still the newest.
ERA_CAUSE: Final = 'new era of the table'

#: Time after which a promotion that a coordinator of an earlier era requested last has taken effect, in seconds. The
#: slowest promotion takes one second.
PROMOTION_EFFECT_S: Final = 1.0


def settle(
    known: Iterable[LeaderRecord], permits: Permits, now: Instant, *, is_holder: bool
) -> tuple[LeaderRecord, ...]:
    """Return the leader records with which a new era begins.

    :param known: Records from memory and from the table's copy; several of one service are allowed.
    :param permits: This instance's permits.
    :param now: Present time.
    :param is_holder: Whether this instance has held the lease without a break and knows every record.
    :returns: One record a service. One that may not be the newest is closing, so that nobody acts on it: a coordinator
        requests a promotion only after all permits of the closed term, so a live one proves that there was none.
    """
    newest: dict[ServiceId, LeaderRecord] = {}
    for record in known:
        if record.service not in newest or record.version > newest[record.service].version:
            newest[record.service] = record
    return tuple(
        record
        if is_holder or record.state is LeaderState.CLOSING or permits.leader(record.service, now) == record
        else dataclasses.replace(record, state=LeaderState.CLOSING, cause=ERA_CAUSE)
        for record in newest.values()
    )


def is_still_leading(
    closing: LeaderRecord, registered: Iterable[TargetId], reports: Mapping[TargetId, TargetReport]
) -> bool:
    """Check with the targets whether the recorded primary was never replaced.

    :param closing: The record in doubt.
    :param registered: All targets of the service.
    :param reports: What they report, asked after any promotion of the earlier era has taken effect.
    :returns: Whether all of them have answered, the recorded one leads its term and none knows a later term.
    """
    primary = reports.get(closing.target)
    return (
        primary is not None
        and primary.role is Role.PRIMARY
        and all(target in reports for target in registered)
        and all(report.term <= closing.term for report in reports.values())
    )
