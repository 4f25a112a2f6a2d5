"""Requests of callers, outcomes of their execution, and the answers to them."""

import dataclasses

import msgspec

from fescuequay_core.types import (
    Instant,
    KeyDigest,
    Position,
    RequestId,
    RequestKind,
    Role,
    RouteId,
    TargetId,
    Term,
    TransactionId,
    Verdict,
)
from fescuequay_core.verdicts import Refusal


class Statement(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One SQL statement.

    :param sql: SQL with ``$1`` placeholders.
    :param params: Values of the placeholders, in order.
    """

    sql: str
    params: tuple[object, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """One request of a caller, decoded and not yet authorised.

    :param request_id: Id that is returned to the caller.
    :param kind: Kind of request.
    :param route: Route named by the caller.
    :param key_digest: Digest of the caller's key, if the request carries one.
    :param token: Session token, if the request carries one.
    :param statements: Statements to run.
    :param is_read: Whether the caller declared it a read.
    :param accepted_age_s: Maximum data age that a read accepts, if stated.
    :param idempotency_key: Key for which a repeated request gets the first answer.
    :param fingerprint: Digest of the statements, compared when an idempotency key is used again.
    :param transaction: Interactive transaction that it belongs to.
    :param deadline: Time at which the caller stops waiting.
    :param is_charged: Whether another instance has already charged the request to the rate limit.
    """

    request_id: RequestId
    kind: RequestKind
    route: RouteId
    deadline: Instant
    key_digest: KeyDigest | None = None
    token: str | None = None
    statements: tuple[Statement, ...] = ()
    is_read: bool = False
    accepted_age_s: float | None = None
    idempotency_key: str | None = None
    fingerprint: str = ''
    transaction: TransactionId | None = None
    is_charged: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class TargetStatus:
    """Status that a target reports.

    :param role: Its role.
    :param term: Term of its log.
    :param position: Last position of its log that is visible to reads.
    :param fence: Highest term at which it was fenced; it accepts no writes or log entries of earlier terms.
    :param replicated: Position that a majority of the group holds, as known to the primary.
    :param upstream_age_s: Time since its last contact with its primary; 0 at a primary.
    """

    role: Role
    term: Term
    position: Position
    fence: Term = Term(0)
    replicated: Position = Position(0)
    upstream_age_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class ResultSet:
    """Rows of one statement, already encoded.

    :param body: JSON object with columns, rows and row count.
    :param tag: Command tag that the target returned.
    """

    body: bytes
    tag: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """How an execution ended.

    :param verdict: Whether it may have taken effect.
    :param results: Rows of each statement if it ran.
    :param refusal: Why it failed.
    :param is_retryable: Whether the target reported that nothing ran and a retry may succeed.
    :param is_repeat: Whether the results are the first answer, taken from an idempotency record.
    """

    verdict: Verdict
    results: tuple[ResultSet, ...] = ()
    refusal: Refusal | None = None
    is_retryable: bool = False
    is_repeat: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """The final answer to one request.

    :param request_id: The request.
    :param token: Updated session token.
    :param results: Rows of each statement.
    :param refusal: Why it was refused.
    :param target: Target that served it.
    :param term: Term in which it was served.
    :param role: Role of that target.
    :param organisation: Organisation to which it was charged, for metrics.
    :param transaction: Interactive transaction that the request opened.
    :param is_repeat: Whether this is the first answer to an idempotency key, sent again.
    """

    request_id: RequestId
    token: str | None = None
    results: tuple[ResultSet, ...] = ()
    refusal: Refusal | None = None
    target: TargetId | None = None
    term: Term | None = None
    role: Role | None = None
    organisation: str = ''
    transaction: TransactionId | None = None
    is_repeat: bool = False
