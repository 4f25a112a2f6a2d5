"""Processes of the programs under test: start, signals and readiness. No other process is ever signalled."""

import asyncio
import datetime
import json
import os
import pathlib
import signal
import sys
import tempfile
import time
from typing import Final

import aiohttp

from features.ports import reserve_port
from features.soak.databases import HOST
from features.soak.platform import Platform, Proxy

_ROOT: Final = pathlib.Path(__file__).resolve().parents[2]

#: Time that the settings give an instance to stop after SIGTERM, in seconds; SIGKILL follows 1 s later.
STOP_TIMEOUT_S: Final = 4.0

#: Time after any other fault during which a stop by SIGTERM may leave callers unanswered, in seconds. The value is
#: given by the users' rules.
FAULT_EFFECT_S: Final = 4.0


class Process:
    """One instance.

    :param name: Name of the instance.
    :param platform: The platform.
    :param folder: Folder for its settings and its log.
    """

    def __init__(self, name: str, platform: Platform, folder: pathlib.Path) -> None:
        self.name = name
        self.callers_port = reserve_port()
        self.is_ready = False
        self.is_stopping = False
        self.last_fault_at = float('-inf')
        #: Checkout whose build is started next.
        self.checkout = _ROOT
        self.proxy = Proxy(platform.port)
        self.promoter_proxy = Proxy(platform.port)
        self._platform = platform
        self._folder = folder
        self._readiness_port = reserve_port()
        self._peer_port = reserve_port()
        self._process: asyncio.subprocess.Process | None = None
        self._start_count = 0

    @property
    def is_stable(self) -> bool:
        """:returns: Whether no fault other than stops by SIGTERM can still have an effect."""
        return time.monotonic() - self.last_fault_at > FAULT_EFFECT_S

    def exit_code(self) -> int | None:
        """:returns: Exit code of a process that has ended by itself; nothing if it runs or was ended."""
        if self._process is None or self.is_stopping:
            return None
        return self._process.returncode

    def run_number(self) -> int | None:
        """:returns: How often it was started; nothing if it does not run or is being ended."""
        if self._process is None or self._process.returncode is not None or self.is_stopping:
            return None
        return self._start_count

    async def prepare(self) -> None:
        """Start the proxies of the instance and write its settings."""
        await self.proxy.start()
        await self.promoter_proxy.start()
        settings = {
            'instance': self.name,
            'data_centre': 'z',
            'host': HOST,
            'callers': f'{HOST}:{self.callers_port}',
            'readiness': f'{HOST}:{self._readiness_port}',
            'peer_ports': [self._peer_port, self._peer_port],
            'store': f'{HOST}:{self.proxy.port}',
            'promoter': f'{HOST}:{self.promoter_proxy.port}',
            'stop_s': STOP_TIMEOUT_S,
        }
        (self._folder / f'{self.name}.jsonc').write_text('// Settings of the soak.\n' + json.dumps(settings))

    async def start(self) -> None:
        """Start the process."""
        environment = {**os.environ, 'FESCUEQUAY_CONFIG': str(self._folder / f'{self.name}.jsonc')}
        with (self._folder / f'{self.name}.log').open('ab') as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable, str(self.checkout / 'deploy/fescuequayd.py'), env=environment, stdout=log, stderr=log
            )
        self.is_stopping = False
        self._start_count += 1

    async def send_signal(self, number: signal.Signals) -> None:
        """Send a signal if the process is running."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    async def kill(self) -> None:
        """Send SIGKILL and wait for the process to exit."""
        process, self._process = self._process, None
        if process is not None and process.returncode is None:
            process.kill()
            await process.wait()
        self.is_ready = False

    async def stop(self) -> None:
        """Send SIGTERM and wait for the process to exit; kill it if it takes too long."""
        self.is_stopping = True
        await self.send_signal(signal.SIGTERM)
        if self._process is not None:
            try:
                await asyncio.wait_for(self._process.wait(), STOP_TIMEOUT_S + 1)
            except TimeoutError:
                await self.kill()
        self.is_ready = False

    def coordinates_since(self) -> str:
        """:returns: Time of its latest log line which says that it has become the coordinator; empty without one."""
        lines = (self._folder / f'{self.name}.log').read_text(errors='replace').splitlines()
        return max((line for line in lines if ' event=duty_taken ' in line), default='')

    def has_moved_callers(self, since: float) -> bool:
        """:returns: Whether it has closed idle sessions after a Unix time, so that their callers go elsewhere."""
        lines = (self._folder / f'{self.name}.log').read_text(errors='replace').splitlines()
        moments = (line.split(' ')[0] for line in lines if ' event=callers_moved ' in line)
        return any(datetime.datetime.fromisoformat(moment).timestamp() >= since for moment in moments)

    def hold_paths(self, *, is_held: bool) -> None:
        """Hold what passes between the instance and the platform, or deliver what was held."""
        for proxy in (self.proxy, self.promoter_proxy):
            proxy.set_mode('silent' if is_held else 'pass')

    async def poll_readiness(self) -> None:
        """Poll the readiness endpoint every 0.2 s until cancelled."""
        async with aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=1)) as http:
            while True:
                await asyncio.sleep(0.2)
                self.is_ready = await self._fetch_readiness(http)

    async def _fetch_readiness(self, http: aiohttp.ClientSession) -> bool:
        try:
            async with http.get(f'http://{HOST}:{self._readiness_port}/readiness') as response:
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False


def make_folder() -> pathlib.Path:
    """:returns: A new folder for settings and logs; it is kept, so that a failure can be examined."""
    return pathlib.Path(tempfile.mkdtemp(prefix='fescuequay-soak-'))
