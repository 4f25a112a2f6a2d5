"""Answer times of a target relative to those of the same kind of work without a queue."""

from collections.abc import Hashable
from typing import Final

#: Weight of the latest answer in the undisturbed time of its kind of work.
_TIME_WEIGHT: Final = 0.1

#: Answers from which on the undisturbed time of a kind is known; the first ones are averaged.
_ENOUGH_ANSWERS: Final = 4

#: Kinds of work that are told apart at a target; further ones share one time.
_MAX_KINDS: Final = 64

#: Single answers count at most as this multiple of the undisturbed time, since a few statements do many times the work
#: of their kind.
_MAX_RATIO: Final = 4.0


class AnswerTimes:
    """Undisturbed answer time by kind of work, so that heavier work is not taken for a slower target."""

    def __init__(self) -> None:
        self._mean_s_by_kind: dict[Hashable, tuple[float, int]] = {}

    def record(self, kind: Hashable, took_s: float, *, is_quiet: bool) -> float | None:
        """Compare an answer with the undisturbed time of its kind, and learn from it.

        :param kind: Kind of work.
        :param took_s: Time of the answer, in seconds.
        :param is_quiet: Whether nothing else can have made it wait, so that it shows the undisturbed time.
        :returns: Multiple of the undisturbed time; nothing while that is unknown.
        """
        if kind not in self._mean_s_by_kind and len(self._mean_s_by_kind) >= _MAX_KINDS:
            kind = None
        mean_s, count = self._mean_s_by_kind.get(kind, (0.0, 0))
        is_known = count >= _ENOUGH_ANSWERS and mean_s > 0
        ratio = min(took_s / mean_s, _MAX_RATIO) if is_known else None
        if is_quiet:
            # A kind's first answers count alike; later ones are bounded like the ratio.
            counted_s = took_s if ratio is None else ratio * mean_s
            mean_s += max(1 / (count + 1), _TIME_WEIGHT) * (counted_s - mean_s)
            self._mean_s_by_kind[kind] = (mean_s, count + 1)
        return ratio
