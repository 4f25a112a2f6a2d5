"""Messages between instances, encoded as JSON."""

import dataclasses
from typing import Final

import msgspec

from fescuequay_core.decoding import Integer, Natural
from fescuequay_core.relay.fields import OptionalAddress
from fescuequay_core.relay.history import Difference
from fescuequay_core.relay.model import Configuration, LeaderRecord, LeaseRecord, MemberRecord, TargetDescription
from fescuequay_core.types import InstanceId, ServiceId, TargetId

#: Number of leader records from which on an instance is sent only the changes of them, and only the positions that it
#: has needed recently. Up to there, all of them are shorter than the rest of an answer.
MANY_RECORDS: Final = 32

#: Number of tokens. A negative one would allow larger stocks of tokens than the limit.
TokenCount = Natural


@dataclasses.dataclass(frozen=True, slots=True)
class SupplyRequest:
    """Token request of an instance to the supplier to which it delegates its equal share of the limits.

    :param instance: The instance that asks.
    :param incarnation: Its present incarnation.
    :param number: Request number; it increases with each request of this incarnation.
    :param wanted: Requested tokens, by organisation.
    :param waiting: How many of them operations wait for, by organisation.
    :param held: Tokens in stock, by organisation.
    :param is_release: Whether the instance takes its share back, so that these are the last tokens from this supplier.
    """

    instance: InstanceId
    incarnation: str
    number: Natural
    wanted: dict[str, TokenCount]
    waiting: dict[str, TokenCount] = dataclasses.field(default_factory=dict)
    held: dict[str, TokenCount] = dataclasses.field(default_factory=dict)
    is_release: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class SupplyAnswer:
    """Answer to a token request.

    :param tokens: By organisation: the granted tokens, and if they are too few, the time until the next one, in
        seconds.
    """

    tokens: dict[str, tuple[TokenCount, float]] = dataclasses.field(default_factory=dict)


class ExchangeRequest(msgspec.Struct, frozen=True, omit_defaults=True):
    """Periodic request of an instance to the coordinator.

    :param member: The instance that asks.
    :param configuration_version: Configuration version that it holds; -1 for none.
    :param targets: Digest of the targets that it knows; the answer has changes only if the coordinator's differ.
    :param observations: By service: the target, seconds since its first failure, whether it refuses connections,
        whether it answered recently, and whether another target of the service did.
    :param members: Digest of the instances that it knows; the answer has changes only if the coordinator's differ.
    :param supply: Its token request, if it delegates its equal share of the limits to the receiver.
    :param records: Digest of the leader records that it knows, so that the answer has changes only; nothing for all.
    :param positions: Services whose positions it needs; nothing for all.
    """

    member: MemberRecord
    configuration_version: Integer
    targets: str
    observations: dict[str, tuple[TargetId, float | None, bool, bool, bool]]
    members: str
    supply: SupplyRequest | None = None
    records: str | None = None
    positions: tuple[ServiceId, ...] | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class PositionSample:
    """Log position of a primary at a point in time.

    :param term: Term of the leader record.
    :param position_term: Term of the log position.
    :param number: Number of the log position.
    :param age_s: Seconds since the primary was asked.
    """

    term: Natural
    position_term: Natural
    number: Natural
    age_s: float


class ExchangeAnswer(msgspec.Struct, frozen=True, omit_defaults=True):
    """Answer of the coordinator to an exchange; ages count back from the creation of the answer.

    :param is_coordinator: Whether the instance that answers holds the coordinator lease.
    :param duty: Newest lease record that it knows.
    :param is_listed: Whether the requester's row was in the table at the coordinator's latest read; only then may it
        act on the records.
    :param records: Newest leader records, or those of them that the requester does not know.
    :param records_since: Digest of the requester's records if all the others are still the newest; nothing if
        ``records`` has every record.
    :param record_age_s: Seconds since they were known to be the newest.
    :param members: How the instances that share the limits differ from those that the requester knows.
    :param supply: Tokens, if the requester asked for some.
    :param samples: Log positions of primaries, by service.
    :param configuration_version: Version that the coordinator holds; the configuration is fetched separately.
    :param targets: How the registry differs from the one that the requester knows.
    :param evacuated: Seconds since the operators' feed last answered the coordinator, and for which each evacuated data
        centre has been known to be; nothing if the coordinator does not know.
    :param feed_age_s: Seconds since both feeds, configuration and registry, last answered the coordinator.
    :param path_age_s: Seconds since the table last answered the coordinator, which shows a path out of its data centre.
    :param reads: Newest format of lists that the coordinator reads; the next request holds digests in that format.
    """

    is_coordinator: bool
    duty: LeaseRecord | None = None
    is_listed: bool = False
    records: tuple[LeaderRecord, ...] = ()
    records_since: str | None = None
    record_age_s: float = 0.0
    members: Difference[MemberRecord] | None = None
    supply: SupplyAnswer | None = None
    samples: dict[str, PositionSample] = msgspec.field(default_factory=dict)
    configuration_version: Integer = -1
    targets: Difference[TargetDescription] | None = None
    evacuated: tuple[float, dict[str, float]] | None = None
    feed_age_s: float = 1e6
    path_age_s: float = 0.0
    reads: Natural = 1


@dataclasses.dataclass(frozen=True, slots=True)
class CloseRequest:
    """Request of the coordinator to release the permit of a closed term.

    :param record: The closing record.
    :param is_planned: Whether the receiver waits for its writes in flight first.
    """

    record: LeaderRecord
    is_planned: bool


@dataclasses.dataclass(frozen=True, slots=True)
class CloseAnswer:
    """Confirmation that an instance has released its permit.

    :param instance: The instance.
    """

    instance: InstanceId


@dataclasses.dataclass(frozen=True, slots=True)
class News:
    """Notification of a change, upon which the receiver exchanges at once.

    :param configuration_version: Version that the sender holds and the receiver does not.
    :param sender: Address of the sender's peer listener.
    :param duty: The lease record after a change of coordinator.
    :param resigned: Token of a coordinator that has resigned.
    """

    configuration_version: Integer = -1
    sender: OptionalAddress = ''
    duty: LeaseRecord | None = None
    resigned: Natural = 0


@dataclasses.dataclass(frozen=True, slots=True)
class FetchRequest:
    """Request to a peer for its configuration.

    :param version: Oldest version that the requester can use.
    """

    version: Integer


@dataclasses.dataclass(frozen=True, slots=True)
class FetchAnswer:
    """Answer to a fetch request.

    :param configuration: The peer's configuration, if it is new enough.
    """

    configuration: Configuration | None = None
