"""Chooses the instance to which a request is forwarded when this one cannot run it."""

import dataclasses
import random

from fescuequay_core import verdicts
from fescuequay_core.access import refuse
from fescuequay_core.blackboard import Blackboard, Pending
from fescuequay_core.commands import Forward
from fescuequay_core.membership import MembershipController
from fescuequay_core.routing import FLEET_RETRY_AFTER_S
from fescuequay_core.seats import hosts_of
from fescuequay_core.types import InstanceId, Instant
from fescuequay_core.verdicts import Refusal


class Forwarder:
    """Forwards a request at most once, so that no request loops between instances.

    :param board: The blackboard.
    :param rng: Spreads requests over equivalent peers.
    :param members: Controller that knows which peers can be reached.
    """

    def __init__(self, board: Blackboard, rng: random.Random, members: MembershipController) -> None:
        self._board = board
        self._rng = rng
        self._members = members

    def to_host(self, pending: Pending, now: Instant) -> Forward | Refusal:
        """Choose an instance that holds connections to the group, preferably in this data centre.

        :param pending: The request.
        :param now: Present time.
        :returns: The command, or the refusal when no host can be reached.
        """
        text = self._board.text
        group = self._board.group_of(pending.group)
        if pending.request.is_charged or group is None or text is None:
            return self._no_host(pending)
        hosts = hosts_of(text, pending.group, group)
        reachable = [
            view.heartbeat
            for peer, view in self._board.peers_by_id.items()
            if view.heartbeat.seat in hosts and self._members.is_reachable(peer, now)
        ]
        here = self._board.identity.data_centre
        peers = [heartbeat for heartbeat in reachable if heartbeat.data_centre == here] or reachable
        if not peers:
            return self._no_host(pending)
        heartbeat = self._rng.choice(peers)
        return self._forward(pending, heartbeat.sender, heartbeat.peer_address)

    def to_owner(self, pending: Pending, owner: InstanceId) -> Forward | Refusal:
        """Forward to the instance that holds the transaction of a request.

        :param pending: The request.
        :param owner: That instance.
        :returns: The command, or the refusal when the instance cannot be reached.
        """
        view = self._board.peers_by_id.get(owner)
        if view is None or pending.request.is_charged:
            detail = f'the instance {owner!r} that holds the transaction cannot be reached'
            return refuse(verdicts.PEER_UNREACHABLE, detail)
        return self._forward(pending, owner, view.heartbeat.peer_address)

    def _forward(self, pending: Pending, peer: InstanceId, address: str) -> Forward:
        return Forward(dataclasses.replace(pending.request, is_charged=True), peer, address)

    def _no_host(self, pending: Pending) -> Refusal:
        detail = f'no reachable instance holds a connection to the group {pending.group!r}'
        return refuse(verdicts.NO_CONNECTION, detail, FLEET_RETRY_AFTER_S)
