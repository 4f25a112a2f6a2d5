"""Keys of callers: making one, and the digest that stands for it everywhere else."""

import hashlib
import hmac
from typing import Final

from fescuequay_core.types import KeyDigest

_PREFIX: Final = 'fq_'


def make_key(random_bytes: bytes) -> str:
    """Make a key.

    :param random_bytes: At least 32 bytes of a secure generator.
    :returns: The key; it is shown once and never kept.
    """
    return _PREFIX + random_bytes.hex()


def digest_of(key: str) -> KeyDigest:
    """:returns: The digest that the text carries for a key."""
    return KeyDigest(hashlib.sha256(key.encode('utf-8', 'surrogateescape')).hexdigest())


def are_equal(left: KeyDigest, right: KeyDigest) -> bool:
    """:returns: Whether two digests are equal, compared in constant time."""
    return hmac.compare_digest(left, right)
