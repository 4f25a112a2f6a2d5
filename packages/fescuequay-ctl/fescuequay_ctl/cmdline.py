"""Commands of ``fescuequayctl``, built on the operations library."""

import asyncio
import getpass
import pathlib
import sys
from collections.abc import Awaitable, Callable
from typing import Any, Final, NoReturn, TypeVar

import click
import msgspec

from fescuequay_core import textcheck
from fescuequay_core.exceptions import FescuequayError
from fescuequay_ctl import operations
from fescuequay_ctl.operations import InstanceReport, InvalidTextError, Operations, TextConflictError, WaitTimeoutError
from fescuequay_entry.http_session import open_session

_DEFAULT_WAIT_TIMEOUT_S: Final = 10.0
_SHORT_DIGEST_CHARS: Final = 12

EXIT_FAILED: Final = 1
EXIT_INVALID: Final = 2
EXIT_CONFLICT: Final = 3
EXIT_WAIT_TIMEOUT: Final = 4

_Result = TypeVar('_Result')

_file = click.argument('file', type=click.Path(path_type=pathlib.Path))
_json = click.option('--json', 'as_json', is_flag=True, help='Print JSON for scripts.')


@click.group()
@click.option(
    '--platform',
    envvar='FESCUEQUAY_PLATFORM',
    default='http://127.0.0.1:7300',
    show_default=True,
    help='Base URL of the platform; also read from FESCUEQUAY_PLATFORM.',
)
@click.version_option(package_name='fescuequay-ctl')
@click.pass_context
def main(context: click.Context, platform: str) -> None:
    """Manage a fescuequay fleet by its configuration text.

    Edit the text, `validate` it, look at the `diff`, then `apply` it. Exit codes: 0 success, 1 the
    platform or an instance failed, 2 the text or the command line is invalid, 3 another operator's
    text was applied first, 4 some instances had not put the text in force before the timeout.
    """
    context.obj = platform


@main.command()
@_file
@_json
def validate(file: pathlib.Path, *, as_json: bool) -> None:
    """Check FILE without applying it; print every fault as FILE:LINE: path: message."""
    text, faults = textcheck.load(_read(file))
    if as_json:
        click.echo(msgspec.json.encode(faults))
    else:
        _print_faults(file, faults)
        if text is not None:
            click.echo(f'{file}: usable: {len(text.groups_by_id)} groups, {len(text.organisations)} organisations')
    sys.exit(EXIT_INVALID if faults else 0)


@main.command()
@_file
@click.option('--expect', type=int, help='Number of the text that you edited; fail if another one is in force.')
@click.option('--wait', is_flag=True, help='Wait until every listed instance has the text in force.')
@click.option('--timeout', default=_DEFAULT_WAIT_TIMEOUT_S, show_default=True, help='Maximum wait, in seconds.')
@click.option('--author', default=getpass.getuser, help='Name recorded in the history; your login name by default.')
@_json
@click.pass_obj
def apply(
    platform: str, file: pathlib.Path, *, expect: int | None, wait: bool, timeout: float, author: str, as_json: bool
) -> None:
    """Put FILE in force, unless another operator's text was applied first."""
    raw = _read(file)

    async def work(fleet: Operations) -> tuple[int, float | None]:
        applied = await fleet.apply(raw, author, expect)
        return applied.number, await fleet.wait(applied.number, timeout) if wait else None

    try:
        number, waited_s = _run(platform, work)
    except InvalidTextError as error:
        _print_faults(file, error.faults)
        sys.exit(EXIT_INVALID)
    if as_json:
        click.echo(msgspec.json.encode({'number': number, 'waited_s': waited_s}))
    else:
        suffix = f', in force everywhere after {waited_s:.1f} s' if waited_s is not None else ''
        click.echo(f'text {number} applied{suffix}')


@main.command()
@_file
@_json
@click.pass_obj
def diff(platform: str, file: pathlib.Path, *, as_json: bool) -> None:
    """Show how FILE differs from the text in force."""
    raw = _read(file)
    number, current = _run(platform, lambda fleet: fleet.text_in_force())
    try:
        lines = list(operations.differences(current, raw))
    except InvalidTextError as error:
        _print_faults(file, error.faults)
        sys.exit(EXIT_INVALID)
    if as_json:
        click.echo(msgspec.json.encode({'number': number, 'differences': lines}))
    else:
        click.echo('\n'.join(lines) or f'no difference from text {number}')


@main.command()
@click.pass_obj
def show(platform: str) -> None:
    """Print the text in force as it was applied, and its number on standard error."""
    number, raw = _run(platform, lambda fleet: fleet.text_in_force())
    click.echo(f'text {number}', err=True)
    click.echo(raw, nl=False)


@main.command()
@_json
@click.pass_obj
def history(platform: str, *, as_json: bool) -> None:
    """List the most recently applied texts, newest first."""
    record = _run(platform, lambda fleet: fleet.record())
    if as_json:
        click.echo(msgspec.json.encode(record.history))
        return
    for applied in record.history:
        click.echo(
            f'{applied.number:>6}  {applied.applied_at:.0f}  {applied.author}  {applied.digest[:_SHORT_DIGEST_CHARS]}'
        )


@main.command()
@_json
@click.pass_obj
def status(platform: str, *, as_json: bool) -> None:
    """Show the state of each instance, its text and fleet record, and the leader of each group."""
    reports = _run(platform, lambda fleet: fleet.reports())
    if as_json:
        click.echo(msgspec.json.encode({report.member.instance: report.state for report in reports}))
        return
    for report in reports:
        click.echo(_instance_line(report))
    for line in _leader_lines(reports):
        click.echo(line)


@main.command()
@click.argument('subject')
@_json
@click.pass_obj
def explain(platform: str, subject: str, *, as_json: bool) -> None:
    """Show the recorded incidents about SUBJECT: a group, organisation, target, instance or request id."""
    entries = _run(platform, lambda fleet: fleet.explain(subject))
    if as_json:
        click.echo(msgspec.json.encode(entries))
        return
    for entry in entries:
        details = ' '.join(f'{key}={value}' for key, value in entry['details'].items())
        click.echo(f'{entry["ago_s"]:>9.2f} s ago  {entry["instance"]}  {entry["event"]}: {entry["cause"]}  {details}')
    if not entries:
        click.echo(f'no instance has recorded anything about {subject!r}')


@main.group()
def key() -> None:
    """Manage the keys of callers."""


@key.command('new')
@_json
def new_key(*, as_json: bool) -> None:
    """Create a key; it is printed once, with the digest to put into the text."""
    made, digest = operations.new_key()
    if as_json:
        click.echo(msgspec.json.encode({'key': made, 'sha256': digest}))
    else:
        click.echo(f'key (give it to the caller, it is not stored): {made}')
        click.echo(f'digest (put it into the text):                {digest}')


def _read(file: pathlib.Path) -> bytes:
    try:
        return file.read_bytes()
    except OSError as error:
        click.echo(f'{file}: cannot be read: {error.strerror}', err=True)
        sys.exit(EXIT_INVALID)


def _print_faults(file: pathlib.Path, faults: tuple[textcheck.Fault, ...]) -> None:
    for fault in faults:
        click.echo(f'{file}:{fault.line}: {fault.path or "(text)"}: {fault.message}')


def _run(platform: str, work: Callable[[Operations], Awaitable[_Result]]) -> _Result:
    async def session() -> _Result:
        async with open_session() as http:
            return await work(Operations(http, platform))

    try:
        return asyncio.run(session())
    except TextConflictError as error:
        _fail(error, EXIT_CONFLICT, *error.differences)
    except WaitTimeoutError as error:
        _fail(error, EXIT_WAIT_TIMEOUT)
    except InvalidTextError:
        raise
    except FescuequayError as error:
        _fail(error, EXIT_FAILED)


def _fail(error: Exception, code: int, *lines: str) -> NoReturn:
    click.echo(str(error), err=True)
    for line in lines:
        click.echo(line, err=True)
    sys.exit(code)


def _instance_line(report: InstanceReport) -> str:
    state = report.state
    if state is None:
        return f'{report.member.instance}  {report.member.data_centre}  does not answer'
    readiness = 'ready' if state['is_ready'] else 'not ready'
    age = state['view_age_s']
    return (
        f'{state["instance"]}  {state["data_centre"]}  {readiness}  seat {state["seat"]}  '
        f'text {state["text_number"]}  record {state["fleet_version"]} confirmed {age} s ago'
    )


def _leader_lines(reports: list[InstanceReport]) -> list[str]:
    states: list[dict[str, Any]] = [report.state for report in reports if report.state is not None]
    if not states:
        return []
    newest = max(states, key=lambda state: int(state['fleet_version']))
    return [
        f'{group}  {leader["state"]}  term {leader["term"]}  {leader["target"]}'
        for group, leader in sorted(newest['leaders'].items())
    ]
