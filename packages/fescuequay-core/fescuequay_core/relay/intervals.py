"""Intervals of exchanges and retries, which grow with the number of instances to bound the coordinator's load."""

from typing import Final

#: Shortest time between two exchanges, in seconds; five fit into the time in which reads accept old data.
_MIN_EXCHANGE_INTERVAL_S: Final = 0.35

#: Time between two exchanges for each instance, in seconds: an exchange takes the coordinator 0.5 ms, and all of
#: them take a sixteenth of its processor.
_EXCHANGE_INTERVAL_PER_MEMBER_S: Final = 0.008

#: Longest time between two exchanges, in seconds: reads accept data that is 1.5 s old, and the position of a primary
#: is up to 0.4 s old when it is sent. This limit applies from 112 instances on.
_MAX_EXCHANGE_INTERVAL_S: Final = 0.9

#: Shortest time between two exchanges that waiting operations asked for, in seconds, and for each instance.
_MIN_URGENT_INTERVAL_S: Final = 0.012
_URGENT_INTERVAL_PER_MEMBER_S: Final = 0.0009
_MAX_URGENT_INTERVAL_S: Final = 0.1

#: Mean time between two calls to a table that does not answer, in seconds, and for each instance: all of them
#: together call it 50 times a second, so that its return is noticed at once by one, which tells the others.
_MIN_RETRY_INTERVAL_S: Final = 0.3
_RETRY_INTERVAL_PER_MEMBER_S: Final = 0.02

#: Time beyond one exchange after which an instance uses its equal share of the limits again, in seconds: the
#: 0.35 s by which the token pool stops counting that share earlier, and an answer that is 0.15 s late.
_CONTACT_MARGIN_S: Final = 0.5


def exchange_interval_s(members: int) -> float:
    """:returns: Time between two exchanges of one instance, in seconds."""
    return min(max(_MIN_EXCHANGE_INTERVAL_S, members * _EXCHANGE_INTERVAL_PER_MEMBER_S), _MAX_EXCHANGE_INTERVAL_S)


def urgent_interval_s(members: int) -> float:
    """:returns: Least time between two exchanges that operations asked for, in seconds."""
    return min(max(_MIN_URGENT_INTERVAL_S, members * _URGENT_INTERVAL_PER_MEMBER_S), _MAX_URGENT_INTERVAL_S)


def retry_interval_s(members: int) -> float:
    """:returns: Mean time between two calls of one instance to a table that does not answer, in seconds."""
    return max(_MIN_RETRY_INTERVAL_S, members * _RETRY_INTERVAL_PER_MEMBER_S)


def contact_timeout_s(members: int) -> float:
    """:returns: Time after an exchange for which an instance delegates its equal share to the other, in seconds."""
    return exchange_interval_s(members) + _CONTACT_MARGIN_S
