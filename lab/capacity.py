"""Prints the tables of docs/CAPACITY.md from the results of lab.slopes and lab.cost."""

import json
import sys

from fescuequay_core import messages
from fescuequay_core.messages import Heartbeat
from fescuequay_core.types import InstanceId, SeatId
from lab.harness import OUT

NODES, GROUPS = 470, 177
CALLERS, STATEMENTS_PER_S, CHANGES_PER_DAY = 1_000_000, 460_000, 540
HOSTS_PER_GROUP, FAST_PROBING_HOSTS, LOAN_PEERS = 16, 3, 12
TICK_S, FLEET_POLL_S, MEMBERS_POLL_S = 0.05, 0.72, 3.0
HEARTBEAT_S, PROBE_S, IDLE_PROBE_S, SEAT_RENEW_S, LOAN_S = 1.2, 0.3, 5.0, 5.0, 2.0

#: Starts and ends of instances per day; each changes the instance list.
LIST_CHANGES_PER_DAY = 246

#: Size of an HTTP request and its response without their bodies, as measured on loopback.
HTTP_OVERHEAD_BYTES = 320
UNCHANGED_POLL_BYTES = 330
MEMBER_ROW_BYTES = 95
PROBE_BYTES = 160
LOAN_BYTES = 900


def print_row(name: str, per_s: float, cost_us: float, size: float, mechanism: str) -> tuple[float, float]:
    """Print the table row of one mechanism.

    :returns: Percent of a core, and bytes per second.
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
    _print_control(slopes)
    print()
    _print_store()
    print()
    _print_node(slopes, cost)


def _print_control(slopes: dict[str, float]) -> None:
    hosted = GROUPS * HOSTS_PER_GROUP / NODES
    fast_probed = hosted * FAST_PROBING_HOSTS / HOSTS_PER_GROUP
    probes = 3 * (fast_probed / PROBE_S + (hosted - fast_probed) / IDLE_PROBE_S)
    heartbeat_bytes = len(messages.encode(_heartbeat()))
    list_bytes = UNCHANGED_POLL_BYTES + LIST_CHANGES_PER_DAY / 86400 * MEMBERS_POLL_S * NODES * MEMBER_ROW_BYTES
    texts_per_s = CHANGES_PER_DAY / 86400
    text_bytes = slopes['target_text_packed_bytes'] + slopes['target_record_bytes']
    poll_us, heartbeat_us = slopes['poll_us'], slopes['heartbeat_us']
    print('| control of one node | a second | us each | % of a core | KB/s | mechanism |')
    print('| --- | --- | --- | --- | --- | --- |')
    rows = (
        print_row('ticks', 1 / TICK_S, slopes['target_tick_us'], 0, 'controllers look at hosted groups only'),
        print_row('polls of the record', 1 / FLEET_POLL_S, poll_us, UNCHANGED_POLL_BYTES, 'one row, mostly unchanged'),
        print_row(
            'heartbeats, sent and received',
            1 / HEARTBEAT_S,
            heartbeat_us,
            2 * (HTTP_OVERHEAD_BYTES + 2 * heartbeat_bytes),
            'peers in rotation',
        ),
        print_row('instance list', 1 / MEMBERS_POLL_S, poll_us, list_bytes, 'mostly unchanged'),
        print_row('seat renewals', 1 / SEAT_RENEW_S, poll_us, HTTP_OVERHEAD_BYTES + 120, 'one row'),
        print_row(
            'loans, if uneven',
            LOAN_PEERS / LOAN_S,
            heartbeat_us,
            HTTP_OVERHEAD_BYTES + LOAN_BYTES,
            'at most 12 peers asked',
        ),
        print_row('texts', texts_per_s, slopes['target_load_ms'] * 1000, text_bytes, 'compressed object'),
        print_row(
            'status probes',
            probes,
            slopes['probe_us'],
            PROBE_BYTES,
            f'{hosted:.1f} groups hosted, {fast_probed:.1f} watched',
        ),
    )
    core, traffic = (sum(pair[column] for pair in rows) for column in (0, 1))
    print(f'| **sum** | | | **{core:.2f}** | **{traffic / 1000:.2f}** | limits: 2.6 and 3 |')


def _heartbeat() -> Heartbeat:
    """:returns: A heartbeat as sent in a fleet of the target size."""
    heard = {InstanceId(f'entry-{number:03}-a1b2c3'): 0.25 for number in range(8)}
    address = '10.0.0.1:8081'
    return Heartbeat(InstanceId('entry-001-a1b2c3'), 'dc-1', address, 1234, 0.31, SeatId('dc-1/1'), heard_ages_s=heard)


def _print_store() -> None:
    print('| store | a second | limit |\n| --- | --- | --- |')
    print(f'| reads of the record | {NODES / FLEET_POLL_S:.0f} | about 2000 reads |')
    print(f'| reads of the instance list | {NODES / MEMBERS_POLL_S:.0f} | |')
    print(f'| seat renewals | {NODES / SEAT_RENEW_S:.0f} | several hundred writes |')
    print(f'| a data centre restarts: {NODES // 5} nodes look for seats and the text | {NODES // 5 * 2} more reads | |')
    print(f'| a data centre is lost: {GROUPS // 5 + 1} groups close and publish in common writes | about 4 writes | |')


def _print_node(slopes: dict[str, float], cost: dict[str, float]) -> None:
    memory = cost['idle_memory_mb'] + slopes['target_core_memory_mb'] - slopes['today_core_memory_mb']
    callers_mb = cost['memory_per_1000_callers_mb'] * CALLERS / NODES / 1000
    per_s = STATEMENTS_PER_S / NODES
    load = per_s * cost['read_cpu_ms'] / 10
    record, text, packed = (slopes[f'target_{name}_bytes'] / 1000 for name in ('record', 'text', 'text_packed'))
    print('| one node | figure | limit |\n| --- | --- | --- |')
    print(f'| memory when idle, with the text of the target size | {memory:.0f} MB | 64 MB |')
    print(f'| memory of {CALLERS // NODES} open callers | {callers_mb:.0f} MB | not control |')
    print(f'| {per_s:.0f} statements/s at {cost["read_cpu_ms"]:.2f} ms | {load:.0f}% of a core | |')
    print(f'| fleet record, text, text packed | {record:.0f}, {text:.0f}, {packed:.0f} KB | |')


if __name__ == '__main__':
    main()
