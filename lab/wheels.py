"""Checks that each pinned library has a wheel for every supported machine.

``python -m lab.wheels`` asks the package index, by pip's own resolver and without installing, which wheel each machine
would get, and records the answer in ``requirements-wheels.txt``. CI compares the pins with the record and needs no
network.
"""

import json
import pathlib
import re
import subprocess
import sys
import tempfile
from collections.abc import Iterator
from typing import Final

from packaging.tags import Tag
from packaging.utils import canonicalize_name, parse_wheel_filename

from lab.install import explain

_ROOT: Final = pathlib.Path(__file__).resolve().parents[1]
RECORD: Final = _ROOT / 'requirements-wheels.txt'
ARCHITECTURES: Final = ('x86_64', 'aarch64')
_PYTHON: Final = '3.11'

#: Newest glibc whose wheels run on the oldest supported system (Debian 12), and the oldest with a tag of its own.
_NEWEST_GLIBC: Final = 36
_OLDEST_GLIBC: Final = 5

#: Longest time that the index may take for one file and architecture, in seconds.
_INDEX_TIMEOUT_S: Final = 180

_REQUIREMENTS: Final = ('requirements.txt', 'requirements-dev.txt')
_DEPLOYED: Final = 'deploy/requirements.txt'


def pins(name: str) -> dict[str, str]:
    """Read the pins of a requirements file.

    :param name: Path of the file from the root of the repository.
    :returns: Version by the library's normalised name.
    :raises ValueError: if a line doesn't pin one version.
    """
    lines = (line.split('#')[0].strip() for line in (_ROOT / name).read_text().splitlines())
    found = [re.fullmatch(r'([A-Za-z0-9_.-]+)==(\S+)', line) or line for line in lines if line]
    loose = [entry for entry in found if isinstance(entry, str)]
    if loose:
        raise ValueError(f'{name}: not pinned with ==: {", ".join(loose)}')
    return {canonicalize_name(entry[1]): entry[2] for entry in found}


def recorded_wheels() -> dict[str, list[str]]:
    """:returns: File names of the recorded wheels by architecture."""
    wheels_by_architecture: dict[str, list[str]] = {architecture: [] for architecture in ARCHITECTURES}
    for line in RECORD.read_text().splitlines():
        if not line.startswith('#'):
            architecture, name = line.split()
            wheels_by_architecture[architecture].append(name)
    return wheels_by_architecture


def faults(pins_by_library: dict[str, str], wheels_by_architecture: dict[str, list[str]]) -> Iterator[str]:
    """Compare pins with wheels.

    :param pins_by_library: Version by library.
    :param wheels_by_architecture: File names of wheels by architecture.
    :returns: A sentence for each pin without a wheel that runs on an architecture.
    """
    for architecture, names in wheels_by_architecture.items():
        usable = {_library_and_version(name) for name in names if _is_usable(name, architecture)}
        for library, version in sorted(pins_by_library.items()):
            if (library, version) not in usable:
                yield f'{library}=={version}: no wheel for {architecture} with glibc 2.{_NEWEST_GLIBC} is recorded'


def repository_faults() -> list[str]:
    """:returns: Faults of the repository's pins: wheels that are missing, and versions that differ between files."""
    pins_by_library = {library: version for name in _REQUIREMENTS for library, version in pins(name).items()}
    differing = [
        f'{library}: {_DEPLOYED} pins {version}, requirements.txt {pins_by_library.get(library)}'
        for library, version in pins(_DEPLOYED).items()
        if pins_by_library.get(library) != version
    ]
    return [*faults(pins_by_library, recorded_wheels()), *differing]


def _library_and_version(wheel: str) -> tuple[str, str]:
    name, version, _, _ = parse_wheel_filename(wheel)
    return str(name), str(version)


def _is_usable(wheel: str, architecture: str) -> bool:
    return any(_runs_on(tag, architecture) for tag in parse_wheel_filename(wheel)[3])


def _runs_on(tag: Tag, architecture: str) -> bool:
    if tag.platform == 'any':
        return True
    return tag.platform in _platforms(architecture)


def _platforms(architecture: str) -> list[str]:
    numbered = [f'manylinux_2_{minor}_{architecture}' for minor in range(_OLDEST_GLIBC, _NEWEST_GLIBC + 1)]
    return [*numbered, *(f'manylinux{name}_{architecture}' for name in ('1', '2010', '2014'))]


def _ask_index(architecture: str) -> list[str]:
    """:returns: File names of the wheels that pip would install on an architecture, one for each pin."""
    platforms = [word for platform in _platforms(architecture) for word in ('--platform', platform)]
    files = [word for name in _REQUIREMENTS for word in ('-r', str(_ROOT / name))]
    with tempfile.TemporaryDirectory() as folder:
        report = pathlib.Path(folder) / 'report.json'
        options = ['--dry-run', '--quiet', '--ignore-installed', '--no-deps', '--only-binary=:all:']
        options += ['--python-version', _PYTHON, '--target', folder, '--report', str(report)]
        done = subprocess.run(
            [sys.executable, '-m', 'pip', 'install', *options, *platforms, *files],
            check=False,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
            timeout=_INDEX_TIMEOUT_S,
        )
        if done.returncode:
            sys.exit(f'{architecture}: {explain(done.stdout.splitlines())}')
        items = json.loads(report.read_text())['install']
    return sorted(item['download_info']['url'].rsplit('/', 1)[-1] for item in items)


def main() -> None:
    """Ask the index and write the record."""
    lines = [f'{architecture} {name}\n' for architecture in ARCHITECTURES for name in _ask_index(architecture)]
    RECORD.write_text(f'# Wheels of the pinned libraries; written by `make wheels`.\n{"".join(lines)}')
    found = repository_faults()
    print('\n'.join(found) or f'{len(lines)} wheels recorded; every pin has one for each architecture')
    sys.exit(bool(found))


if __name__ == '__main__':
    main()
