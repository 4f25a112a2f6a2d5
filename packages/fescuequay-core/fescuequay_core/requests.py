"""Requests of callers, how a target answered them, and the answers given."""

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

    :param sql: Text with ``$1`` placeholders.
    :param params: Values of the placeholders, in order.
    """

    sql: str
    params: tuple[object, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """One request of a caller, decoded and not yet checked.

    :param request_id: Identity given back to the caller.
    :param kind: Shape of the request.
    :param route: Route named by the caller.
    :param key_digest: Digest of the caller's key, if one came.
    :param token: Session token, if one came.
    :param statements: What to run.
    :param is_read: Whether the caller declared it a read.
    :param accepted_age_s: Age of data that a read accepts, if stated.
    :param idempotency_key: Key under which a repeat returns the first answer.
    :param fingerprint: Digest of the statements, compared when an idempotency key repeats.
    :param transaction: Interactive transaction that it belongs to.
    :param deadline: When the caller stops waiting.
    :param is_charged: Whether another instance has already charged the rate.
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
    """What a target said of itself.

    :param role: Its role.
    :param term: Term of its log.
    :param position: Last position of its log that readers see.
    :param fence: Highest term it was fenced at; it takes no writes or log of earlier terms.
    :param replicated: Position that a majority of the group holds, as the primary knows it.
    :param upstream_age_s: Time since it last heard from its primary; 0 at a primary.
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
    :param tag: Command that the target says it carried out.
    """

    body: bytes
    tag: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """How an execution ended.

    :param verdict: Whether it may have taken effect.
    :param results: Rows of each statement when it ran.
    :param refusal: Why it did not succeed.
    :param is_retryable: Whether the target itself said that nothing ran and another try may succeed.
    :param is_repeat: Whether an idempotency record gave the first answer.
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
    :param token: New session token.
    :param results: Rows of each statement.
    :param refusal: Why it was refused.
    :param target: Target that served it.
    :param term: Term in which it was served.
    :param role: Role of that target.
    :param organisation: Organisation that it was charged to, for metrics.
    :param transaction: Interactive transaction that was opened.
    :param is_repeat: Whether this repeats the first answer of an idempotency key.
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
