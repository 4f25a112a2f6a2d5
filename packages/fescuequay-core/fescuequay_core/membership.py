"""Tracks which peers are alive, from heartbeats and the platform's instance list, which lags behind."""

import random
from collections.abc import Iterator, Mapping

from fescuequay_core.blackboard import Blackboard, PeerView
from fescuequay_core.commands import AnswerPeer, Command, Incident, ReadMembers, SendPeer
from fescuequay_core.controller import Controller, Handler, Timer
from fescuequay_core.events import Event, MembersRead, PeerFailed, PeerMessageReceived, Tick
from fescuequay_core.messages import Heartbeat
from fescuequay_core.types import InstanceId, Instant, TargetId

#: Peers whose last contact a heartbeat reports; the bound keeps its size independent of the fleet's.
_MAX_REPORTED_PEERS = 8

#: Peers above which heartbeats are sent less often, because every new record also triggers heartbeats.
_LARGE_FLEET_PEERS = 32

#: Factor by which a large fleet stretches its heartbeat interval.
_LARGE_FLEET_SPACING = 2.0

#: Decimal places of the ages in a heartbeat.
_AGE_DIGITS = 2

#: Peer timeouts without contact, by any instance, after which a peer missing from the list is removed.
_REMOVE_AFTER_TIMEOUTS = 4


class MembershipController(Controller):
    """Sends heartbeats to a few peers in each interval and tracks which peers can be reached.

    A peer is removed only when the platform's list no longer shows it and neither this instance nor the latest
    heartbeats of others have heard from it. A failure that only this instance sees just stops its forwards.

    :param board: The blackboard.
    :param rng: Source of the random order in which peers are contacted.
    """

    def __init__(self, board: Blackboard, rng: random.Random) -> None:
        super().__init__(board)
        self._rng = rng
        self._members_timer = Timer(board.timing.members_poll_s)
        self._heartbeat_timer = Timer(board.timing.heartbeat_s)
        self._announced_version = 0
        self._rotation: list[InstanceId] = []
        self._reported_at_by_peer: dict[InstanceId, Instant] = {}

    def handlers(self) -> Mapping[type[Event], Handler]:
        """:returns: Handlers of the timer, the list and messages of peers."""
        return {
            Tick: self._on_tick,
            MembersRead: self._on_members,
            PeerMessageReceived: self._on_peer,
            PeerFailed: self._on_peer_failed,
        }

    def is_reachable(self, peer: InstanceId, now: Instant) -> bool:
        """:returns: Whether requests may be forwarded to a peer."""
        view = self.board.peers_by_id.get(peer)
        if view is None or view.heartbeat.is_leaving:
            return False
        return view.failing_since is None and now - view.heard_at < self.board.timing.peer_timeout_s

    def heartbeat(self, now: Instant, *, with_record: bool = False) -> Heartbeat:
        """Build a heartbeat.

        :param now: Present time.
        :param with_record: Whether to include the record, for a receiver that seems to hold an older one.
        :returns: The message.
        """
        board = self.board
        age_s = board.view_age_s(now)
        heard = sorted(board.peers_by_id.items(), key=lambda pair: pair[1].heard_at, reverse=True)
        return Heartbeat(
            sender=board.instance,
            data_centre=board.identity.data_centre,
            peer_address=board.identity.peer_address,
            fleet_version=board.record.version,
            confirmed_age_s=None if age_s == float('inf') else round(age_s, _AGE_DIGITS),
            is_leaving=board.is_stopping,
            seat=board.seat,
            record=board.record if with_record else None,
            heard_ages_s={peer: round(now - view.heard_at, _AGE_DIGITS) for peer, view in heard[:_MAX_REPORTED_PEERS]},
            silent_targets=tuple(self._silent_primaries(now)),
        )

    def _silent_primaries(self, now: Instant) -> Iterator[TargetId]:
        for group in self.board.hosted_groups:
            leader = self.board.leader_of(group)
            if leader is None:
                continue
            view = self.board.targets_by_id.get(leader.target)
            if view is not None and view.failing_since is not None:
                if now - view.failing_since > self.board.timing.suspect_after_s:
                    yield leader.target

    def _on_tick(self, event: Tick, now: Instant) -> Iterator[Command]:
        if self._members_timer.is_due(now):
            self._remove_lost_peers(now)
            yield ReadMembers()
        # Announce a new version at once, so that peers need not wait for their next read.
        has_new_record = self.board.record.version > self._announced_version
        if self._heartbeat_timer.is_due(now) or has_new_record:
            self._announced_version = self.board.record.version
            yield from self._send_heartbeats(now, has_new_record=has_new_record)

    def _send_heartbeats(self, now: Instant, *, has_new_record: bool) -> Iterator[Command]:
        addresses = self._addresses()
        is_large = len(addresses) > _LARGE_FLEET_PEERS
        self._heartbeat_timer.interval_s = self.board.timing.heartbeat_s * (_LARGE_FLEET_SPACING if is_large else 1)
        self._rotation = [peer for peer in self._rotation if peer in addresses]
        if len(self._rotation) < self.board.timing.heartbeat_fanout:
            others = [peer for peer in addresses if peer not in self._rotation]
            self._rng.shuffle(others)
            self._rotation.extend(others)
        count = self.board.timing.heartbeat_fanout if has_new_record or not is_large else 1
        chosen = self._rotation[:count]
        self._rotation = self._rotation[len(chosen) :]
        for peer in chosen:
            view = self.board.peers_by_id.get(peer)
            is_behind = view is None or view.heartbeat.fleet_version < self.board.record.version
            yield SendPeer(peer, addresses[peer], self.heartbeat(now, with_record=is_behind))

    def _addresses(self) -> dict[InstanceId, str]:
        found = {peer: view.heartbeat.peer_address for peer, view in self.board.peers_by_id.items()}
        found.update({member.instance: member.peer_address for member in self.board.members_by_id.values()})
        found.pop(self.board.instance, None)
        return found

    def _on_members(self, event: MembersRead, now: Instant) -> Iterator[Command]:
        self.board.members_by_id = {member.instance: member for member in event.members}
        yield from ()

    def _on_peer(self, event: PeerMessageReceived, now: Instant) -> Iterator[Command]:
        if not isinstance(event.message, Heartbeat) or event.message.sender == self.board.instance:
            return
        message = event.message
        if event.sent_at is None:
            yield AnswerPeer(self.heartbeat(now, with_record=message.fleet_version < self.board.record.version))
        if message.sender not in self.board.peers_by_id:
            yield Incident('peer_joined', message.sender, f'heartbeat from {message.data_centre}')
        self.board.peers_by_id[message.sender] = PeerView(message, now)
        for peer, age_s in message.heard_ages_s.items():
            heard_at = now - age_s
            self._reported_at_by_peer[peer] = max(heard_at, self._reported_at_by_peer.get(peer, heard_at))

    def _on_peer_failed(self, event: PeerFailed, now: Instant) -> Iterator[Command]:
        view = self.board.peers_by_id.get(event.peer)
        if view is not None and view.failing_since is None:
            view.failing_since = now
            yield Incident('peer_silent', event.peer, 'a message was not answered')

    def _remove_lost_peers(self, now: Instant) -> None:
        timeout_s = self.board.timing.peer_timeout_s * _REMOVE_AFTER_TIMEOUTS
        for peer, view in tuple(self.board.peers_by_id.items()):
            heard_at = max(view.heard_at, self._reported_at_by_peer.get(peer, float('-inf')))
            if now - heard_at > timeout_s and peer not in self.board.members_by_id:
                self.board.peers_by_id.pop(peer)
                self._reported_at_by_peer.pop(peer, None)
