"""Authorisation of requests by route, key, scope and session."""

import dataclasses

from fescuequay_core import keys, tokens, verdicts
from fescuequay_core.blackboard import Blackboard
from fescuequay_core.config import Route, Text
from fescuequay_core.exceptions import TokenError
from fescuequay_core.requests import Request
from fescuequay_core.tokens import Session
from fescuequay_core.types import Access, GroupId, Instant, OrganisationId, Verdict
from fescuequay_core.verdicts import Reason, Refusal


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """An authorised request.

    :param route: Its route.
    :param organisation: Organisation on whose behalf it runs.
    :param group: Group that holds the organisation's data.
    :param session: Its session; a new one if the request carries no token.
    """

    route: Route
    organisation: OrganisationId
    group: GroupId
    session: Session


def refuse(reason: Reason, detail: str, retry_after_s: float | None = None) -> Refusal:
    """:returns: A refusal with the verdict that the request has not run."""
    return Refusal(reason, Verdict.NOT_RUN, detail, retry_after_s)


class Authoriser:
    """Authorises requests against the text in force.

    :param board: The blackboard.
    """

    def __init__(self, board: Blackboard) -> None:
        self._board = board

    def check(self, request: Request, now: Instant) -> Grant | Refusal:
        """Check a request on arrival and again before it is sent to a target.

        :param request: The request.
        :param now: Present time.
        :returns: The grant or the refusal.
        """
        text = self._board.text
        if text is None:
            return refuse(verdicts.NOT_READY, 'no configuration text has been read yet', 1.0)
        route = text.routes.get(request.route)
        if route is None:
            return refuse(verdicts.UNKNOWN_ROUTE, f'there is no route {request.route!r}')
        organisation = self._resolve_organisation(text, route, request, now)
        if isinstance(organisation, Refusal):
            return organisation
        return self._resolve_session(text, route, organisation, request)

    def _resolve_organisation(
        self, text: Text, route: Route, request: Request, now: Instant
    ) -> OrganisationId | Refusal:
        if route.access is Access.OPEN and route.organisation is not None:
            return route.organisation
        if request.key_digest is None:
            return refuse(verdicts.NO_KEY, f'the route {request.route!r} needs a key')
        found = text.keys_by_digest.get(request.key_digest)
        if found is None or not keys.are_equal(found[1].sha256, request.key_digest):
            return refuse(verdicts.UNKNOWN_KEY, 'the key is unknown or has been withdrawn')
        organisation, key = found
        if key.routes and request.route not in key.routes:
            return refuse(verdicts.OUT_OF_SCOPE, f'the key does not cover the route {request.route!r}')
        # A newer text that has been applied but has not arrived here may have withdrawn the key.
        applied = self._board.record.text
        is_behind = applied is not None and applied.number != self._board.text_number
        age_s = max(self._board.view_age_s(now), now - self._board.text_adopted_at if is_behind else 0.0)
        if age_s > route.key_grace_s:
            return refuse(verdicts.VIEW_STALE, f'the keys were last confirmed {age_s:.1f} s ago', 1.0)
        return organisation

    def _resolve_session(
        self, text: Text, route: Route, organisation: OrganisationId, request: Request
    ) -> Grant | Refusal:
        group = text.organisations[organisation].groups.get(route.service)
        if group is None:
            return refuse(verdicts.OUT_OF_SCOPE, f'the organisation has no group for the route {request.route!r}')
        if request.token is None:
            return Grant(route, organisation, group, Session(organisation))
        try:
            session = tokens.decode(request.token, self._board.secrets)
        except TokenError as error:
            return refuse(verdicts.BAD_TOKEN, str(error))
        if session.organisation != organisation:
            return refuse(verdicts.FOREIGN_TOKEN, 'the session token belongs to another organisation')
        return Grant(route, organisation, group, session)
