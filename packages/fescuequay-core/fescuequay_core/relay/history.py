"""Earlier states of a list, so that a reader that knows one of them is sent only the changes since."""

import collections
import dataclasses
import hashlib
from collections.abc import Iterable, Mapping
from typing import Final, Generic, TypeVar

Key = TypeVar('Key', bound=str)
Item = TypeVar('Item')

#: Maximum number of known states, of which only the digest is stored: more than the number of changes within a few
#: exchanges of the slowest reader, also while hundreds of instances start.
_MAX_STATES: Final = 1024

#: Stands for every digest that is not known, in the place of one.
_UNKNOWN: Final = ''

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
    return _digest_of_texts(map(repr, items_by_key.values()))


def _digest_of_texts(texts: Iterable[str]) -> str:
    return hashlib.blake2b('\n'.join(sorted(texts)).encode(), digest_size=_DIGEST_BYTES).hexdigest()


class History(Generic[Key, Item]):
    """The current state of a list, and when each item last changed, which gives the changes since an earlier state.

    The digest of each state is computed once, and the changes since one are collected once for all readers.
    """

    def __init__(self) -> None:
        self._items_by_key: dict[Key, Item] = {}
        self._texts_by_key: dict[Key, str] = {}
        self._number = 0
        self._changed_in_by_key: dict[Key, int] = {}
        self._removed_in_by_key: dict[Key, int] = {}
        self._numbers_by_digest: collections.OrderedDict[str, int] = collections.OrderedDict()
        self._differences_by_digest: dict[str, Difference[Item]] = {}
        self.digest = ''

    def record(self, items_by_key: Mapping[Key, Item]) -> None:
        """Record the current state.

        :param items_by_key: The list; it is copied if it has changed.
        """
        if self.digest and self._items_by_key == items_by_key:
            return
        self._number += 1
        self._differences_by_digest.clear()
        self._remove(set(self._items_by_key) - set(items_by_key))
        for key, item in items_by_key.items():
            if self._items_by_key.get(key) != item:
                self._put(key, item)
        # In the order of the list that was given, in which readers are sent it.
        self._items_by_key = dict(items_by_key)
        self.digest = _digest_of_texts(self._texts_by_key.values())
        self._numbers_by_digest[self.digest] = self._number
        self._numbers_by_digest.move_to_end(self.digest)
        self._forget_oldest()

    def since(self, digest: str) -> Difference[Item] | None:
        """Compare the current state with an earlier one.

        :param digest: Digest of the earlier state.
        :returns: The difference; nothing if the states are equal.
        """
        if digest == self.digest or not self.digest:
            return None
        number = self._numbers_by_digest.get(digest)
        known = digest if number is not None else _UNKNOWN
        difference = self._differences_by_digest.get(known)
        if difference is None:
            difference = self._whole() if number is None else self._changes_since(number)
            self._differences_by_digest[known] = difference
        return difference

    def _whole(self) -> Difference[Item]:
        return Difference(is_whole=True, changed=tuple(self._items_by_key.values()), removed=())

    def _changes_since(self, number: int) -> Difference[Item]:
        return Difference(
            is_whole=False,
            changed=tuple(item for key, item in self._items_by_key.items() if self._changed_in_by_key[key] > number),
            removed=tuple(str(key) for key, removed_in in self._removed_in_by_key.items() if removed_in > number),
        )

    def _put(self, key: Key, item: Item) -> None:
        self._texts_by_key[key] = repr(item)
        self._changed_in_by_key[key] = self._number
        self._removed_in_by_key.pop(key, None)

    def _remove(self, keys: Iterable[Key]) -> None:
        for key in keys:
            self._texts_by_key.pop(key)
            self._changed_in_by_key.pop(key)
            self._removed_in_by_key[key] = self._number

    def _forget_oldest(self) -> None:
        if len(self._numbers_by_digest) <= _MAX_STATES:
            return
        self._numbers_by_digest.popitem(last=False)
        oldest = min(self._numbers_by_digest.values())
        self._removed_in_by_key = {key: number for key, number in self._removed_in_by_key.items() if number > oldest}
