"""Creates the virtual environment and installs into it; a failure is one line that names the library and the reason.

It runs before anything is installed, so it needs the standard library only.
"""

import argparse
import os
import pathlib
import re
import subprocess
import sys
from collections.abc import Iterable, Iterator
from typing import Final

_OLDEST_PYTHON: Final = (3, 11)

#: Lines of pip or of a build that state why an installation failed.
_REASON: Final = re.compile(r'^\s*(?:ERROR|error|CMake Error.*?|fatal error): (?P<reason>.*\S)')

#: Lines by which pip names what it was building, or what it didn't find.
_LIBRARIES: Final = (
    re.compile(r'(?:Failed building wheel for|Failed to build|No matching distribution found for) (?P<name>[^\s(]+)'),
    re.compile(r'(?:Building wheel for|Getting requirements to build wheel for) (?P<name>\S+)'),
    re.compile(r'(?:╰─>|-> ) ?(?P<name>[A-Za-z0-9_.-]+(?:==\S+)?)$'),
)

#: Reasons that only repeat that something failed; another line says why.
_EMPTY_REASONS: Final = (
    'subprocess-exited-with-error',
    'Failed building wheel',
    'Failed to build',
    'No matching',
    'Ignored',
)


class InstallError(Exception):
    """The environment could not be made; the message is one line."""


def explain(output: Iterable[str]) -> str:
    """Find in the output of pip which library failed and why.

    :param output: Lines of pip's output.
    :returns: One line.
    """
    lines = list(output)
    name = next(iter(_matches(lines, _LIBRARIES, 'name')), None)
    reasons = [reason for reason in _matches(lines, (_REASON,), 'reason') if not reason.startswith(_EMPTY_REASONS)]
    reason = reasons[0] if reasons else (lines[-1].strip() if lines else 'pip printed nothing')
    return f'{name}: {reason}' if name else reason


def _matches(lines: list[str], patterns: Iterable[re.Pattern[str]], group: str) -> Iterator[str]:
    for pattern in patterns:
        yield from (found.group(group) for line in lines if (found := pattern.search(line)))


def install(venv: pathlib.Path, arguments: list[str]) -> None:
    """Create the environment if it is missing, and run ``pip install`` in it.

    :param venv: Folder of the environment.
    :param arguments: Arguments of ``pip install``.
    :raises InstallError: with one line that says what failed and where the whole output is.
    """
    if sys.version_info < _OLDEST_PYTHON:
        raise InstallError(f'Python {sys.version.split()[0]} is too old; 3.11 or newer is needed (make PYTHON=...)')
    pip = venv / 'bin' / 'pip'
    if not pip.exists():
        _run([sys.executable, '-m', 'venv', str(venv)], venv, 'cannot create the virtual environment')
    _run([str(pip), 'install', '--disable-pip-version-check', *arguments], venv, 'cannot install')


def _run(command: list[str], venv: pathlib.Path, what: str) -> None:
    done = subprocess.run(
        command, check=False, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True, errors='replace'
    )
    venv.mkdir(exist_ok=True)
    log = venv / 'install.log'
    log.write_text(done.stdout)
    if done.returncode:
        raise InstallError(f'{what}: {explain(done.stdout.splitlines())} (whole output: {os.path.relpath(log)})')


def main() -> None:
    """Install what the command line names, for example ``.venv -r requirements.txt``."""
    parser = argparse.ArgumentParser()
    parser.add_argument('venv', type=pathlib.Path)
    known, arguments = parser.parse_known_args()
    try:
        install(known.venv, arguments)
    except InstallError as error:
        sys.exit(f'setup failed: {error}')


if __name__ == '__main__':
    main()
