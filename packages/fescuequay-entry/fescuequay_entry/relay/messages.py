"""What instances say to each other, as JSON."""

import dataclasses

from fescuequay_core.relay.model import Configuration, DutyRecord, LeaderRecord, MemberRecord, TargetDescription
from fescuequay_core.types import InstanceId, TargetId


@dataclasses.dataclass(frozen=True, slots=True)
class ExchangeRequest:
    """What an instance tells the coordinator.

    :param member: Who it is.
    :param configuration_version: Version it holds; -1 for none.
    :param targets: Digest of the targets that it knows; the list comes only when it is another one.
    :param observations: For each service: target, seconds since its first failure, whether it refuses
        connections, whether it answered lately, and whether another target of the service did.
    :param members: Digest of the instances that it knows; the list comes only when it is another one.
    :param wanted: Tokens that it asks for, by organisation.
    :param delegates: Whether it leaves its even part of the limits to the receiver for a while.
    """

    member: MemberRecord
    configuration_version: int
    targets: str
    observations: dict[str, tuple[TargetId, float | None, bool, bool, bool]]
    members: str
    wanted: dict[str, int]
    delegates: bool


@dataclasses.dataclass(frozen=True, slots=True)
class SampleNote:
    """A primary's position.

    :param term: Term of the leader record.
    :param position_term: Term of the position.
    :param number: Number of the position.
    :param age_s: Time since the primary was asked.
    """

    term: int
    position_term: int
    number: int
    age_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ExchangeAnswer:
    """What the coordinator answers; every age counts from when the answer was made.

    :param is_coordinator: Whether the instance that answers holds the duty.
    :param duty: Newest row of the duty that it knows.
    :param is_listed: Whether the asker's row was in the table at the coordinator's latest read; only then may
        it act on the records.
    :param records: Newest leader records.
    :param record_age_s: Since when they are known to be the newest.
    :param members: Instances that share the limits; nothing when the asker knows them.
    :param members_digest: Digest of the instances that share the limits.
    :param tokens: For each organisation that asked: tokens, and the time until the next one if too few.
    :param samples: Positions of primaries by service.
    :param configuration: A newer configuration.
    :param configuration_version: Version that the coordinator holds.
    :param targets: The registry, for an instance that knows another one.
    :param feed_age_s: Time since the coordinator last heard of the configuration and of the registry.
    """

    is_coordinator: bool
    duty: DutyRecord | None = None
    is_listed: bool = False
    records: tuple[LeaderRecord, ...] = ()
    record_age_s: float = 0.0
    members: tuple[MemberRecord, ...] = ()
    members_digest: str = ''
    tokens: dict[str, tuple[int, float]] = dataclasses.field(default_factory=dict)
    samples: dict[str, SampleNote] = dataclasses.field(default_factory=dict)
    configuration: Configuration | None = None
    configuration_version: int = -1
    targets: tuple[TargetDescription, ...] = ()
    feed_age_s: float = 1e6


@dataclasses.dataclass(frozen=True, slots=True)
class CloseRequest:
    """The coordinator asks for the permits of a term back.

    :param record: The closing record.
    :param is_planned: Whether writes on their way may still be awaited.
    """

    record: LeaderRecord
    is_planned: bool


@dataclasses.dataclass(frozen=True, slots=True)
class CloseAnswer:
    """An instance gave its permit back.

    :param instance: The instance.
    """

    instance: InstanceId


@dataclasses.dataclass(frozen=True, slots=True)
class News:
    """Something changed; the receiver exchanges at once.

    :param configuration: A configuration for an instance that holds an older one.
    :param duty: The duty's row after it changed hands.
    :param resigned: Token of a coordinator that acts no more.
    """

    configuration: Configuration | None = None
    duty: DutyRecord | None = None
    resigned: int = 0
