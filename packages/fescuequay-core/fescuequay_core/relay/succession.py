"""Chooses the target that takes over from a primary."""

import dataclasses
from collections.abc import Iterable

from fescuequay_core.relay.model import LogPosition, TargetDescription, TargetReport


@dataclasses.dataclass(frozen=True, slots=True)
class Heir:
    """A target that may take over.

    :param target: Its registry entry.
    :param report: Its latest status.
    """

    target: TargetDescription
    report: TargetReport


def choose(heirs: Iterable[Heir], *, can_catch_up: bool) -> Heir | None:
    """Choose the one that has received most; one that stays goes first while it can still catch up.

    :param heirs: Targets that answered.
    :param can_catch_up: Whether the old primary answers, so that every replica will receive its whole log.
    :returns: The best one, or nothing.
    """

    def merit(heir: Heir) -> tuple[bool, LogPosition, bool, float, str]:
        is_staying = not heir.target.is_draining
        return can_catch_up and is_staying, heir.report.position, is_staying, -heir.report.lag_s, heir.target.target

    return max(heirs, key=merit, default=None)


def has_caught_up(heir: Heir, last: LogPosition | None) -> bool:
    """:returns: Whether an heir has received all that the old primary had when it was demoted."""
    return last is None or heir.report.position >= last
