"""Identifier types and enumerations shared by all modules."""

import enum
from typing import NewType

InstanceId = NewType('InstanceId', str)
DataCentreId = NewType('DataCentreId', str)
ServiceId = NewType('ServiceId', str)
GroupId = NewType('GroupId', str)
TargetId = NewType('TargetId', str)
RouteId = NewType('RouteId', str)
OrganisationId = NewType('OrganisationId', str)
KeyDigest = NewType('KeyDigest', str)
RequestId = NewType('RequestId', str)
TransactionId = NewType('TransactionId', str)
ResourceId = NewType('ResourceId', str)
SeatId = NewType('SeatId', str)
Term = NewType('Term', int)
Position = NewType('Position', int)
Digest = NewType('Digest', str)

#: Number of times that the table has come back from an earlier copy of itself.
Era = NewType('Era', int)

#: Reading of the monotonic clock of one instance, in seconds.
Instant = float


class Role(enum.Enum):
    """Replication role that a target reports."""

    PRIMARY = 'primary'
    REPLICA = 'replica'


class Verdict(enum.Enum):
    """Whether a request may have taken effect at a target."""

    NOT_RUN = 'not_run'
    MAY_HAVE_RUN = 'may_have_run'
    RAN = 'ran'


class Access(enum.Enum):
    """Who may call a route or reach a service."""

    OPEN = 'open'
    KEYED = 'keyed'


class Acknowledge(enum.Enum):
    """Where a write must be stored before it is acknowledged to the caller."""

    PRIMARY = 'primary'
    REPLICA = 'replica'


class LeaderState(enum.Enum):
    """State of a group's leader record."""

    LEADING = 'leading'
    CLOSING = 'closing'


class RequestKind(enum.Enum):
    """Kind of a caller's request."""

    STATEMENT = 'statement'
    BATCH = 'batch'
    BEGIN = 'begin'
    IN_TRANSACTION = 'in_transaction'
    COMMIT = 'commit'
    ROLLBACK = 'rollback'
