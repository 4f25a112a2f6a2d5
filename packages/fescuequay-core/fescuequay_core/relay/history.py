"""Earlier states of a list, so that a reader that knows one of them is sent only the changes since."""

import collections
import dataclasses
import hashlib
from collections.abc import Iterable, Mapping
from typing import Final, Generic, TypeVar

Key = TypeVar('Key', bound=str)
Item = TypeVar('Item')

#: Maximum number of stored states: more than the number of changes within a few exchanges of the slowest reader.
_MAX_STATES: Final = 64

_DIGEST_BYTES: Final = 6

#: Names of the fields that a format of a list has.
Fields = tuple[str, ...]

#: Stands for every digest that is not known, in the place of one.
_UNKNOWN: Final = ''


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


def digest_of(items_by_key: Mapping[Key, Item], fields: Fields | None = None) -> str:
    """Compute a digest that instances of every build compute alike.

    :param items_by_key: The list.
    :param fields: Fields of the items that count, in the order of their declaration; all of them by default.
    :returns: Short digest.
    """
    return _digest_of_texts(_describe(item, fields) for item in items_by_key.values())


def _digest_of_texts(texts: Iterable[str]) -> str:
    return hashlib.blake2b('\n'.join(sorted(texts)).encode(), digest_size=_DIGEST_BYTES).hexdigest()


def _describe(item: object, fields: Fields | None) -> str:
    """:returns: An item as the builds describe it whose items had only these fields."""
    if fields is None:
        return repr(item)
    shown = ', '.join(f'{name}={getattr(item, name)!r}' for name in fields)
    return f'{type(item).__qualname__}({shown})'


class History(Generic[Key, Item]):
    """The current state of a list and the latest earlier ones, in the present format and in those of earlier builds.

    :param earlier_formats: Fields of the items in the formats of earlier builds, oldest first. The present format has
        all fields. A reader sends the digest in its own format, and is sent what differs in that format.
    """

    def __init__(self, earlier_formats: tuple[Fields, ...] = ()) -> None:
        self._formats: tuple[_FormatHistory[Key, Item], ...] = tuple(
            _FormatHistory(fields) for fields in (*earlier_formats, None)
        )
        self._items_by_key: dict[Key, Item] = {}

    @property
    def digest(self) -> str:
        """:returns: Digest of the current state in the present format; empty before the first record."""
        return self._formats[-1].digest

    def digest_for(self, reads: int) -> str:
        """:returns: Digest of the current state for a receiver.

        :param reads: Newest format that the receiver reads; the first is 1.
        """
        return self._formats[min(max(reads, 1), len(self._formats)) - 1].digest

    def record(self, items_by_key: Mapping[Key, Item]) -> None:
        """Record the current state.

        :param items_by_key: The list; it is copied if it has changed.
        """
        if self.digest and self._items_by_key == items_by_key:
            return
        self._items_by_key = dict(items_by_key)
        for history in self._formats:
            history.record(self._items_by_key)

    def since(self, digest: str) -> Difference[Item] | None:
        """Compare the current state with an earlier one, in the format of the digest.

        :param digest: Digest of the earlier state, in any format.
        :returns: The difference; nothing if the states are equal.
        """
        if not self.digest or any(digest == history.digest for history in self._formats):
            return None
        # The present format comes first: where two formats agree on a digest, the list is compared in all its fields.
        knowing = next((history for history in reversed(self._formats) if history.knows(digest)), self._formats[-1])
        return knowing.since(digest)


class _FormatHistory(Generic[Key, Item]):
    """The current state of a list in one format, and when each item last changed in it.

    The digest of each state is computed once, and the changes since one are collected once for all readers.
    """

    def __init__(self, fields: Fields | None) -> None:
        self._fields = fields
        self._items_by_key: dict[Key, Item] = {}
        self._texts_by_key: dict[Key, str] = {}
        self._number = 0
        self._changed_in_by_key: dict[Key, int] = {}
        self._removed_in_by_key: dict[Key, int] = {}
        self._numbers_by_digest: collections.OrderedDict[str, int] = collections.OrderedDict()
        self._differences_by_digest: dict[str, Difference[Item]] = {}
        self.digest = ''

    def record(self, items_by_key: dict[Key, Item]) -> None:
        """Record a state that differs from the one before in some format."""
        self._number += 1
        self._differences_by_digest.clear()
        self._remove(set(self._items_by_key) - set(items_by_key))
        for key, item in items_by_key.items():
            if self._items_by_key.get(key) != item:
                self._put(key, item)
        # In the order of the list that was given, in which readers are sent it.
        self._items_by_key = items_by_key
        self.digest = _digest_of_texts(self._texts_by_key.values())
        self._numbers_by_digest[self.digest] = self._number
        self._numbers_by_digest.move_to_end(self.digest)
        self._forget_oldest()

    def knows(self, digest: str) -> bool:
        """:returns: Whether a digest is that of a stored state."""
        return digest in self._numbers_by_digest

    def since(self, digest: str) -> Difference[Item]:
        """:returns: The changes since the state of a digest; the whole list if it is not known."""
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
        text = _describe(item, self._fields)
        if self._texts_by_key.get(key) == text:
            return
        self._texts_by_key[key] = text
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
