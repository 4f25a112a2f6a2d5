"""Periodic timer of the core, as an observable on a given scheduler."""

from collections.abc import Callable

import reactivex
from reactivex import abc, operators

from fescuequay_core.events import Event, Tick


class TickTimer:
    """Posts a tick to the core at a fixed interval.

    :param scheduler: Scheduler of the timer; tests use a virtual one.
    :param tick_s: Interval of the ticks.
    :param post: Passes an event to the core.
    """

    def __init__(self, scheduler: abc.SchedulerBase, tick_s: float, post: Callable[[Event], None]) -> None:
        self._ticks = reactivex.interval(tick_s, scheduler=scheduler).pipe(operators.map(lambda _: Tick()))
        self._post = post
        self._subscription: abc.DisposableBase | None = None

    def start(self) -> None:
        """Start the timer."""
        self._subscription = self._ticks.subscribe(self._post)

    def stop(self) -> None:
        """Stop the timer."""
        if self._subscription is not None:
            self._subscription.dispose()
            self._subscription = None
