"""A formatter of behave: one line for each feature that ran, and every failed step in full with its logs."""

from typing import Any

from behave.formatter.base import Formatter
from behave.model_core import Status

_RULE = '-' * 80


class Report(Formatter):  # type: ignore[misc]
    """Writes each feature at once at its end, so that features that run side by side don't mix their output."""

    name = 'report'
    description = 'One line for each feature; failures in full.'

    def __init__(self, stream_opener: Any, config: Any) -> None:
        super().__init__(stream_opener, config)
        self._stream = self.open()

    def feature(self, feature: Any) -> None:
        """Begin a feature."""
        self._feature = feature

    def eof(self) -> None:
        """Write the finished feature."""
        scenarios = [scenario for scenario in self._feature.walk_scenarios() if scenario.status != Status.skipped]
        if not scenarios:
            return
        failed = [scenario for scenario in scenarios if scenario.status.has_failed()]
        counts = f'{len(scenarios) - len(failed)} passed' + (f', {len(failed)} FAILED' if failed else '')
        lines = [f'{self._feature.filename}  {counts}  {self._feature.duration:.1f} s']
        for scenario in failed:
            lines.extend(describe(scenario))
        self._stream.write('\n'.join(lines) + '\n')
        self._stream.flush()


def describe(scenario: Any) -> list[str]:
    """:returns: Lines that say which steps of a scenario failed, with what, and where the logs of its processes are."""
    lines = [_RULE, f'FAILED {scenario.location}  {scenario.name}']
    for step in scenario.all_steps:
        if step.status.has_failed():
            lines.extend([f'  {step.location}  {step.keyword} {step.name}', str(step.error_message or step.exception)])
    if not any(step.status.has_failed() for step in scenario.all_steps):
        lines.append(str(scenario.error_message or scenario.exception or 'a hook failed'))
    lines.append(f'logs: {getattr(scenario, "log_folder", None) or "none; no processes of its own"}')
    return [*lines, _RULE]
