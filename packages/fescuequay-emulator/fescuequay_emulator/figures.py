"""Figures of a run of the emulator."""

import dataclasses
import statistics

from fescuequay_emulator.checker import Violation
from fescuequay_emulator.load import Load
from fescuequay_emulator.world import World


@dataclasses.dataclass(frozen=True, slots=True)
class Figures:
    """Figures of a run.

    :param broken: Violated guarantees.
    :param asked: Number of operations.
    :param served: Number of operations that were served.
    :param replica_share: Share of the reads outside the primary routes that replicas executed.
    :param write_gap_s: Longest time between two served writes.
    :param median_s: Median time of a served operation.
    :param refused: Number of refused attempts by reason.
    :param store_calls: Calls to the table since the start of the load.
    :param seconds: Time over which calls and messages were counted.
    :param control_bytes: Bytes between instances by kind of message, if ``Plan.counts_bytes``.
    :param control_messages: Messages between instances by kind, if ``Plan.counts_bytes``.
    :param hidden_requests: Number of messages of callers that held a request inside.
    :param hidden_answers: Number of answers of targets that held another one inside.
    """

    broken: tuple[Violation, ...]
    asked: int
    served: int
    replica_share: float
    write_gap_s: float
    median_s: float
    refused: dict[str, int]
    store_calls: int
    seconds: float
    control_bytes: dict[str, int]
    control_messages: dict[str, int]
    hidden_requests: int
    hidden_answers: int


def collect_figures(world: World, callers: Load) -> Figures:
    """:returns: The figures of a run that has ended."""
    tallies = callers.tallies.values()
    latencies = [took for tally in tallies for took in tally.latencies_s]
    times = sorted(callers.write_times)
    gaps = [later - earlier for earlier, later in zip(times, times[1:], strict=False)]
    primary_databases = {f'primary-{number}' for number in range(world.plan.services)}
    databases = {sent.request: sent.database for sent in world.checker.sent}
    reads = [
        execution
        for execution in world.checker.executions
        if databases.get(execution.request) not in primary_databases
        and execution.statement.text.startswith(('READ', 'EXECUTE r'))
    ]
    refused: dict[str, int] = {}
    for tally in tallies:
        for reason, count in tally.refused.items():
            refused[reason] = refused.get(reason, 0) + count
    return Figures(
        (*world.checker.violations(dict(world.logs_by_service())), *world.violations.values()),
        sum(tally.asked for tally in tallies),
        sum(tally.served for tally in tallies),
        sum(not execution.is_primary for execution in reads) / max(len(reads), 1),
        max(gaps, default=0.0),
        statistics.median(latencies) if latencies else 0.0,
        refused,
        world.store.calls,
        world.counted_duration_s(),
        dict(world.control_bytes),
        dict(world.control_messages),
        world.hidden_requests,
        world.hidden_answers,
    )
