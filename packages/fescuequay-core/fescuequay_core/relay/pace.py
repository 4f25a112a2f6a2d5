"""How often instances exchange: the more there are, the less often, so that the coordinator bears them."""

from typing import Final

#: Shortest time between two exchanges, in seconds; five fit into the time in which reads accept old data.
_LEAST_ROUND_S: Final = 0.35

#: Time between two exchanges for each instance, in seconds: an exchange takes the coordinator 0.5 ms, and all of
#: them take a sixteenth of its processor.
_ROUND_PER_MEMBER_S: Final = 0.008

#: Shortest time between two exchanges that waiting operations asked for, in seconds, and for each instance.
_LEAST_URGENT_S: Final = 0.012
_URGENT_PER_MEMBER_S: Final = 0.0009

#: Exchanges that may be missed before an instance takes its even part of the limits back.
_CONTACT_ROUNDS: Final = 2.6


def round_s(members: int) -> float:
    """:returns: Time between two exchanges of one instance, in seconds."""
    return max(_LEAST_ROUND_S, members * _ROUND_PER_MEMBER_S)


def urgent_s(members: int) -> float:
    """:returns: Least time between two exchanges that operations asked for, in seconds."""
    return max(_LEAST_URGENT_S, members * _URGENT_PER_MEMBER_S)


def contact_s(members: int) -> float:
    """:returns: Time after an exchange for which an instance leaves its even part to the other, in seconds."""
    return _CONTACT_ROUNDS * round_s(members)
