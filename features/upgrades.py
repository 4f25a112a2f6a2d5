"""Rolls real processes from an earlier build to the present one and back, under load on loopback."""

import asyncio
import pathlib
import random
import subprocess

from features.soak.__main__ import Soak
from features.soak.instances import Process

ROOT = pathlib.Path(__file__).resolve().parents[1]

#: Time that instances of both builds serve side by side after each replacement, in seconds: about an exchange.
_SETTLE_S = 0.4

#: Longest time that an instance may take to be ready, and all of them to serve their first caller, in seconds.
_READY_TIMEOUT_S = 10.0

#: Events which say that a build could not read what another one sent or wrote.
_UNREADABLE = ('bad_peer_message', 'bad_row', 'unreadable', 'controller_failed')


def check_out(commit: str) -> pathlib.Path | None:
    """Extract an earlier build from the repository's history.

    :param commit: Name of the commit.
    :returns: Its folder, which git ignores; nothing if the commit isn't in the history.
    """
    folder = ROOT / 'target' / 'builds' / commit
    if (folder / 'deploy').is_dir():
        return folder
    archive = subprocess.run(
        ['git', 'archive', commit, 'deploy', 'packages', 'platform'], cwd=ROOT, check=False, capture_output=True
    )
    if archive.returncode:
        return None
    folder.mkdir(parents=True, exist_ok=True)
    subprocess.run(['tar', '-x', '-C', str(folder)], input=archive.stdout, check=True)
    return folder


class Upgrade(Soak):
    """Replaces instances one after the other while callers write and read; no other fault is injected.

    :param earlier: Checkout of the earlier build.
    :param count: Number of instances.
    """

    def __init__(self, earlier: pathlib.Path, count: int) -> None:
        super().__init__(1, 0, count)
        self.earlier = earlier
        self.coordinators: list[tuple[str, int]] = []

    async def run(self) -> None:
        """Start the earlier build, roll forward, and roll back."""
        await self._start_platform()
        for process in self._processes:
            process.checkout = self.earlier
            await process.prepare()
            await process.start()
        tasks = [asyncio.ensure_future(process.poll_readiness()) for process in self._processes]
        try:
            for process in self._processes:
                await _await_ready(process)
            tasks.extend(asyncio.ensure_future(caller.run()) for caller in self._callers())
            await self._await_service()
            await self._roll(ROOT)
            await self._roll(self.earlier)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            await asyncio.gather(*(process.kill() for process in self._processes))

    async def _await_service(self) -> None:
        async with asyncio.timeout(_READY_TIMEOUT_S):
            while not self.history.served:
                await asyncio.sleep(0.05)
        await asyncio.sleep(_SETTLE_S)

    async def _roll(self, checkout: pathlib.Path) -> None:
        random.Random(len(self.coordinators)).shuffle(self._processes)
        for process in self._processes:
            served = self.history.served
            await process.stop()
            process.checkout = checkout
            await process.start()
            await _await_ready(process)
            await asyncio.sleep(_SETTLE_S)
            builds = {one.checkout for one in self._processes}
            self.coordinators.append((self._coordinator_build(), len(builds)))
            if self.history.served == served:
                self.history.violations.append(f'SERVE: nothing was served while {process.name} was replaced')

    def _coordinator_build(self) -> str:
        """:returns: ``earlier`` or ``present``: the build of the instance that took the lease last."""
        taken = [
            (line.split('token=')[1].split()[0], process)
            for process in self._processes
            for line in self._log(process)
            if 'event=duty_taken' in line
        ]
        holder = max(taken, key=lambda pair: int(pair[0]))[1]
        return 'earlier' if holder.checkout == self.earlier else 'present'

    def unreadable(self) -> list[str]:
        """:returns: Log lines which say that a build could not read what another one sent or wrote."""
        return [
            line for process in self._processes for line in self._log(process) if any(x in line for x in _UNREADABLE)
        ]

    def _log(self, process: Process) -> list[str]:
        return (self.folder / f'{process.name}.log').read_text().splitlines()


async def _await_ready(process: Process) -> None:
    async with asyncio.timeout(_READY_TIMEOUT_S):
        while not process.is_ready:
            await asyncio.sleep(0.05)
