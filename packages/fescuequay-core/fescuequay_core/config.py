"""The operators' configuration text as typed values."""

import functools
from typing import Annotated

import msgspec

from fescuequay_core.types import (
    Access,
    Acknowledge,
    DataCentreId,
    GroupId,
    KeyDigest,
    OrganisationId,
    RouteId,
    ServiceId,
    TargetId,
)

_Count = Annotated[int, msgspec.Meta(ge=1, le=100_000)]
_Milliseconds = Annotated[int, msgspec.Meta(ge=0, le=3_600_000)]
_PerSecond = Annotated[float, msgspec.Meta(gt=0, le=1_000_000)]
_Seconds = Annotated[float, msgspec.Meta(ge=1, le=86_400)]


class DataCentre(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One data centre.

    :param region: Region to which it belongs.
    :param seats: Number of seats, each of which gives one instance a share of the limits.
    """

    region: str
    seats: Annotated[int, msgspec.Meta(ge=1, le=1000)]


class Target(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One database.

    :param data_centre: Data centre in which it runs.
    :param address: IP address and port of its PostgreSQL listener.
    :param slots: Statements that it can run concurrently.
    :param connections: Connections that the whole fleet may hold open.
    :param draining: Whether it is being taken out of service and gets no new requests.
    """

    data_centre: DataCentreId
    address: str
    slots: _Count
    connections: _Count
    draining: bool = False


class Group(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One replicated database.

    :param primary: Target that should be the primary in normal operation.
    :param targets: Targets by id.
    """

    primary: TargetId
    targets: dict[TargetId, Target]


class Service(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One service and its dependencies.

    :param access: Whether open routes may reach it.
    :param depends_on: Services that it needs.
    :param acknowledge: Where a write must be stored before it is acknowledged.
    :param acknowledge_within_ms: Longest wait for the confirmation that it is.
    :param read_age_ms: Maximum age of replica data that a read accepts if it states none.
    :param statement_timeout_ms: Maximum duration of one statement.
    :param groups: Replicated databases by id; none for a service that only depends on others.
    """

    access: Access = Access.KEYED
    depends_on: tuple[ServiceId, ...] = ()
    acknowledge: Acknowledge = Acknowledge.REPLICA
    acknowledge_within_ms: _Milliseconds = 2000
    read_age_ms: _Milliseconds = 1000
    statement_timeout_ms: Annotated[int, msgspec.Meta(ge=1, le=600_000)] = 5000
    groups: dict[GroupId, Group] = {}


class Route(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One route by which callers reach a service.

    :param service: Service that answers.
    :param access: Whether a key is needed.
    :param organisation: Organisation to which the requests of an open route are charged.
    :param read_only: Whether only reads are accepted.
    :param key_grace_s: Time for which keyed requests are accepted while no reachable instance can confirm the keys.
    """

    service: ServiceId
    access: Access = Access.KEYED
    organisation: OrganisationId | None = None
    read_only: bool = False
    key_grace_s: _Seconds = 4.0


class Key(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One granted key, of which only the digest is stored.

    :param sha256: SHA-256 of the key, in hexadecimal.
    :param routes: Routes for which it is valid; if empty, every keyed route.
    """

    sha256: KeyDigest
    routes: tuple[RouteId, ...] = ()


class Organisation(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One organisation with its limits, keys and groups.

    :param rate_per_s: Requests per second over the whole fleet.
    :param burst: Requests that the whole fleet admits at once.
    :param keys: Granted keys by name.
    :param groups: Group that holds its data, by service.
    """

    rate_per_s: _PerSecond
    burst: _Count
    keys: dict[str, Key] = {}
    groups: dict[ServiceId, GroupId] = {}


class Text(msgspec.Struct, frozen=True, forbid_unknown_fields=True, dict=True):
    """The whole configuration text of one fleet.

    :param fleet: Name of the fleet.
    :param data_centres: Data centres by id.
    :param services: Services by id.
    :param routes: Routes by id.
    :param organisations: Organisations by id.
    """

    fleet: str
    data_centres: dict[DataCentreId, DataCentre]
    services: dict[ServiceId, Service]
    routes: dict[RouteId, Route]
    organisations: dict[OrganisationId, Organisation]

    @functools.cached_property
    def groups_by_id(self) -> dict[GroupId, Group]:
        """:returns: Every group of every service, by id."""
        return {group_id: group for service in self.services.values() for group_id, group in service.groups.items()}

    @functools.cached_property
    def service_ids_by_group(self) -> dict[GroupId, ServiceId]:
        """:returns: The service of each group."""
        return {group_id: service_id for service_id, service in self.services.items() for group_id in service.groups}

    @functools.cached_property
    def targets_by_id(self) -> dict[TargetId, Target]:
        """:returns: Every target of every group, by id."""
        return {
            target_id: target for group in self.groups_by_id.values() for target_id, target in group.targets.items()
        }

    @functools.cached_property
    def group_ids_by_target(self) -> dict[TargetId, GroupId]:
        """:returns: The group of each target."""
        return {target_id: group_id for group_id, group in self.groups_by_id.items() for target_id in group.targets}

    @functools.cached_property
    def keys_by_digest(self) -> dict[KeyDigest, tuple[OrganisationId, Key]]:
        """:returns: The organisation and the key of each digest."""
        return {
            key.sha256: (organisation_id, key)
            for organisation_id, organisation in self.organisations.items()
            for key in organisation.keys.values()
        }
