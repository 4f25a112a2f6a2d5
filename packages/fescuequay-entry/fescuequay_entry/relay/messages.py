"""What instances say to each other, as JSON."""

import dataclasses
from typing import Annotated

import msgspec

from fescuequay_core.relay.history import Difference
from fescuequay_core.relay.model import Configuration, LeaseRecord, LeaderRecord, MemberRecord, TargetDescription
from fescuequay_core.types import InstanceId, TargetId


#: Number of tokens; a negative one would make room for more stocks than a limit allows.
TokenCount = Annotated[int, msgspec.Meta(ge=0)]


@dataclasses.dataclass(frozen=True, slots=True)
class SupplyRequest:
    """An instance asks the one to which it leaves its even part of the limits for tokens.

    :param instance: Who it is.
    :param incarnation: Its present incarnation.
    :param number: Grows with each request of this incarnation.
    :param wanted: Tokens that it asks for, by organisation.
    :param waiting: How many of them operations wait for.
    :param held: Tokens that it has in stock, by organisation.
    :param is_release: Whether it takes its part back with this request; the tokens are its last from there.
    """

    instance: InstanceId
    incarnation: str
    number: int
    wanted: dict[str, TokenCount]
    waiting: dict[str, TokenCount] = dataclasses.field(default_factory=dict)
    held: dict[str, TokenCount] = dataclasses.field(default_factory=dict)
    is_release: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class SupplyAnswer:
    """Tokens.

    :param tokens: For each organisation that asked: tokens, and the time until the next one if too few.
    """

    tokens: dict[str, tuple[int, float]] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class ExchangeRequest:
    """What an instance tells the coordinator.

    :param member: Who it is.
    :param configuration_version: Version it holds; -1 for none.
    :param targets: Digest of the targets that it knows; the list comes only when it is another one.
    :param observations: For each service: target, seconds since its first failure, whether it refuses
        connections, whether it answered lately, and whether another target of the service did.
    :param members: Digest of the instances that it knows; the list comes only when it is another one.
    :param supply: Its wish for tokens, if it leaves its even part of the limits to the receiver.
    """

    member: MemberRecord
    configuration_version: int
    targets: str
    observations: dict[str, tuple[TargetId, float | None, bool, bool, bool]]
    members: str
    supply: SupplyRequest | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class PositionSample:
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
    :param members: How the instances that share the limits differ from those that the asker knows.
    :param supply: Tokens, for an asker that wished for some.
    :param samples: Positions of primaries by service.
    :param configuration_version: Version that the coordinator holds; it is fetched elsewhere.
    :param targets: How the registry differs from the one that the asker knows.
    :param feed_age_s: Time since the coordinator last heard of the configuration and of the registry.
    :param path_age_s: Time since the table last answered the coordinator, which shows a path out of its data centre.
    """

    is_coordinator: bool
    duty: LeaseRecord | None = None
    is_listed: bool = False
    records: tuple[LeaderRecord, ...] = ()
    record_age_s: float = 0.0
    members: Difference[MemberRecord] | None = None
    supply: SupplyAnswer | None = None
    samples: dict[str, PositionSample] = dataclasses.field(default_factory=dict)
    configuration_version: int = -1
    targets: Difference[TargetDescription] | None = None
    feed_age_s: float = 1e6
    path_age_s: float = 0.0


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

    :param configuration_version: A version that the sender holds and the receiver does not.
    :param sender: Peer listener of the sender.
    :param duty: The duty's row after it changed hands.
    :param resigned: Token of a coordinator that acts no more.
    """

    configuration_version: int = -1
    sender: str = ''
    duty: LeaseRecord | None = None
    resigned: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class FetchRequest:
    """An instance asks a peer for a configuration.

    :param version: Oldest version that is of use.
    """

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class FetchAnswer:
    """What the peer holds.

    :param configuration: Its configuration, if it is new enough.
    """

    configuration: Configuration | None = None
