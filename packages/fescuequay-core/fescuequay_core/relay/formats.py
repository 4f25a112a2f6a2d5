"""Formats of what instances of different builds send each other; docs/design/upgrades.md has the rule and the table."""

from typing import Final

from fescuequay_core.relay.history import Fields

#: Newest format of lists that this build reads, and that it announces; builds that announce none read the first.
READS: Final = 2

#: Fields of the listed instances in the formats before the present one, oldest first. They never change.
MEMBER_FORMATS: Final[tuple[Fields, ...]] = (('instance', 'incarnation', 'address', 'data_centre', 'is_leaving'),)

#: Fields of the listed targets in the formats before the present one, oldest first. They never change.
TARGET_FORMATS: Final[tuple[Fields, ...]] = (
    ('target', 'born_ms', 'service', 'address', 'data_centre', 'is_draining', 'role'),
)
