"""The slow streams, as observables on a scheduler that the host chooses."""

from collections.abc import Callable

import reactivex
from reactivex import abc, operators

from fescuequay_core.events import Event, Tick


class TickTimer:
    """Feeds the core from the internal timer; a test gives a virtual scheduler.

    :param scheduler: Scheduler of the timer.
    :param tick_s: Interval of the timer.
    :param post: Gives the core an event.
    """

    def __init__(self, scheduler: abc.SchedulerBase, tick_s: float, post: Callable[[Event], None]) -> None:
        self._ticks = reactivex.interval(tick_s, scheduler=scheduler).pipe(operators.map(lambda _: Tick()))
        self._post = post
        self._subscription: abc.DisposableBase | None = None

    def start(self) -> None:
        """Subscribe; events flow from now on."""
        self._subscription = self._ticks.subscribe(self._post)

    def stop(self) -> None:
        """End every stream."""
        if self._subscription is not None:
            self._subscription.dispose()
            self._subscription = None
