"""The programs under test as processes: start, signals, readiness; only these are ever signalled."""

import asyncio
import json
import os
import pathlib
import signal
import socket
import sys
import tempfile
import time
from typing import Final

import aiohttp

from features.soak.databases import HOST
from features.soak.platform import Platform, Proxy

_ROOT: Final = pathlib.Path(__file__).resolve().parents[2]

#: Time that an instance is given to end after SIGTERM, in seconds, as its settings say; then comes SIGKILL.
STOP_S: Final = 4.0

#: Time after any other fault for which a planned stop may cut callers, in seconds: as the users' rules have it.
UNSTABLE_S: Final = 4.0


def _free_port() -> int:
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return int(probe.getsockname()[1])


class Process:
    """One instance.

    :param name: Its name.
    :param platform: The platform.
    :param folder: Where its settings and its log are written.
    """

    def __init__(self, name: str, platform: Platform, folder: pathlib.Path) -> None:
        self.name = name
        self.callers_port = _free_port()
        self.is_ready = False
        self.is_stopping = False
        self.harmed_at = float('-inf')
        self.proxy = Proxy(platform.port)
        self._platform = platform
        self._folder = folder
        self._readiness_port = _free_port()
        self._peer_port = _free_port()
        self._process: asyncio.subprocess.Process | None = None

    @property
    def is_calm(self) -> bool:
        """:returns: Whether nothing but planned stops has happened for a while."""
        return time.monotonic() - self.harmed_at > UNSTABLE_S

    async def prepare(self) -> None:
        """Start its proxy and write its settings."""
        await self.proxy.start()
        plain = {
            'instance': self.name,
            'data_centre': 'z',
            'host': HOST,
            'callers': f'{HOST}:{self.callers_port}',
            'readiness': f'{HOST}:{self._readiness_port}',
            'peer_ports': [self._peer_port, self._peer_port],
            'store': f'{HOST}:{self.proxy.port}',
            'promoter': f'{HOST}:{self._platform.port}',
            'stop_s': STOP_S,
        }
        (self._folder / f'{self.name}.jsonc').write_text('// Settings of the soak.\n' + json.dumps(plain))

    async def start(self) -> None:
        """Start it."""
        environment = {**os.environ, 'FESCUEQUAY_CONFIG': str(self._folder / f'{self.name}.jsonc')}
        with (self._folder / f'{self.name}.log').open('ab') as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable, str(_ROOT / 'deploy/fescuequayd.py'), env=environment, stdout=log, stderr=log
            )
        self.is_stopping = False

    async def send(self, number: signal.Signals) -> None:
        """Send a signal, if it runs."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    async def end(self) -> None:
        """Kill it and wait."""
        if self._process is not None and self._process.returncode is None:
            self._process.kill()
            await self._process.wait()
        self.is_ready = False

    async def stop(self) -> None:
        """End it by plan."""
        self.is_stopping = True
        await self.send(signal.SIGTERM)
        if self._process is not None:
            try:
                await asyncio.wait_for(self._process.wait(), STOP_S + 1)
            except TimeoutError:
                await self.end()
        self.is_ready = False

    async def watch(self) -> None:
        """Ask every 0.2 s whether it wants callers, for ever."""
        async with aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=1)) as http:
            while True:
                await asyncio.sleep(0.2)
                self.is_ready = await self._ask(http)

    async def _ask(self, http: aiohttp.ClientSession) -> bool:
        try:
            async with http.get(f'http://{HOST}:{self._readiness_port}/readiness') as response:
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False


def make_folder() -> pathlib.Path:
    """:returns: A new folder for settings and logs; it stays, so that a failure can be traced."""
    return pathlib.Path(tempfile.mkdtemp(prefix='fescuequay-soak-'))
