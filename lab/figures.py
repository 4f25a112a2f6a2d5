"""Computes the users' four measures from the operations of a run."""

import collections
import math
from collections.abc import Iterable
from typing import Any

from features.checker import History, Limit, Write, violations
from fescuequay_core.types import Verdict
from lab.workload import Op

_MS_PER_S = 1000


def replica_share(ops: Iterable[Op]) -> float:
    """:returns: Share of the served reads that were served by replicas."""
    roles = collections.Counter(op.role for op in ops if not op.is_write and op.status == 200)
    return roles['replica'] / max(sum(roles.values()), 1)


def write_gaps(ops: Iterable[Op], faults: list[dict[str, Any]]) -> dict[str, float]:
    """Find the longest time between two served writes of any group after each fault, until the next one.

    :param ops: Operations.
    :param faults: Faults with their times.
    :returns: Gap by fault, in seconds.
    """
    served = sorted(op.at + op.took_s for op in ops if op.is_write and op.status == 200)
    gaps = {}
    injected = [fault for fault in faults if fault['fault'] != 'mend']
    for index, fault in enumerate(injected):
        end = injected[index + 1]['at'] if index + 1 < len(injected) else float('inf')
        times = [at for at in served if fault['at'] - 0.5 <= at < end]
        gaps[fault['fault']] = max((b - a for a, b in zip(times, times[1:], strict=False)), default=0.0)
    return gaps


def organisations(ops: list[Op], limits: dict[str, Limit]) -> dict[str, dict[str, float]]:
    """Compare what was served with what one ideal token bucket for the whole fleet would have allowed.

    :param ops: Operations.
    :param limits: Limits by organisation.
    :returns: Counts by organisation; ``share`` is the served part of what the limit allowed.
    """
    found = {}
    for name, limit in limits.items():
        level, last = limit.burst, 0.0
        counts = dict.fromkeys(('sent', 'allowed', 'served', 'refused', 'wrongful', 'failed'), 0.0)
        for op in sorted((op for op in ops if op.organisation == name), key=lambda op: op.at):
            level = min(limit.burst, level + limit.rate_per_s * (op.at - last))
            last = op.at
            counts['sent'] += 1
            if op.reason == 'key_unknown':
                continue
            if level >= 1:
                level -= 1
                counts['allowed'] += 1
            if op.status == 200:
                counts['served'] += 1
            elif op.verdict == 'not_run':
                counts['refused'] += 1
            else:
                counts['failed'] += 1
        counts['wrongful'] = max(counts['allowed'] - counts['served'] - counts['failed'], 0)
        found[name] = {**counts, 'share': min(counts['served'] / max(counts['allowed'], 1), 1.0)}
    return found


def percentiles(ops: Iterable[Op]) -> dict[str, float]:
    """:returns: Latency in ms by percentile, measured from when each request was due."""
    took_ms = sorted(op.took_s * _MS_PER_S for op in ops if op.status == 200)
    return {f'p{mark}': _nearest_rank(took_ms, mark) for mark in (50, 90, 99, 99.9)}


def _nearest_rank(ordered: list[float], percentile: float) -> float:
    """:returns: The smallest value that at least this percentage of the values doesn't exceed; 0 without values."""
    return ordered[math.ceil(len(ordered) * percentile / 100) - 1] if ordered else 0.0


def find_violations(ops: list[Op], stored_rows: list[str]) -> list[str]:
    """Check the history of a run for violated guarantees.

    :param ops: Operations.
    :param stored_rows: Rows in the databases at the end.
    :returns: One sentence for each violation.
    """
    writes = tuple(
        Write(op.name, op.status == 200, Verdict(op.verdict) if op.verdict else None) for op in ops if op.is_write
    )
    found = list(violations(History(writes=writes, log=tuple(stored_rows), runs=tuple(stored_rows))))
    stale = sum(op.missing > 0 for op in ops)
    return found + ([f'{stale} reads missed their own writes'] if stale else [])
