"""Renders a self-contained HTML report with SVG plots."""

import collections
import html
from typing import Any

from lab.workload import Op

_WIDTH, _HEIGHT = 900, 180


def page(results: dict[str, Any], ops_by_run: dict[str, list[Op]], faults: list[dict[str, Any]]) -> str:
    """Render the report of all runs.

    :param results: Figures by run.
    :param ops_by_run: Operations by run.
    :param faults: Faults with their times.
    :returns: The HTML.
    """
    parts = ['<!doctype html><meta charset="utf-8"><title>fescuequay measures</title>']
    parts.append('<style>body{font:14px sans-serif;margin:2em;max-width:60em}td,th{padding:.2em .6em;text-align:right}')
    parts.append('th:first-child,td:first-child{text-align:left}svg{background:#fafafa}</style>')
    for run, figures in results.items():
        parts.append(f'<h2>{html.escape(run)}</h2>')
        parts.append(_table(figures))
        parts.append('<p>Served a second: reads blue, writes red; faults as lines.</p>')
        parts.append(_timeline(ops_by_run[run], faults if figures['has_faults'] else []))
    return '\n'.join(parts)


def _table(figures: dict[str, Any]) -> str:
    rows = []
    for name, value in figures.items():
        if isinstance(value, dict) and value and isinstance(next(iter(value.values())), dict):
            rows.extend(_row(f'{name}: {key}', _format_value(inner)) for key, inner in value.items())
        else:
            rows.append(_row(name, _format_value(value)))
    return f'<table>{"".join(rows)}</table>'


def _row(name: str, value: str) -> str:
    return f'<tr><td>{html.escape(name)}</td><td>{html.escape(value)}</td></tr>'


def _format_value(value: Any) -> str:
    if isinstance(value, dict):
        return ', '.join(f'{key} {_format_value(inner)}' for key, inner in value.items())
    return f'{value:.3g}' if isinstance(value, float) else str(value)


def _timeline(ops: list[Op], faults: list[dict[str, Any]]) -> str:
    reads, writes = collections.Counter[int](), collections.Counter[int]()
    for op in ops:
        if op.status == 200:
            (writes if op.is_write else reads)[int(op.at + op.took_s)] += 1
    seconds = max((*reads, *writes, 1)) + 1
    top = max((*reads.values(), *writes.values(), 1))
    lines = [_line(reads, seconds, top, '#36c'), _line(writes, seconds, top, '#c33')]
    for index, fault in enumerate(faults):
        x = fault['at'] / seconds * _WIDTH
        y = 12 + index % 5 * 12
        lines.append(f'<line x1="{x:.0f}" x2="{x:.0f}" y1="0" y2="{_HEIGHT}" stroke="#999" stroke-dasharray="2"/>')
        lines.append(f'<text x="{x + 2:.0f}" y="{y}" font-size="10">{html.escape(fault["fault"])}</text>')
    return f'<svg width="{_WIDTH}" height="{_HEIGHT}">{"".join(lines)}</svg>'


def _line(counts: collections.Counter[int], seconds: int, top: int, colour: str) -> str:
    points = ' '.join(
        f'{second / seconds * _WIDTH:.0f},{_HEIGHT - counts[second] / top * (_HEIGHT - 20):.0f}'
        for second in range(seconds)
    )
    return f'<polyline points="{points}" fill="none" stroke="{colour}" stroke-width="1.5"/>'
