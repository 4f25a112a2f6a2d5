"""Data model of the operators' configuration, targets, and the records in the table."""

import dataclasses
import enum
from typing import Annotated, NewType

import msgspec

from fescuequay_core.decoding import MAX_INTEGER, Integer, Natural
from fescuequay_core.relay.fields import (
    DataCentreName,
    InstanceName,
    ListenerAddress,
    OptionalAddress,
    OptionalInstanceName,
)
from fescuequay_core.types import LeaderState, OrganisationId, Role, ServiceId, TargetId, Term

DatabaseName = NewType('DatabaseName', str)
Credential = NewType('Credential', str)


#: Term of messages and records.
_Term = Annotated[Term, msgspec.Meta(ge=0, le=MAX_INTEGER)]


class Consistency(enum.Enum):
    """Which commits a read on a route must see."""

    PRIMARY = 'primary'
    BOUNDED = 'bounded'
    SESSION = 'session'


class SessionState(enum.Enum):
    """Transaction state of a session, as reported between callers and targets."""

    IDLE = 'idle'
    IN_TRANSACTION = 'in_transaction'
    FAILED = 'failed'


class StatementKind(enum.Enum):
    """What a statement asks for."""

    BEGIN = 'begin'
    COMMIT = 'commit'
    ROLLBACK = 'rollback'
    READ = 'read'
    WRITE = 'write'
    SET = 'set'
    PREPARE = 'prepare'
    EXECUTE = 'execute'
    DEALLOCATE = 'deallocate'


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class LogPosition:
    """Place in a service's log; later terms come after earlier ones.

    :param term: Term in which the entry was written.
    :param number: Number of the commit.
    """

    term: _Term
    number: Natural

    def __str__(self) -> str:
        return f'{self.term}.{self.number}'


@dataclasses.dataclass(frozen=True, slots=True)
class Statement:
    """One statement of a caller.

    :param kind: What it asks for.
    :param text: The text as the caller sent it; targets get it unchanged.
    :param name: Name of a value or of a prepared statement.
    :param value: Value to set, or the shape of a prepared statement.
    :param is_write: Whether a prepared statement writes, or whether ``BEGIN`` allows writes.
    :param arguments: What follows the name of a prepared statement that is executed.
    """

    kind: StatementKind
    text: str
    name: str = ''
    value: str = ''
    is_write: bool = False
    arguments: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """One database name that callers may open, and how its statements are served.

    :param name: Name of the route.
    :param database: Name that callers give.
    :param service: Service that answers.
    :param consistency: Which commits a read must see.
    :param staleness_s: Age of data that a read accepts; 0 on routes of the primary.
    :param timeout_s: Longest run of one statement.
    :param aim_s: Time within which a whole operation should be answered.
    :param priority: 0 goes first.
    :param is_open: Whether callers need no key.
    """

    name: str
    database: DatabaseName
    service: ServiceId
    consistency: Consistency
    staleness_s: float
    timeout_s: float
    aim_s: float
    priority: Natural
    is_open: bool


@dataclasses.dataclass(frozen=True, slots=True)
class OrganisationPolicy:
    """Limit of one organisation over all instances.

    :param organisation: Its name.
    :param rate_per_s: Operations a second.
    :param burst: Operations beyond the rate.
    """

    organisation: OrganisationId
    rate_per_s: float
    burst: float


@dataclasses.dataclass(frozen=True, slots=True)
class ServicePolicy:
    """Settings of one service.

    :param service: Its name.
    :param max_connections: Connections that each of its targets accepts from all instances together.
    :param acknowledging_replicas: Replicas that must have a commit before it is acknowledged.
    """

    service: ServiceId
    max_connections: Natural
    acknowledging_replicas: Natural


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """One complete version of the operators' configuration.

    :param version: Grows with each change.
    :param idle_transaction_s: Time after which an idle transaction may be ended.
    :param routes_by_database: Routes by the name that callers give.
    :param services_by_id: Services.
    :param organisations_by_id: Organisations.
    :param organisation_ids_by_credential: Organisation of each key.
    """

    version: Natural
    idle_transaction_s: float
    routes_by_database: dict[str, Route]
    services_by_id: dict[str, ServicePolicy]
    organisations_by_id: dict[str, OrganisationPolicy]
    organisation_ids_by_credential: dict[str, OrganisationId]


@dataclasses.dataclass(frozen=True, slots=True)
class Evacuation:
    """The operators' request to send nothing more to the targets of a data centre.

    :param data_centre: The data centre.
    """

    data_centre: str


@dataclasses.dataclass(frozen=True, slots=True)
class TargetDescription:
    """A target's own latest entry in the registry.

    :param target: Its id.
    :param born_ms: Start of this incarnation; another incarnation keeps no earlier state.
    :param service: Service that it belongs to.
    :param address: ``host:port`` of its listener; addresses may be reused by other targets.
    :param data_centre: Where it runs.
    :param is_draining: Whether it is about to leave.
    :param role: Role that it reports for itself.
    :param slots: Statements that it says it runs at a time; 0 if unknown. Not part of ``repr``, from which builds with
        and without this field compute the digest of a list.
    """

    target: TargetId
    born_ms: Natural
    service: ServiceId
    address: str
    data_centre: str
    is_draining: bool
    role: Role
    slots: Natural = dataclasses.field(default=0, repr=False)


@dataclasses.dataclass(frozen=True, slots=True)
class TargetReport:
    """Answer of a target to a status request.

    :param role: Role that it reports for itself.
    :param term: Newest term that it knows.
    :param position: End of the log that it has received.
    :param lag_s: How far its data is behind what it received.
    :param busy: Statements that it runs.
    :param connections: Connections that it holds.
    """

    role: Role
    term: Term
    position: LogPosition
    lag_s: float
    busy: int
    connections: int


@dataclasses.dataclass(frozen=True, slots=True)
class LeaderRecord:
    """Which target leads a service; kept in the table, one row a service.

    :param service: The service.
    :param term: Term of the leader.
    :param target: The leader; while closing, the one that is replaced.
    :param state: Whether it leads or is being replaced.
    :param cause: Why it is being replaced, or how it came to lead.
    :param promoted: Target that a promote call may have named; the old leader can't be kept after that.
    :param version: Version of the row; a later one replaces an earlier one.
    """

    service: ServiceId
    term: _Term
    target: TargetId
    state: LeaderState
    cause: str
    promoted: TargetId | None = None
    version: Natural = 0


@dataclasses.dataclass(frozen=True, slots=True)
class MemberRecord:
    """One running instance; kept in the table, one row an instance.

    :param instance: Its name.
    :param incarnation: Differs after each start.
    :param address: ``host:port`` of its peer listener.
    :param data_centre: Where it runs.
    :param is_leaving: Whether it gets no more permits until it registers again; its row may be removed once
        those that it may still hold have expired.
    :param capacity: What it can bear, in cores; 0 if it can't be a gateway or doesn't say.
    :param reads: Newest format of lists that its build reads.
    """

    instance: InstanceName
    incarnation: str
    address: ListenerAddress
    data_centre: DataCentreName
    is_leaving: bool = False
    capacity: float = 0.0
    reads: Natural = 1


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseRecord:
    """The coordinator lease, one row of the table; its holder renews it, divides limits and replaces primaries.

    :param instance: The holder; empty when the lease was released.
    :param incarnation: Incarnation of the holder.
    :param address: Its peer listener.
    :param token: Grows whenever the holder changes.
    :param nonce: Differs at each write, so that an unanswered one can be recognised.
    :param version: Version of the row.
    """

    instance: OptionalInstanceName
    incarnation: str
    address: OptionalAddress
    token: Natural
    nonce: str
    version: Natural = 0


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseRow(LeaseRecord):
    """The coordinator lease's row in the table, with dates on the table's clock; peers send each other only the record.

    :param began_by_s: Time by which the write of this row had begun; none when unknown.
    :param known_version: Newest version that the holder knows to have been written; -1 for none.
    :param known_by_s: Time by which the rows up to that version had been written.
    :param settled_by_s: Time by which no coordinator of an earlier era acted any more; none when unknown.
    """

    began_by_s: float | None = None
    known_version: Integer = -1
    known_by_s: float = 0.0
    settled_by_s: float | None = None

    def record(self) -> LeaseRecord:
        """:returns: The row without its dates."""
        return LeaseRecord(self.instance, self.incarnation, self.address, self.token, self.nonce, self.version)
