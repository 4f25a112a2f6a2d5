"""Chooses the target to promote when a primary is replaced."""

import dataclasses
from collections.abc import Iterable

from fescuequay_core.relay.model import LogPosition, TargetDescription, TargetReport


@dataclasses.dataclass(frozen=True, slots=True)
class PromotionCandidate:
    """A target that may be promoted.

    :param target: Its registry entry.
    :param report: Its latest status.
    :param is_leaving: Whether it is draining, or its data centre is evacuated.
    """

    target: TargetDescription
    report: TargetReport
    is_leaving: bool


def choose(candidates: Iterable[PromotionCandidate], *, can_catch_up: bool) -> PromotionCandidate | None:
    """Choose the most advanced candidate; while it can still catch up, one that is not leaving is preferred.

    :param candidates: Targets that answered.
    :param can_catch_up: Whether the old primary answers, so that every replica will receive its whole log.
    :returns: The best one, or nothing.
    """

    def preference(candidate: PromotionCandidate) -> tuple[bool, LogPosition, bool, float, str]:
        is_staying = not candidate.is_leaving
        return (
            can_catch_up and is_staying,
            candidate.report.position,
            is_staying,
            -candidate.report.lag_s,
            candidate.target.target,
        )

    return max(candidates, key=preference, default=None)


def has_caught_up(candidate: PromotionCandidate, last: LogPosition | None) -> bool:
    """:returns: Whether a candidate has received all that the old primary had when it was demoted."""
    return last is None or candidate.report.position >= last
