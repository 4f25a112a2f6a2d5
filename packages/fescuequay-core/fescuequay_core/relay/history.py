"""Earlier states of a list, so that a reader that knows one of them is sent only the changes since."""

import collections
import dataclasses
import hashlib
from collections.abc import Iterator, Mapping
from typing import Final, Generic, TypeVar

Key = TypeVar('Key', bound=str)
Item = TypeVar('Item')

#: Maximum number of stored states: more than the number of changes within a few exchanges of the slowest reader.
_MAX_STATES: Final = 64

_DIGEST_BYTES: Final = 6

#: Names of the fields that a format of a list has.
Fields = tuple[str, ...]


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
    described = sorted(map(repr, items_by_key.values()) if fields is None else _describe(items_by_key, fields))
    return hashlib.blake2b('\n'.join(described).encode(), digest_size=_DIGEST_BYTES).hexdigest()


def _describe(items_by_key: Mapping[Key, Item], fields: Fields) -> Iterator[str]:
    """:returns: Each item as the builds describe it whose items had only these fields."""
    for item in items_by_key.values():
        shown = ', '.join(f'{name}={getattr(item, name)!r}' for name in fields)
        yield f'{type(item).__qualname__}({shown})'


class History(Generic[Key, Item]):
    """The current state of a list and the latest earlier ones; the digest of each is computed once for each format.

    :param earlier_formats: Fields of the items in the formats of earlier builds, oldest first. The present format has
        all fields. A reader sends the digest in its own format, and is sent what differs in that format.
    """

    def __init__(self, earlier_formats: tuple[Fields, ...] = ()) -> None:
        # The present format comes last: where two formats agree on a digest, the list is compared in all its fields.
        self._formats: tuple[Fields | None, ...] = (*earlier_formats, None)
        self._states_by_digest: collections.OrderedDict[str, _State[Key, Item]] = collections.OrderedDict()
        self._digests: tuple[str, ...] = ('',) * len(self._formats)

    @property
    def digest(self) -> str:
        """:returns: Digest of the current state in the present format; empty before the first record."""
        return self._digests[-1]

    def digest_for(self, reads: int) -> str:
        """:returns: Digest of the current state for a receiver.

        :param reads: Newest format that the receiver reads; the first is 1.
        """
        return self._digests[min(max(reads, 1), len(self._digests)) - 1]

    def record(self, items_by_key: Mapping[Key, Item]) -> None:
        """Record the current state.

        :param items_by_key: The list; it is copied if it has changed.
        """
        if self.digest and self._states_by_digest[self.digest].items_by_key == items_by_key:
            return
        items = dict(items_by_key)
        self._digests = tuple(digest_of(items, fields) for fields in self._formats)
        for digest, fields in zip(self._digests, self._formats, strict=True):
            self._states_by_digest[digest] = _State(items, fields)
            self._states_by_digest.move_to_end(digest)
        while len(self._states_by_digest) > _MAX_STATES * len(self._formats):
            self._states_by_digest.popitem(last=False)

    def since(self, digest: str) -> Difference[Item] | None:
        """Compare the current state with an earlier one, in the format of the digest.

        :param digest: Digest of the earlier state, in any format.
        :returns: The difference; nothing if the states are equal.
        """
        if digest in self._digests:
            return None
        if not self.digest:
            return None
        current = self._states_by_digest[self.digest].items_by_key
        earlier = self._states_by_digest.get(digest)
        if earlier is None:
            return Difference(is_whole=True, changed=tuple(current.values()), removed=())
        return Difference(
            is_whole=False,
            changed=tuple(item for key, item in current.items() if earlier.differs(key, item)),
            removed=tuple(str(key) for key in earlier.items_by_key if key not in current),
        )


@dataclasses.dataclass(frozen=True, slots=True)
class _State(Generic[Key, Item]):
    """A state of a list, as readers of one format know it.

    :param items_by_key: The list.
    :param fields: Fields of the format; all of them if it is the present one.
    """

    items_by_key: dict[Key, Item]
    fields: Fields | None

    def differs(self, key: Key, item: Item) -> bool:
        """:returns: Whether an item is new, or differs from the one of this state in a field of the format."""
        known = self.items_by_key.get(key)
        if known is None or self.fields is None:
            return known != item
        return any(getattr(known, name) != getattr(item, name) for name in self.fields)
