"""Session tokens: opaque to callers, authenticated by a MAC, valid at every instance."""

import base64
import binascii
import hashlib
import hmac
from typing import Final

import msgspec

from fescuequay_core.exceptions import TokenError
from fescuequay_core.types import GroupId, OrganisationId, Position, Term

_MAC_BYTES: Final = 16

#: Longer tokens are rejected before they are decoded.
MAX_TOKEN_CHARS: Final = 16_384


class Mark(msgspec.Struct, frozen=True, array_like=True):
    """Log position of the latest write of a session in one group, which its reads must not precede.

    :param term: Term of that write.
    :param position: Log position at or after that write.
    :param is_uncertain: Whether a later write may have run at an unknown position.
    """

    term: Term
    position: Position
    is_uncertain: bool = False


class Session(msgspec.Struct, frozen=True, array_like=True):
    """Session of one caller, which lets its reads see its earlier writes.

    :param organisation: Organisation that the session belongs to.
    :param marks: Position of the latest write by group.
    """

    organisation: OrganisationId
    marks: dict[GroupId, Mark] = {}

    def with_mark(self, group: GroupId, mark: Mark) -> 'Session':
        """:returns: A copy of the session with a new mark for one group."""
        return Session(self.organisation, {**self.marks, group: mark})


def encode(session: Session, secret: bytes) -> str:
    """Encode and sign a session.

    :param session: The session.
    :param secret: Secret shared by every instance of the fleet.
    :returns: URL-safe token.
    """
    body = msgspec.msgpack.encode(session)
    return base64.urlsafe_b64encode(_mac(body, secret) + body).decode().rstrip('=')


def decode(token: str, secrets: tuple[bytes, ...]) -> Session:
    """Verify and decode a token.

    :param token: Token as the caller sent it.
    :param secrets: Accepted secrets; the first one signs new tokens.
    :returns: The session.
    :raises TokenError: if the token is malformed or not signed with an accepted secret.
    """
    if len(token) > MAX_TOKEN_CHARS:
        raise TokenError(f'the session token has {len(token)} characters; at most {MAX_TOKEN_CHARS} are accepted')
    try:
        raw = base64.b64decode(token + '=' * (-len(token) % 4), altchars=b'-_', validate=True)
    except (binascii.Error, ValueError):
        raise TokenError('the session token is not valid base64') from None
    mac, body = raw[:_MAC_BYTES], raw[_MAC_BYTES:]
    if not any(hmac.compare_digest(mac, _mac(body, secret)) for secret in secrets):
        raise TokenError('the session token is not signed by this fleet')
    try:
        return msgspec.msgpack.decode(body, type=Session)
    except (msgspec.DecodeError, RecursionError):
        raise TokenError('the session token cannot be decoded') from None


def _mac(body: bytes, secret: bytes) -> bytes:
    return hashlib.blake2b(
        body, key=secret[: hashlib.blake2b.MAX_KEY_SIZE], digest_size=_MAC_BYTES, person=b'fq-session'
    ).digest()
