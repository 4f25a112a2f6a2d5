"""Admission of operations: checks route, key and rate under the configuration in force when they arrive."""

import asyncio
from typing import Final

from fescuequay_core.relay import refusals
from fescuequay_core.relay.buckets import AcquireResult
from fescuequay_core.relay.model import Credential, DatabaseName, Route
from fescuequay_core.relay.refusals import Refused
from fescuequay_core.types import Instant, OrganisationId
from fescuequay_entry.relay.board import Board
from fescuequay_entry.relay.operation import Operation

#: Share of the route's target latency for which an operation waits for a token. A coordinator without tokens says so
#: in its first answer, so that the whole wait is spent only if it answers slowly.
_TOKEN_WAIT_SHARE: Final = 0.4

#: Least retry-after of an operation without a token, in seconds: a few exchanges with the coordinator.
_MIN_TOKEN_RETRY_AFTER_S: Final = 0.05

#: Retry-after of an operation that a stopping instance refuses, in seconds: by then the load balancer sends new callers
#: elsewhere.
_STOPPING_RETRY_AFTER_S: Final = 0.2

#: Organisation sent to targets for callers without a known key, which only open routes accept.
ANONYMOUS_ORGANISATION: Final = OrganisationId('-')


def admit(board: Board, database: DatabaseName, credential: Credential) -> tuple[Route, OrganisationId]:
    """Check a route and a key under the configuration in force now.

    :param board: Shared state of the instance.
    :param database: Database that the session opened.
    :param credential: Key of the session.
    :returns: The route, and the organisation that the key belongs to.
    :raises Refused: Route or key is unknown, or there is no configuration yet.
    """
    configuration = board.configuration
    if configuration is None:
        raise Refused(refusals.NO_CONFIGURATION, retry_after_s=1.0)
    route = configuration.routes_by_database.get(database)
    if route is None:
        raise Refused(refusals.UNKNOWN_DATABASE)
    organisation = configuration.organisation_ids_by_credential.get(credential)
    if organisation is None:
        if not route.is_open:
            raise Refused(refusals.UNKNOWN_KEY)
        organisation = ANONYMOUS_ORGANISATION
    return route, organisation


async def take_token(board: Board, route: Route, organisation: OrganisationId, began_at: Instant) -> None:
    """Take a token from an organisation's rate, waiting for a limited time while one may arrive.

    :param board: Shared state of the instance.
    :param route: Route of the operation.
    :param organisation: The organisation.
    :param began_at: When the operation arrived.
    :raises Refused: The rate is used up, the coordinator did not answer in time, or the instance stops.
    """
    if began_at >= board.refuse_by:
        raise Refused(refusals.STOPPING, retry_after_s=_STOPPING_RETRY_AFTER_S)
    until = board.may_wait_until(began_at + route.aim_s * _TOKEN_WAIT_SHARE)
    taken, wait_s = board.buckets.acquire(organisation, board.clock(), until - board.clock())
    board.buckets.add_waiting(organisation, 1)
    try:
        while _may_receive_token(board, taken) and board.clock() < until:
            board.changes.on_next('demand')
            await board.wait_for_change(until - board.clock())
            now = board.clock()
            taken, wait_s = board.buckets.acquire(organisation, now, until - now, is_retry=True)
    finally:
        board.buckets.add_waiting(organisation, -1)
    if taken is AcquireResult.EXHAUSTED:
        detail = f'{organisation} has used its rate'
        raise Refused(refusals.RATE_EXCEEDED, detail, max(wait_s, _MIN_TOKEN_RETRY_AFTER_S))
    if taken is not AcquireResult.ACQUIRED:
        detail = (
            f'{organisation}: '
            f'{"its equal share is used up" if taken is AcquireResult.SHARE_EXHAUSTED else "no answer in time"}'
        )
        raise Refused(refusals.RATE_UNKNOWN, detail, max(wait_s, _MIN_TOKEN_RETRY_AFTER_S))
    if wait_s > 0:
        await asyncio.sleep(wait_s)


def _may_receive_token(board: Board, taken: AcquireResult) -> bool:
    """:returns: Whether a token may still arrive; an instance that is starting does not know its supplier yet."""
    return taken is AcquireResult.ASK_COORDINATOR or (taken is AcquireResult.SHARE_EXHAUSTED and board.is_starting())


def return_token(board: Board, operation: Operation) -> None:
    """Return the token of a refused operation unless it sent a statement: the rate limit counts what targets run."""
    if not operation.is_sent:
        board.buckets.release(operation.organisation, board.clock())
