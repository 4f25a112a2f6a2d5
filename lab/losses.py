"""Prints the refusals and decisions of instances by second, from their collected log lines.

A line may have a prefix before ``time=``: a leading number gives the seconds from the start of the load, and the rest
the source. Without a number, the line's own time within the hour is used.
"""

import collections
import dataclasses
import math
import re
from collections.abc import Iterable, Iterator
from typing import Final, TextIO

import click

#: Events that show the progress of a change of primary, of the coordinator lease and of a restart.
_DECISION_EVENTS: Final = frozenset(
    (
        'duty_taken',
        'duty_resigned',
        'term_closing',
        'permits_collected',
        'demotion_failed',
        'demotion_given_up',
        'promoting',
        'term_published',
        'callers_moved',
        'starting',
        'stopping',
    )
)

_PAIR: Final = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S+)')
_SECONDS: Final = re.compile(r'^\s*(-?\d+(?:\.\d+)?)\s')


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """One log line.

    :param at_s: Time, in seconds.
    :param source: Prefix of the line without the number: the instance, if the collector adds it.
    :param pairs: Keys and values.
    """

    at_s: float
    source: str
    pairs: dict[str, str]


@dataclasses.dataclass(slots=True)
class Second:
    """What happened in one second.

    :param served: Number of served statements.
    :param refused: Number of refusals by data centre and reason.
    :param decisions: Decisions in order of time.
    """

    served: int = 0
    refused: collections.Counter[tuple[str, str]] = dataclasses.field(default_factory=collections.Counter)
    decisions: list[str] = dataclasses.field(default_factory=list)


def parse(lines: Iterable[str]) -> Iterator[Line]:
    """:returns: The lines that are events of an instance, parsed; others are skipped."""
    for text in lines:
        head, found, body = text.partition('time=')
        if not found or ' event=' not in body:
            continue
        pairs = {key: content.strip('"') for key, content in _PAIR.findall(found + body)}
        seconds = _SECONDS.match(head)
        if seconds is not None:
            yield Line(float(seconds.group(1)), head[seconds.end() :].strip(), pairs)
        else:
            minutes, _, rest = pairs['time'].rstrip('Z').rpartition(':')
            yield Line(float(minutes.rpartition(':')[2]) * 60 + float(rest), head.strip(), pairs)


def by_second(lines: Iterable[Line]) -> dict[int, Second]:
    """:returns: What happened, by second."""
    seconds: dict[int, Second] = collections.defaultdict(Second)
    data_centres_by_source: dict[str, str] = {}
    for line in sorted(lines, key=lambda one: one.at_s):
        event = line.pairs['event']
        second = seconds[math.floor(line.at_s)]
        if event == 'starting':
            data_centres_by_source[line.source] = line.pairs.get('data_centre', '?')
        if event == 'served':
            second.served += 1
        elif event in {'refused', 'session_refused'}:
            second.refused[data_centres_by_source.get(line.source, '?'), line.pairs.get('reason', '?')] += 1
        elif event in _DECISION_EVENTS:
            shown = ' '.join(f'{key}={line.pairs[key]}' for key in ('service', 'took_s', 'token') if key in line.pairs)
            second.decisions.append(f'{line.at_s:.2f} {event} {line.source} {shown}'.rstrip())
    return dict(seconds)


@click.command()
@click.argument('log', type=click.File())
@click.option(
    '--ignore',
    default='unknown_key,unknown_database',
    show_default=True,
    help='Reasons to leave out, separated by commas.',
)
@click.option('--phases/--no-phases', default=True, show_default=True, help='Whether to print decisions too.')
def main(log: TextIO, *, ignore: str, phases: bool) -> None:
    """Print served and refused statements of LOG by second, data centre and reason."""
    left_out = set(ignore.split(','))
    for number, second in sorted(by_second(parse(log)).items()):
        refused = (
            f'{data_centre}/{reason}={count}'
            for (data_centre, reason), count in sorted(second.refused.items())
            if reason not in left_out
        )
        click.echo(f'{number:5} served={second.served} {" ".join(refused)}')
        for decision in second.decisions if phases else ():
            click.echo(f'      {decision}')


if __name__ == '__main__':
    main()
