"""Order of row versions and fencing tokens across the eras of the table.

A table that comes back from an earlier copy of itself begins a new era: it has lost rows that it had acknowledged and
gives out versions again. A stamp is a version together with its era, so stamps grow for as long as the table lives.
"""

from typing import Final

from fescuequay_core.types import Era

#: More transactions than a table carries out in one era: 400 a second for 79 years.
_VERSIONS_PER_ERA: Final = 1_000_000_000_000

#: Largest version of one era.
MAX_VERSION: Final = _VERSIONS_PER_ERA - 1

#: More changes of coordinator than happen in one era: one a second for 11 days.
_TOKENS_PER_ERA: Final = 1_000_000


def stamp_of(era: Era, version: int) -> int:
    """:returns: A version of an era as a number that grows across eras; version 0 is the start of the era."""
    return era * _VERSIONS_PER_ERA + version


def era_of(stamp: int) -> Era:
    """:returns: The era of a stamp."""
    return Era(stamp // _VERSIONS_PER_ERA)


def version_of(stamp: int) -> int:
    """:returns: The version of a stamp within its era."""
    return stamp % _VERSIONS_PER_ERA


def next_token(known: int, era: Era) -> int:
    """Return the fencing token of the next coordinator.

    The table may have lost a token that was in use, but only one of an earlier era, and those are smaller.

    :param known: Newest known token.
    :param era: Present era of the table.
    :returns: A token that is larger than any other that was ever used.
    """
    return max(known, era * _TOKENS_PER_ERA) + 1
