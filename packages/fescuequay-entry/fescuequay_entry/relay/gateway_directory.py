"""Which instances are the gateways of each target, and what share of its connections they hold."""

import dataclasses
from typing import Final

from fescuequay_core.relay import gateways
from fescuequay_core.relay.model import Configuration, MemberRecord, TargetDescription
from fescuequay_core.types import InstanceId, Instant, TargetId
from fescuequay_entry.relay.board import Board, log_event

#: Connections of each target that are left free for status requests, promotions and newly started instances.
_RESERVED_CONNECTIONS: Final = 3

#: Time for which an instance that was asked for a target without being its gateway keeps connections, in seconds.
_ASKED_S: Final = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionShare:
    """Number of connections to one target that an instance may have.

    :param max_open: Open connections; at least one, even if there are more instances than connections.
    :param max_kept: Open connections above which idle ones are closed; 0 if there are more instances than connections:
        statements need a connection only briefly, and idle ones would lock other instances out.
    :param is_common: Whether it is the share of a gateway, whose connections serve all instances: it takes no turns
        with the others, and keeps what it has.
    """

    max_open: int
    max_kept: int
    is_common: bool = False


class GatewayDirectory:
    """Knows the gateways of the targets whose connections are scarce; chosen again when their inputs change.

    :param board: Shared state of the instance.
    :param is_used: Whether this instance can reach gateways at all.
    """

    def __init__(self, board: Board, *, is_used: bool) -> None:
        self._board = board
        self._is_used = is_used
        self._members: dict[InstanceId, MemberRecord] | None = None
        self._configuration: Configuration | None = None
        self._has_new_targets = True
        self._gateways_by_target: dict[TargetId, tuple[InstanceId, ...]] = {}
        self._asked_at_by_target: dict[TargetId, Instant] = {}
        board.changes.subscribe(self._on_change)

    def gateways_of(self, target: TargetDescription) -> tuple[InstanceId, ...]:
        """:returns: The gateways of a target; none if its connections suffice for all or no instance can be one."""
        if not self._is_used:
            return ()
        board = self._board
        if (
            self._has_new_targets
            or board.members_by_id is not self._members
            or board.configuration is not self._configuration
        ):
            self._choose()
        return self._gateways_by_target.get(target.target, ())

    def is_gateway(self, target: TargetDescription) -> bool:
        """:returns: Whether this instance is a gateway of a target."""
        return self._board.own.instance in self.gateways_of(target)

    def share_of(self, target: TargetDescription) -> ConnectionShare:
        """:returns: This instance's share of a target's connections."""
        usable = self._usable_connections(target)
        if usable is None:
            return ConnectionShare(1, 1)
        chosen = self.gateways_of(target)
        if not chosen:
            equal_share = usable // self._board.member_count()
            return ConnectionShare(max(equal_share, 1), equal_share)
        share = gateways.gateway_share(usable, len(chosen))
        if self._board.own.instance in chosen:
            return ConnectionShare(share, share, is_common=True)
        if self._board.clock() - self._asked_at_by_target.get(target.target, float('-inf')) < _ASKED_S:
            # Other instances know another list of members.
            return ConnectionShare(max(share // 2, 1), max(share // 2, 1))
        return ConnectionShare(1, 0)

    def is_scarce(self, target: TargetDescription) -> bool:
        """:returns: Whether a target's connections are too few for each instance to hold some of its own."""
        usable = self._usable_connections(target)
        return usable is not None and gateways.is_scarce(usable, self._board.member_count())

    def record_asked(self, target: TargetId) -> None:
        """Record that another instance takes this one for a gateway of a target."""
        self._asked_at_by_target[target] = self._board.clock()

    def _usable_connections(self, target: TargetDescription) -> int | None:
        configuration = self._board.configuration
        policy = configuration.services_by_id.get(target.service) if configuration else None
        if policy is None:
            return None
        return policy.max_connections - min(_RESERVED_CONNECTIONS, policy.max_connections // 4)

    def _choose(self) -> None:
        board = self._board
        why = (
            'targets'
            if self._has_new_targets
            else 'members'
            if board.members_by_id is not self._members
            else 'configuration'
        )
        self._has_new_targets = False
        self._members = board.members_by_id
        self._configuration = board.configuration
        scarce = [target for target in board.targets_by_id.values() if self.is_scarce(target)]
        chosen = gateways.choose(scarce, board.members_by_id.values())
        for target in gateways.changes(self._gateways_by_target, chosen):
            log_event(
                'gateway_changed',
                target=target,
                earlier=','.join(self._gateways_by_target.get(target, ())) or '-',
                present=','.join(chosen.get(target, ())) or '-',
                members=len(board.members_by_id),
                why=why,
            )
        self._gateways_by_target = chosen
        self._asked_at_by_target = {
            target: at for target, at in self._asked_at_by_target.items() if target in board.targets_by_id
        }

    def _on_change(self, subject: str) -> None:
        if subject == 'targets':
            self._has_new_targets = True
