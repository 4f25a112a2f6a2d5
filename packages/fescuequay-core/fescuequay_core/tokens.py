"""Session tokens: opaque to callers, authenticated, valid at every instance."""

import base64
import binascii
import hashlib
import hmac
from typing import Final

import msgspec

from fescuequay_core.exceptions import TokenError
from fescuequay_core.types import GroupId, OrganisationId, Position, Term

_MAC_BYTES: Final = 16

#: A longer token is refused before it is decoded.
MAX_TOKEN_CHARS: Final = 16_384


class Mark(msgspec.Struct, frozen=True, array_like=True):
    """What a session has written to one group.

    :param term: Term of its latest write.
    :param position: Position at or after that write.
    :param is_uncertain: Whether a write may have run at an unknown position.
    """

    term: Term
    position: Position
    is_uncertain: bool = False


class Session(msgspec.Struct, frozen=True, array_like=True):
    """What one caller has seen of its own work.

    :param organisation: Organisation that the session belongs to.
    :param marks: Latest mark by group.
    """

    organisation: OrganisationId
    marks: dict[GroupId, Mark] = {}

    def with_mark(self, group: GroupId, mark: Mark) -> 'Session':
        """:returns: The session with a new mark for one group."""
        return Session(self.organisation, {**self.marks, group: mark})


def encode(session: Session, secret: bytes) -> str:
    """Make the token of a session.

    :param session: The session.
    :param secret: Secret that every instance of the fleet holds.
    :returns: URL-safe text.
    """
    body = msgspec.msgpack.encode(session)
    return base64.urlsafe_b64encode(_mac(body, secret) + body).decode().rstrip('=')


def decode(token: str, secrets: tuple[bytes, ...]) -> Session:
    """Check and read a token.

    :param token: Text that the caller sent.
    :param secrets: Accepted secrets; the first one signs new tokens.
    :returns: The session.
    :raises TokenError: when no accepted secret made it.
    """
    if len(token) > MAX_TOKEN_CHARS:
        raise TokenError(f'the session token has {len(token)} characters; at most {MAX_TOKEN_CHARS} are accepted')
    try:
        raw = base64.b64decode(token + '=' * (-len(token) % 4), altchars=b'-_', validate=True)
    except (binascii.Error, ValueError):
        raise TokenError('the session token is not base64') from None
    mac, body = raw[:_MAC_BYTES], raw[_MAC_BYTES:]
    if not any(hmac.compare_digest(mac, _mac(body, secret)) for secret in secrets):
        raise TokenError('the session token was not made by this fleet')
    try:
        return msgspec.msgpack.decode(body, type=Session)
    except (msgspec.DecodeError, RecursionError):
        raise TokenError('the session token does not decode') from None


def _mac(body: bytes, secret: bytes) -> bytes:
    return hashlib.blake2b(
        body, key=secret[: hashlib.blake2b.MAX_KEY_SIZE], digest_size=_MAC_BYTES, person=b'fq-session'
    ).digest()
