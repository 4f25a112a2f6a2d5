"""Passes events to the controllers and collects their commands."""

import collections
import random
from collections.abc import Iterator

from fescuequay_core.admission import AdmissionController
from fescuequay_core.blackboard import Blackboard
from fescuequay_core.commands import Command, Incident, Stopped
from fescuequay_core.controller import Handler
from fescuequay_core.events import Event, StopRequested, Tick
from fescuequay_core.fleet_controller import FleetController
from fescuequay_core.journal import Journal
from fescuequay_core.leadership import LeadershipController
from fescuequay_core.limits import LimitController
from fescuequay_core.membership import MembershipController
from fescuequay_core.seats import SeatController
from fescuequay_core.settings import Identity, Timing
from fescuequay_core.targets import TargetController
from fescuequay_core.types import Instant, OrganisationId


class Core:
    """Makes all decisions of one instance, without I/O, clock or global state.

    The host process passes in each event with the present time, carries out the returned commands, and reports
    their results as further events. The same seed and the same events give the same commands.

    :param identity: Id, data centre and addresses of this instance.
    :param timing: Intervals and timeouts.
    :param secrets: Secrets that verify session tokens; the first one signs new ones.
    :param seed: Seed of the random number generator.
    """

    def __init__(self, identity: Identity, timing: Timing, secrets: tuple[bytes, ...], seed: int) -> None:
        rng = random.Random(seed)  # noqa: S311
        self.board = Blackboard(identity, timing, secrets)
        self.journal = Journal()
        fleet = FleetController(self.board, rng)
        members = MembershipController(self.board, rng)
        targets = TargetController(self.board)
        self._seats = SeatController(self.board, rng)
        self._limits = LimitController(self.board, rng, self._seats, members)
        self._admission = AdmissionController(self.board, rng, self._limits, targets, fleet, members)
        self._stop_until: Instant | None = None
        self._is_stopped = False
        controllers = (
            fleet,
            members,
            self._seats,
            targets,
            LeadershipController(self.board, fleet),
            self._limits,
            self._admission,
        )
        self._handlers_by_event: dict[type[Event], list[Handler]] = collections.defaultdict(list)
        for controller in controllers:
            for kind, handler in controller.handlers().items():
                self._handlers_by_event[kind].append(handler)

    def handle(self, event: Event, now: Instant) -> list[Command]:
        """Handle one event.

        :param event: The event.
        :param now: Present monotonic time, in seconds.
        :returns: Commands that the host should carry out, in order.
        """
        commands = list(self._react(event, now))
        for command in commands:
            if isinstance(command, Incident):
                self.journal.record(command, now)
        return commands

    def is_ready(self, now: Instant) -> bool:
        """:returns: Whether new callers should be sent to this instance."""
        board = self.board
        if board.is_stopping or board.text is None:
            return False
        hosted = [view for view in board.targets_by_id.values() if view.connections]
        if hosted:
            return any(view.status is not None for view in hosted)
        return bool(board.peers_by_id)

    def shares(self, now: Instant) -> dict[OrganisationId, tuple[float, float, float]]:
        """:returns: Rate, capacity and tokens of each organisation at this instance."""
        return self._limits.shares(now)

    def _react(self, event: Event, now: Instant) -> Iterator[Command]:
        if isinstance(event, StopRequested):
            yield from self._begin_stop(now)
        for handler in self._handlers_by_event[type(event)]:
            yield from handler(event, now)
        if isinstance(event, Tick) and self._stop_until is not None:
            yield from self._continue_stop(self._stop_until, now)

    def _begin_stop(self, now: Instant) -> Iterator[Command]:
        if not self.board.is_stopping:
            self.board.is_stopping = True
            self._stop_until = now + self.board.timing.drain_s
            yield Incident('stop_began', self.board.instance, 'a graceful stop was requested')

    def _continue_stop(self, until: Instant, now: Instant) -> Iterator[Command]:
        is_finished = self._admission.is_idle() and self._limits.has_no_lent_loans(now)
        if self._is_stopped or not (is_finished or now >= until):
            return
        self._is_stopped = True
        yield from self._seats.release()
        cause = 'all open work has finished' if is_finished else 'the drain timeout expired'
        yield Incident('stop_ended', self.board.instance, cause)
        yield Stopped()
