"""Prints the tables of docs/CAPACITY.md from measured slopes."""

import json
import sys

from lab.harness import OUT

NODES, DATABASES, GROUPS, SEATS, ORGANISATIONS = 470, 530, 177, 470, 400
CALLERS, STATEMENTS_PER_S, CHANGES_PER_DAY = 1_000_000, 460_000, 540
HOSTS, FANOUT = 16, 3
TICK_S, POLL_S, MEMBERS_S, HEARTBEAT_S, PROBE_S, RENEW_S, LOAN_S = 0.05, 0.72, 3.0, 0.6, 0.3, 5.0, 2.0

#: Bytes of one HTTP exchange without its bodies, both ways, as seen on loopback.
HTTP_BYTES = 420
HEARTBEAT_BYTES = 700
UNCHANGED_BYTES = 330
MEMBER_BYTES = 95
LOAN_BYTES = 900


def row(name: str, per_s: float, cost_us: float, size: float, mechanism: str) -> tuple[float, float]:
    """Print one mechanism.

    :returns: Percent of a core and bytes a second.
    """
    core, traffic = per_s * cost_us / 1e4, per_s * size
    print(f'| {name} | {per_s:.1f} | {cost_us:.0f} | {core:.2f} | {traffic / 1000:.2f} | {mechanism} |')
    return core, traffic


def main() -> None:
    """Print the tables."""
    try:
        slopes = json.loads((OUT / 'slopes.json').read_text())
        cost = json.loads((OUT / 'cost.json').read_text())
    except FileNotFoundError as error:
        sys.exit(f'{error.filename} is missing: run `python -m lab.slopes` and `python -m lab.cost` first')
    hosted = GROUPS * HOSTS / SEATS
    probes = hosted * 3 / PROBE_S
    print('| control of one node | per s | us each | % of a core | KB/s | mechanism |')
    print('| --- | --- | --- | --- | --- | --- |')
    text_bytes = CHANGES_PER_DAY / 86400 * (slopes['target_text_packed_bytes'] + slopes['target_record_bytes'])
    rows = (
        row('ticks', 1 / TICK_S, slopes['target_tick_us'], 0, 'controllers look at hosted groups only'),
        row('polls of the record', 1 / POLL_S, slopes['poll_us'], UNCHANGED_BYTES, 'one small row, unchanged'),
        row('heartbeats', FANOUT / HEARTBEAT_S, slopes['heartbeat_us'], HTTP_BYTES + 2 * HEARTBEAT_BYTES, 'three peers'),
        row('instance list', 1 / MEMBERS_S, slopes['poll_us'], HTTP_BYTES + NODES * MEMBER_BYTES, 'whole list'),
        row('seat renewals', 1 / RENEW_S, slopes['poll_us'], HTTP_BYTES + 120, 'one row'),
        row('loans', 12 / LOAN_S, slopes['heartbeat_us'], HTTP_BYTES + LOAN_BYTES, 'at most 12 peers asked'),
        row('texts', CHANGES_PER_DAY / 86400, slopes['target_load_ms'] * 1000, text_bytes * 86400 / CHANGES_PER_DAY,
            'compressed object'),
        row('status probes', probes, slopes['probe_us'], 160, f'{hosted:.1f} groups hosted'),
    )  # fmt: skip
    print(
        f'| **sum** | | | **{sum(pair[0] for pair in rows):.2f}** | **{sum(pair[1] for pair in rows) / 1000:.2f}** | limit 2.6 and 3 |'
    )
    print()
    print('| store | per s | limit |\n| --- | --- | --- |')
    print(f'| reads of the record | {NODES / POLL_S:.0f} | about 2000 |')
    print(f'| reads of the list | {NODES / MEMBERS_S:.0f} | |')
    print(f'| seat renewals | {NODES / RENEW_S:.0f} | several hundred |')
    print(
        f'| after a data centre restarts: {NODES // 5} nodes read seats and text once a second | {NODES // 5 * 2} more reads | |'
    )
    print(f'| after a data centre is lost: {GROUPS // 5 + 1} groups, in a few common writes | about 4 writes | |')
    print()
    memory = cost['idle_memory_mb'] + slopes['target_core_memory_mb'] - slopes['today_core_memory_mb']
    print('| what | figure | limit |\n| --- | --- | --- |')
    print(f'| memory of an idle node at the target text | {memory:.0f} MB | 64 MB |')
    print(
        f'| memory of {CALLERS // NODES} open callers | {cost["memory_per_1000_callers_mb"] * CALLERS / NODES / 1000:.0f} MB | data, not control |'
    )
    print(
        f'| statements a node | {STATEMENTS_PER_S / NODES:.0f}/s at {cost["read_cpu_ms"]:.2f} ms | {STATEMENTS_PER_S / NODES * cost["read_cpu_ms"] / 10:.0f}% of a core |'
    )
    print(
        f'| fleet record | {slopes["target_record_bytes"] / 1000:.0f} KB; text {slopes["target_text_bytes"] / 1000:.0f} KB, packed {slopes["target_text_packed_bytes"] / 1000:.0f} KB | |'
    )


if __name__ == '__main__':
    main()
