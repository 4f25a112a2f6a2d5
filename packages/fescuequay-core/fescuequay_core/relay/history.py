"""Earlier states of a list, so that a reader that knows one of them is sent only the changes since."""

import collections
import dataclasses
import hashlib
from collections.abc import Mapping
from typing import Final, Generic, TypeVar

Key = TypeVar('Key', bound=str)
Item = TypeVar('Item')

#: Maximum number of stored states: more than the number of changes within a few exchanges of the slowest reader.
_MAX_STATES: Final = 64

_DIGEST_BYTES: Final = 6


@dataclasses.dataclass(frozen=True, slots=True)
class Difference(Generic[Item]):
    """Difference between the current state of a list and an earlier one.

    :param is_whole: Whether the earlier state is not known, so that ``changed`` is the whole list.
    :param changed: Items that are new or have changed.
    :param removed: Keys of the items that are no longer in the list.
    """

    is_whole: bool
    changed: tuple[Item, ...]
    removed: tuple[str, ...]


def digest_of(items_by_key: Mapping[Key, Item]) -> str:
    """:returns: Short digest of a list."""
    names = sorted(map(repr, items_by_key.values()))
    return hashlib.blake2b('\n'.join(names).encode(), digest_size=_DIGEST_BYTES).hexdigest()


class History(Generic[Key, Item]):
    """The current state of a list and the latest earlier ones; the digest of each is computed once."""

    def __init__(self) -> None:
        self._states_by_digest: collections.OrderedDict[str, dict[Key, Item]] = collections.OrderedDict()
        self.digest = ''

    def record(self, items_by_key: Mapping[Key, Item]) -> None:
        """Record the current state.

        :param items_by_key: The list; it is copied if it has changed.
        """
        if self.digest and self._states_by_digest[self.digest] == items_by_key:
            return
        self.digest = digest_of(items_by_key)
        self._states_by_digest[self.digest] = dict(items_by_key)
        self._states_by_digest.move_to_end(self.digest)
        while len(self._states_by_digest) > _MAX_STATES:
            self._states_by_digest.popitem(last=False)

    def since(self, digest: str) -> Difference[Item] | None:
        """Compare the current state with an earlier one.

        :param digest: Digest of the earlier state.
        :returns: The difference; nothing if the states are equal.
        """
        if digest == self.digest or not self.digest:
            return None
        current = self._states_by_digest[self.digest]
        earlier = self._states_by_digest.get(digest)
        if earlier is None:
            return Difference(is_whole=True, changed=tuple(current.values()), removed=())
        return Difference(
            is_whole=False,
            changed=tuple(item for key, item in current.items() if earlier.get(key) != item),
            removed=tuple(str(key) for key in earlier if key not in current),
        )
