"""Refusals and their reasons."""

import dataclasses
from typing import Final

from fescuequay_core.types import Verdict


@dataclasses.dataclass(frozen=True, slots=True)
class Reason:
    """Reason for refusing a request, compared by identity.

    :param code: Stable machine-readable code that callers receive.
    :param status: HTTP status of the answer.
    :param title: One sentence for people.
    :param retryable: Whether the same request may succeed later.
    """

    code: str
    status: int
    title: str
    retryable: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """One refusal: its reason, its verdict and when to retry.

    :param reason: Reason of the refusal.
    :param verdict: Whether the request may have taken effect.
    :param detail: What happened, with names and values.
    :param retry_after_s: Seconds after which a retry may succeed.
    """

    reason: Reason
    verdict: Verdict
    detail: str
    retry_after_s: float | None = None


BAD_REQUEST: Final = Reason('bad_request', 400, 'The request is malformed.')
BAD_TOKEN: Final = Reason('bad_session', 400, 'The session token is not valid.')
FOREIGN_TOKEN: Final = Reason('foreign_session', 403, 'The session belongs to another organisation.')
NO_KEY: Final = Reason('key_missing', 401, 'This route needs a key.')
UNKNOWN_KEY: Final = Reason('key_unknown', 401, 'The key is unknown or has been withdrawn.')
OUT_OF_SCOPE: Final = Reason('key_out_of_scope', 403, 'The key does not cover this route.')
UNKNOWN_ROUTE: Final = Reason('route_unknown', 404, 'There is no such route.')
UNKNOWN_TRANSACTION: Final = Reason('transaction_unknown', 404, 'There is no such transaction.')
NOT_READY: Final = Reason('not_ready', 503, 'The instance has no configuration yet.', retryable=True)
STOPPING: Final = Reason('stopping', 503, 'The instance is stopping.', retryable=True)
VIEW_STALE: Final = Reason(
    'view_stale', 503, 'The instance cannot confirm that the key is still valid.', retryable=True
)
RATE_EXCEEDED: Final = Reason('rate_exceeded', 429, 'The organisation has used up its rate.', retryable=True)
OVERLOADED: Final = Reason('overloaded', 503, 'Too many requests are waiting for this group.', retryable=True)
NO_PRIMARY: Final = Reason('no_primary', 503, 'The group has no confirmed primary at present.', retryable=True)
NO_REPLICA: Final = Reason('no_target', 503, 'No target can serve this read at present.', retryable=True)
NO_CONNECTION: Final = Reason('no_connection', 503, 'This instance holds no connection to the target.', retryable=True)
SESSION_AHEAD: Final = Reason(
    'session_ahead', 409, 'The session saw writes that the group no longer holds after a failover.'
)
DEADLINE: Final = Reason('deadline', 504, 'The deadline passed.', retryable=True)
STATEMENT_FAILED: Final = Reason('statement_failed', 422, 'The database rejected the statement.')
CONNECTION_LOST: Final = Reason('connection_lost', 502, 'The connection to the target was lost.')
NOT_ACKNOWLEDGED: Final = Reason(
    'not_acknowledged', 504, 'The write ran but was not confirmed as durable in the present term.'
)
ANSWER_TOO_LARGE: Final = Reason('answer_too_large', 413, 'The answer exceeds the size limit.')
KEY_REUSED: Final = Reason('idempotency_key_reused', 422, 'The idempotency key was already used with another request.')
PEER_UNREACHABLE: Final = Reason('peer_unreachable', 503, 'The instance that holds the transaction cannot be reached.')
INTERNAL: Final = Reason('internal', 500, 'An internal error occurred in the instance.')

#: Every reason above by its code.
REASONS_BY_CODE: Final = {reason.code: reason for reason in tuple(globals().values()) if isinstance(reason, Reason)}
