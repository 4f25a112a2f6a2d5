"""Budget of the statements that are repeated or hedged, so that an overload is not multiplied."""

from typing import Final

from fescuequay_core.types import TargetId

#: Part of a target's statements that may be repeated.
_REPEATED_SHARE: Final = 0.1

#: Statements that may be repeated at once after a calm time, and at first.
_MOST_SAVED: Final = 10.0


class RepeatBudget:
    """Counts the statements of one target, and how many more of them may be repeated."""

    def __init__(self) -> None:
        self._saved = _MOST_SAVED

    def record_statement(self) -> None:
        """Record a statement that is sent for the first time."""
        self._saved = min(self._saved + _REPEATED_SHARE, _MOST_SAVED)

    def spend(self) -> bool:
        """:returns: Whether a statement may be repeated; it is then charged."""
        if self._saved < 1:
            return False
        self._saved -= 1
        return True


class RepeatBudgets:
    """Budgets of the targets whose connections are scarce."""

    def __init__(self) -> None:
        self._budgets_by_target: dict[TargetId, RepeatBudget] = {}

    def of(self, target: TargetId) -> RepeatBudget:
        """:returns: The budget of a target."""
        return self._budgets_by_target.setdefault(target, RepeatBudget())
