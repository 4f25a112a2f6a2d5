"""Measures the cost to an instance of one more probe, heartbeat or poll, and of a larger configuration text."""

import asyncio
import gc
import time
import tracemalloc
import zlib
from typing import Any

import msgspec

from fescuequay_core import events, keys, textcheck
from fescuequay_core.core import Core
from fescuequay_core.fleet import Applied, FleetRecord, Leader, TermStart
from fescuequay_core.fleet_controller import encode_record
from fescuequay_core.settings import Identity, Timing
from fescuequay_core.types import Digest, GroupId, InstanceId, TargetId, Term
from lab.harness import OUT, Trial, cpu_s, example, settle

#: Timings that make every kind of message rare; each measurement shortens one of them.
_QUIET_TIMING = {'fleet_poll_s': 1.9, 'members_poll_s': 60.0, 'heartbeat_s': 1.4, 'probe_s': 0.9, 'seat_renew_s': 6.0}
_MEASURED_S = 8.0


async def _cpu_percent(timing: dict[str, float]) -> float:
    """:returns: CPU use of an idle instance with these timings, in percent of a core."""
    async with Trial(example('cordillera'), 8, timing={**_QUIET_TIMING, **timing}) as trial:
        await settle(3)
        pid = trial.instances[0].process.pid
        before = cpu_s(pid)
        await settle(_MEASURED_S)
        return (cpu_s(pid) - before) / _MEASURED_S * 100


def large_text(groups: int, organisations: int, seats: int) -> dict[str, Any]:
    """:returns: A configuration text of the given size, with five data centres in two regions."""
    data_centres = [f'dc-{number}' for number in range(5)]
    groups_by_id = {
        f'group-{number}': {
            'primary': f'group-{number}-1',
            'targets': {
                f'group-{number}-{place}': {
                    'data_centre': data_centres[(number + place) % 5],
                    'address': f'10.{number // 200}.{number % 200}.{place}:5432',
                    'slots': 5,
                    'connections': 60,
                }
                for place in (1, 2, 3)
            },
        }
        for number in range(groups)
    }
    return {
        'fleet': 'large',
        'data_centres': {
            name: {'region': f'region-{place % 2}', 'seats': seats // 5} for place, name in enumerate(data_centres)
        },
        'services': {'db': {'groups': groups_by_id}},
        'routes': {'main': {'service': 'db'}},
        'organisations': {
            f'org-{number}': {
                'rate_per_s': 1000,
                'burst': 2000,
                'groups': {'db': f'group-{number % groups}'},
                'keys': {'main': {'sha256': keys.digest_of(str(number))}},
            }
            for number in range(organisations)
        },
    }


def _large_core(groups: int, organisations: int, seats: int) -> tuple[Core, dict[str, float]]:
    """:returns: A core with a large text in force, and the sizes, time and memory that it needs."""
    raw = msgspec.json.encode(large_text(groups, organisations, seats))
    textcheck.load_applied(raw)
    began_at = time.perf_counter()
    text, faults = textcheck.load_applied(raw)
    load_s = time.perf_counter() - began_at
    assert text is not None, faults  # noqa: S101
    gc.collect()
    tracemalloc.start()
    leaders = {
        GroupId(f'group-{number}'): Leader(
            Term(3),
            TargetId(f'group-{number}-1'),
            starts=(TermStart(Term(2), 5), TermStart(Term(3), 9)),  # type: ignore[arg-type]
        )
        for number in range(groups)
    }
    packed = zlib.compress(raw, 9)
    record = FleetRecord(9, Applied(1, Digest('d' * 64), 'lab', 1.0), leaders)
    core = Core(Identity('i', 'dc-0', 'a:1', 'a:2'), Timing(), (b'x' * 32,), 1)
    core.handle(events.FleetRead(0.0, 'v1', record), 0.1)
    core.handle(events.ObjectRead(Digest('d' * 64), raw), 0.2)
    core.handle(events.SeatsRead(()), 0.3)
    core.handle(events.Tick(), 1.5)
    seat = 'dc-0/0'
    core.handle(events.SeatsRead((events.Seat(seat, InstanceId('i'), 's1', 0.0),)), 1.6)  # type: ignore[arg-type]
    core.handle(events.SeatWritten(seat, events.WriteResult.ACCEPTED, 's2', 1.6), 1.7)  # type: ignore[arg-type]
    core.handle(events.Tick(), 1.8)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    figures = {
        'text_bytes': float(len(raw)),
        'text_packed_bytes': float(len(packed)),
        'record_bytes': float(len(encode_record(record))),
        'load_ms': load_s * 1000,
        'core_memory_mb': size / 1024 / 1024,
        'hosted_groups': float(len(core.board.hosted_groups)),
    }
    return core, figures


def _tick_us(core: Core) -> float:
    """:returns: CPU time of one tick, in microseconds."""
    began_at = time.process_time()
    for number in range(2000):
        core.handle(events.Tick(), 2.0 + number * 0.05)
    return (time.process_time() - began_at) / 2000 * 1_000_000


async def measure() -> dict[str, float]:
    """:returns: Slopes by name."""
    base = await _cpu_percent({})
    slopes = {'base_core_percent': base}
    probes = await _cpu_percent({'probe_s': 0.15})
    slopes['probe_us'] = (probes - base) / 100 * 1e6 / (9 / 0.15 - 9 / 0.9)
    beats = await _cpu_percent({'heartbeat_s': 0.15})
    # Every heartbeat that an instance sends is matched by one that it receives.
    slopes['heartbeat_us'] = (beats - base) / 100 * 1e6 / (3 / 0.15 - 3 / 1.4)
    polls = await _cpu_percent({'fleet_poll_s': 0.1})
    slopes['poll_us'] = (polls - base) / 100 * 1e6 / (1 / 0.09 - 1 / 1.7)
    for name, size in (('today', (3, 8, 9)), ('target', (177, 400, 470))):
        core, figures = _large_core(*size)
        slopes.update({f'{name}_{key}': value for key, value in figures.items()})
        slopes[f'{name}_tick_us'] = _tick_us(core)
    return slopes


def main() -> None:
    """Measure the slopes, print them and write them to slopes.json."""
    slopes = asyncio.run(measure())
    OUT.mkdir(exist_ok=True)
    (OUT / 'slopes.json').write_bytes(msgspec.json.format(msgspec.json.encode(slopes)))
    for name, value in slopes.items():
        print(f'{name:28} {value:12.2f}')


if __name__ == '__main__':
    main()
