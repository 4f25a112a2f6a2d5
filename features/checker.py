"""Checks the history of a run: what callers sent and received, and what the databases hold at its end."""

import collections
import dataclasses
from collections.abc import Iterable, Iterator

from fescuequay_core.types import Verdict


@dataclasses.dataclass(frozen=True)
class Write:
    """One write of a caller and its outcome.

    :param name: Name of the write in the log.
    :param is_acked: Whether the caller was told that it succeeded.
    :param verdict: Verdict of the refusal, if it was refused.
    :param is_idempotent: Whether it carried an idempotency key.
    """

    name: str
    is_acked: bool = False
    verdict: Verdict | None = None
    is_idempotent: bool = False


@dataclasses.dataclass(frozen=True)
class Read:
    """One answered read and the writes that it had to return.

    :param seen: Writes that the answer contains.
    :param required: Writes of the same session that were acknowledged before it.
    """

    seen: frozenset[str]
    required: frozenset[str]


@dataclasses.dataclass(frozen=True)
class Grant:
    """One request that was admitted and charged to an organisation.

    :param at: When it was admitted.
    :param organisation: The organisation.
    """

    at: float
    organisation: str


@dataclasses.dataclass(frozen=True)
class Limit:
    """Rate limit of an organisation over the whole fleet."""

    rate_per_s: float
    burst: float


@dataclasses.dataclass(frozen=True)
class History:
    """Everything observed in one run.

    :param writes: Writes of callers.
    :param reads: Reads of callers.
    :param log: Writes that the group holds at the end of the run, in order.
    :param runs: Names of writes that targets executed, one for each execution.
    :param grants: Requests that were admitted, ordered by time.
    :param limits: Limits by organisation.
    :param versions: Numbers of the configuration texts by instance, in the order in which they took effect.
    """

    writes: tuple[Write, ...] = ()
    reads: tuple[Read, ...] = ()
    log: tuple[str, ...] = ()
    runs: tuple[str, ...] = ()
    grants: tuple[Grant, ...] = ()
    limits: dict[str, Limit] = dataclasses.field(default_factory=dict)
    versions: dict[str, tuple[int, ...]] = dataclasses.field(default_factory=dict)


def violations(history: History) -> Iterator[str]:
    """Iterate over every violated guarantee of a run.

    :param history: What was observed in the run.
    :returns: One sentence for each violation.
    """
    yield from _lost_writes(history)
    yield from _false_refusals(history)
    yield from _duplicate_writes(history)
    yield from _stale_reads(history)
    yield from _excess(history)
    yield from _reverted_versions(history)


def _lost_writes(history: History) -> Iterator[str]:
    held = set(history.log)
    for write in history.writes:
        if write.is_acked and write.name not in held:
            yield f'the acknowledged write {write.name} is lost'


def _false_refusals(history: History) -> Iterator[str]:
    ran = set(history.runs)
    for write in history.writes:
        if write.verdict is Verdict.NOT_RUN and write.name in ran and not write.is_idempotent:
            yield f'the write {write.name} ran and was refused as not run'


def _duplicate_writes(history: History) -> Iterator[str]:
    for name, count in collections.Counter(history.log).items():
        if count > 1:
            yield f'the write {name} is in the log {count} times'
    for name, count in collections.Counter(history.runs).items():
        if count > 1:
            yield f'the write {name} ran {count} times'


def _stale_reads(history: History) -> Iterator[str]:
    for read in history.reads:
        missing = read.required - read.seen
        if missing:
            yield f'a session did not see its own writes {sorted(missing)}'


def _excess(history: History) -> Iterator[str]:
    by_organisation: dict[str, list[float]] = collections.defaultdict(list)
    for grant in history.grants:
        by_organisation[grant.organisation].append(grant.at)
    for organisation, times in by_organisation.items():
        limit = history.limits[organisation]
        excess = largest_excess(times, limit)
        if excess > 1e-6:
            yield f'{organisation} got {excess:.2f} requests more than rate and burst allow'


def largest_excess(times: Iterable[float], limit: Limit) -> float:
    """Find the largest excess over rate times length plus burst in any time window.

    :param times: When requests were admitted.
    :param limit: The limit.
    :returns: The excess in requests; negative when every window is within the limit.
    """
    lowest = float('inf')
    worst = float('-inf')
    for count, at in enumerate(sorted(times)):
        lowest = min(lowest, count - limit.rate_per_s * at)
        worst = max(worst, count + 1 - limit.rate_per_s * at - lowest)
    return worst - limit.burst


def _reverted_versions(history: History) -> Iterator[str]:
    for instance, numbers in history.versions.items():
        if list(numbers) != sorted(numbers):
            yield f'{instance} reverted to an earlier text: {numbers}'
