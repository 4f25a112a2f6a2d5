"""Keys of callers and their digests; only the digest is stored."""

import hashlib
import hmac
from typing import Final

from fescuequay_core.types import KeyDigest

_PREFIX: Final = 'fq_'


def make_key(random_bytes: bytes) -> str:
    """Make a key.

    :param random_bytes: At least 32 bytes from a cryptographically secure generator.
    :returns: The key, which is shown once and never stored.
    """
    return _PREFIX + random_bytes.hex()


def digest_of(key: str) -> KeyDigest:
    """:returns: The digest of a key as the configuration text contains it."""
    return KeyDigest(hashlib.sha256(key.encode('utf-8', 'surrogateescape')).hexdigest())


def are_equal(left: KeyDigest, right: KeyDigest) -> bool:
    """:returns: Whether two digests are equal, compared in constant time."""
    return hmac.compare_digest(left, right)
