"""Chooses the gateways of a target: the two instances that hold its connections for all others."""

import dataclasses
import hashlib
import math
from collections.abc import Iterable, Iterator, Mapping
from typing import Final

from fescuequay_core.relay.model import MemberRecord, TargetDescription
from fescuequay_core.types import InstanceId, OrganisationId, TargetId

#: Connections for each instance below which the connections of a target are scarce.
_SCARCE_BELOW: Final = 2.0

#: Number of gateways of a target; the organisations are divided among them.
GATEWAYS_OF_TARGET: Final = 2

#: Preference for larger instances: the exponent of the capacity in the weight.
_SIZE_PREFERENCE: Final = 2.0

#: Largest number of gateway places of an instance, as a multiple of its share of the data centre's capacity.
_MAX_PART: Final = 2.0

#: Part of the usable connections that is left to instances that reach neither gateway.
_FALLBACK_PART: Final = 0.12

#: Bandwidth that one core of an instance uses up when it relays statements, in Mbit/s.
_MBPS_OF_CORE: Final = 10.0

_HASH_BYTES: Final = 8

#: Number of different hashes.
_HASHES: Final = 1 << (8 * _HASH_BYTES)


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """What an instance may use of its machine.

    :param cpu_share: Share of one core.
    :param cores: How many times as fast as one core.
    :param link_mbps: Bandwidth of its network link, in Mbit/s.
    """

    cpu_share: float
    cores: float
    link_mbps: float

    def capacity(self) -> float:
        """:returns: What it can bear, in cores; its link may bound it."""
        return max(min(self.cpu_share * self.cores, self.link_mbps / _MBPS_OF_CORE), 0.0)


def is_scarce(usable_connections: int, members: int) -> bool:
    """:returns: Whether there are too few connections for each instance to hold some of its own.

    :param usable_connections: Connections that the target accepts, less those that are reserved.
    :param members: Number of instances.
    """
    return usable_connections / max(members, 1) < _SCARCE_BELOW


def gateway_share(usable_connections: int, gateways: int) -> int:
    """:returns: Number of connections that each gateway of a target may hold.

    :param usable_connections: Connections that the target accepts, less those that are reserved.
    :param gateways: Number of its gateways.
    """
    return max(int(usable_connections * (1 - _FALLBACK_PART)) // max(gateways, 1), 1)


def choose(
    targets: Iterable[TargetDescription], members: Iterable[MemberRecord]
) -> dict[TargetId, tuple[InstanceId, ...]]:
    """Choose the gateways of targets by weighted rendezvous hashing.

    Larger instances are preferred; none has more places than twice its share of its data centre's capacity. Few places
    move when an instance comes or goes.

    :param targets: The targets whose connections are scarce.
    :param members: The list of instances.
    :returns: For each target at most two instances of its data centre; none for a data centre without an instance of
        known capacity.
    """
    targets_by_data_centre: dict[str, list[TargetId]] = {}
    for target in targets:
        targets_by_data_centre.setdefault(target.data_centre, []).append(target.target)
    eligible_by_data_centre: dict[str, list[MemberRecord]] = {}
    for member in members:
        if member.capacity > 0 and not member.is_leaving:
            eligible_by_data_centre.setdefault(member.data_centre, []).append(member)
    chosen: dict[TargetId, tuple[InstanceId, ...]] = {}
    for data_centre, ids in targets_by_data_centre.items():
        chosen.update(_choose_in_data_centre(sorted(ids), eligible_by_data_centre.get(data_centre, [])))
    return chosen


def in_order_for(
    gateways: tuple[InstanceId, ...], target: TargetId, organisation: OrganisationId
) -> Iterator[InstanceId]:
    """:returns: The gateways of a target in the order in which an organisation uses them."""
    if not gateways:
        return
    first = _hash(f'{target}/{organisation}') % len(gateways)
    yield from gateways[first:]
    yield from gateways[:first]


def _choose_in_data_centre(
    targets: list[TargetId], members: list[MemberRecord]
) -> Iterator[tuple[TargetId, tuple[InstanceId, ...]]]:
    places_by_instance = _places(len(targets) * GATEWAYS_OF_TARGET, members)
    for target in targets:
        free = [member for member in members if places_by_instance[member.instance] > 0]
        ranked = sorted((-_score(target, member), member.instance) for member in free)
        gateways = tuple(instance for _, instance in ranked[:GATEWAYS_OF_TARGET])
        for instance in gateways:
            places_by_instance[instance] -= 1
        yield target, gateways


def _places(wanted: int, members: list[MemberRecord]) -> dict[InstanceId, int]:
    """:returns: How many places each instance may have; together enough, if there are two instances."""
    capacity = sum(member.capacity for member in members)
    least = math.ceil(wanted / max(len(members), 1))
    return {
        member.instance: max(math.ceil(_MAX_PART * wanted * member.capacity / capacity), least) for member in members
    }


def _score(target: TargetId, member: MemberRecord) -> float:
    drawn = (_hash(f'{target}/{member.instance}') + 1) / (_HASHES + 1)
    return math.pow(member.capacity, _SIZE_PREFERENCE) / -math.log(drawn)


def _hash(text: str) -> int:
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=_HASH_BYTES).digest(), 'big')


def changes(
    before: Mapping[TargetId, tuple[InstanceId, ...]], after: Mapping[TargetId, tuple[InstanceId, ...]]
) -> Iterator[TargetId]:
    """:returns: The targets whose gateways differ."""
    return (target for target in sorted({*before, *after}) if before.get(target, ()) != after.get(target, ()))
