"""A real instance process with the platform's adapters, and stand-ins for the platform on loopback."""

import contextlib
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time
from urllib.request import urlopen

from features import smuggling
from features.platform_standin import HOST, TIMEOUT_S, PlatformStandIn
from features.ports import reserve_port

_ROOT = pathlib.Path(__file__).resolve().parents[1]

_KB_PER_MB = 1024

#: Pause between two sessions that are watched, in seconds; less than the rate of their organisation allows.
_PAUSE_S = 0.05

#: Time for which a caller waits for the answers to a message with a request inside, in seconds.
_SMUGGLING_WAIT_S = 0.3


class Deployment:
    """One real instance process and its stand-ins."""

    def __init__(self, standin: PlatformStandIn | None = None) -> None:
        self._standin = standin or PlatformStandIn()
        self._folder = tempfile.TemporaryDirectory()
        self._ports = {name: reserve_port() for name in ('callers', 'readiness', 'peers')}
        self._process: subprocess.Popen[bytes] | None = None

    def add_odd_entries(self) -> None:
        """Let another writer leave odd entries in the store."""
        self._standin.add_odd_entries()

    def is_running(self) -> bool:
        """:returns: Whether the instance still runs."""
        return self._process is not None and self._process.poll() is None

    def start(self) -> None:
        """Start everything and wait until the instance is ready."""
        self._standin.start()
        path = pathlib.Path(self._folder.name) / 'settings.jsonc'
        settings = {
            'instance': 'front-1',
            'data_centre': 'z',
            'host': HOST,
            'callers': f'{HOST}:{self._ports["callers"]}',
            'readiness': f'{HOST}:{self._ports["readiness"]}',
            'peer_ports': [self._ports['peers'], self._ports['peers']],
            'store': f'{HOST}:{self._standin.store_port}',
            'promoter': f'{HOST}:1',
            'stop_s': 4.0,
        }
        path.write_text('// Settings of a test.\n' + json.dumps(settings))
        environment = {**os.environ, 'FESCUEQUAY_CONFIG': str(path)}
        command = [sys.executable, str(_ROOT / 'deploy/fescuequayd.py')]
        subprocess.run([*command, '--check'], env=environment, check=True, stdout=subprocess.DEVNULL)
        self._output = pathlib.Path(self._folder.name) / 'output'
        with self._output.open('wb') as output:
            self._process = subprocess.Popen(command, env=environment, stdout=output, stderr=output)
        self._await_ready()

    def query(self) -> dict[str, list[str]]:
        """:returns: Answers to callers that send valid and invalid lines, by the kind of line."""
        answers: dict[str, list[str]] = {}
        valid = self._open('START db secret')
        self._await_primary(valid)
        answers['write'] = self._ask(valid, 'QUERY a1 WRITE x v1', 2)
        answers['read'] = self._ask(valid, 'QUERY a2 READ x', 3)
        other = self._open('START db secret')
        answers['malformed'] = self._ask(other, 'QUERY a3 JUMP x', 2)
        answers['unknown statement'] = self._ask(other, 'QUERY a4 EXECUTE s1 x', 2)
        answers['no cr'] = self._ask(other, 'QUERY a5 READ x', 2, end=b'\n')
        assert other.recv(1) == b'', 'the session went on after a message without its end'
        answers['unknown database'] = self._ask(None, 'START nothing secret', 1)
        answers['unknown key'] = self._ask(None, 'START db other', 1)
        answers['after'] = self._ask(valid, 'QUERY a6 READ x', 3)
        valid.close()
        other.close()
        return answers

    def send_raw(self, listener: str, raw: bytes) -> None:
        """Send bytes to a listener, and wait until it answers, closes or times out."""
        with socket.create_connection((HOST, self._ports[listener]), timeout=5) as sender:
            sender.settimeout(0.3)
            with contextlib.suppress(OSError):
                sender.sendall(raw)
                sender.recv(100)

    def smuggle(self, shape: smuggling.Smuggling) -> bytes:
        """:returns: What a caller is answered that sends a message with a request inside, and then waits."""
        if not self._standin.ran:
            valid = self._open('START db secret')
            self._await_primary(valid)
            valid.close()
        with self._open('START db secret') as caller:
            caller.settimeout(_SMUGGLING_WAIT_S)
            received = b''
            with contextlib.suppress(OSError):
                caller.sendall(shape.raw)
                while chunk := caller.recv(4096):
                    received += chunk
            return received

    def read_in_turn(self, items: list[str]) -> list[int]:
        """:returns: On which connections of the database a session's reads of these items ran."""
        with self._open('START db secret') as caller:
            self._await_primary(caller)
            self._await_reuse(caller)
            return [self._read_connection(caller, item) for item in items]

    def peers_of(self, request: str) -> set[str]:
        """:returns: Addresses from which the database got a request."""
        ran = zip(self._standin.ran, self._standin.connections, strict=True)
        return {self._standin.peers[connection] for (known, _), connection in ran if known == request}

    def open_session(self, key: str = 'secret', receive_bytes: int | None = None) -> socket.socket:
        """:returns: An open session of a caller, for which the kernel keeps about this many unread bytes."""
        return self._open(f'START db {key}', receive_bytes)

    def await_primary(self) -> None:
        """Wait until statements are served."""
        with self._open('START db secret') as caller:
            self._await_primary(caller)

    def longest_read_s(self, until: float) -> float:
        """:returns: Longest time that opening a session and a read took until then, in seconds."""
        longest_s = 0.0
        while time.monotonic() < until:
            began_at = time.monotonic()
            with self._open('START db secret') as caller:
                answer = self._ask(caller, 'QUERY sound READ none', 3)
                assert answer[1].startswith('DONE'), answer
            longest_s = max(longest_s, time.monotonic() - began_at)
            time.sleep(_PAUSE_S)
        return longest_s

    def peak_memory_mb(self) -> float:
        """:returns: Largest resident memory of the instance so far, in MB."""
        assert self._process is not None
        status = pathlib.Path(f'/proc/{self._process.pid}/status').read_text()
        return int(status.partition('VmHWM:')[2].split()[0]) / _KB_PER_MB

    def ran(self) -> list[tuple[str, str]]:
        """:returns: Ids and texts of the statements that the database ran."""
        return list(self._standin.ran)

    def output(self) -> list[str]:
        """:returns: The lines that the instance has written."""
        return self._output.read_text().splitlines()

    def logs(self) -> dict[str, str]:
        """:returns: What the instance has written, by its name."""
        return {'front-1': self._output.read_text()} if self._process is not None else {}

    def stop(self) -> int:
        """:returns: Exit code of the instance after SIGTERM."""
        assert self._process is not None
        self._process.send_signal(signal.SIGTERM)
        return self._process.wait(timeout=6)

    def close(self) -> None:
        """Kill the instance if it still runs, and close the stand-ins."""
        if self._process is not None and self._process.poll() is None:
            self._process.kill()
            self._process.wait()
        self._standin.close()
        self._folder.cleanup()

    def _await_ready(self) -> None:
        deadline = time.monotonic() + TIMEOUT_S
        while time.monotonic() < deadline:
            try:
                with urlopen(f'http://{HOST}:{self._ports["readiness"]}/readiness', timeout=1):
                    return
            except OSError:
                time.sleep(0.05)
        raise AssertionError('the instance did not become ready')

    def _await_primary(self, caller: socket.socket) -> None:
        """Wait until the first leader record is written; until then statements are refused as not run."""
        deadline = time.monotonic() + TIMEOUT_S
        while time.monotonic() < deadline:
            if not self._ask(caller, 'QUERY a0 READ none', 1)[0].startswith('ERROR'):
                self._lines(caller, 2)
                return
            self._lines(caller, 1)
            time.sleep(0.1)
        raise AssertionError('no primary was found')

    def _await_reuse(self, caller: socket.socket) -> None:
        """Wait until connections are kept after use; for some seconds after its start an instance closes them."""
        deadline = time.monotonic() + TIMEOUT_S
        while self._read_connection(caller, 'warm') != self._read_connection(caller, 'warm'):
            assert time.monotonic() < deadline, 'no connection was used twice'
            time.sleep(0.2)

    def _read_connection(self, caller: socket.socket, item: str) -> int:
        """:returns: On which connection of the database a read ran."""
        answer = self._ask(caller, f'QUERY r-{item} READ {item}', 3)
        assert answer[1].startswith('DONE'), answer
        ran = zip(self._standin.ran, self._standin.connections, strict=True)
        return [connection for (request, _), connection in ran if request == f'r-{item}'][-1]

    def _open(self, opening: str, receive_bytes: int | None = None) -> socket.socket:
        caller = socket.socket()
        caller.settimeout(5)
        if receive_bytes is not None:
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
        caller.connect((HOST, self._ports['callers']))
        assert self._ask(caller, opening, 1) == ['READY I -']
        return caller

    def _ask(self, caller: socket.socket | None, line: str, count: int, end: bytes = b'\r\n') -> list[str]:
        if caller is not None:
            caller.sendall(line.encode() + end)
            return self._lines(caller, count)
        with socket.create_connection((HOST, self._ports['callers']), timeout=5) as once:
            once.sendall(line.encode() + end)
            lines = self._lines(once, count)
            assert once.recv(1) == b'', 'the refused session was not closed'
            return lines

    def _lines(self, caller: socket.socket, count: int) -> list[str]:
        raw = b''
        while raw.count(b'\r\n') < count:
            chunk = caller.recv(1)
            assert chunk, raw
            raw += chunk
        return raw.decode().split('\r\n')[:count]


def _post(path: str, body: bytes) -> bytes:
    return f'POST {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n\r\n'.encode() + body


_SUPPLY = {'instance': 'x', 'incarnation': 'i', 'number': 1, 'wanted': {}}

#: Malformed, truncated, oversized, nested and mistyped messages to the listeners of an instance.
MALFORMED_MESSAGES = (
    bytes(100),
    b'GET\r\n\r\n',
    b'GET / HTTP/9.9\r\n\r\n',
    b'A' * 100000,
    b'GET / HTTP/1.1\r\nX: ' + b'y' * 70000 + b'\r\n\r\n',
    b'POST /peer/supply HTTP/1.1\r\nHost: x\r\nContent-Length: -5\r\n\r\n',
    b'POST /peer/supply HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nZZ\r\n',
    b'POST /peer/supply HTTP/1.1\r\nHost: x\r\nContent-Length: 50\r\n\r\nabc',
    b'POST /peer/supply HTTP/1.1\r\nHost: x\r\nContent-Encoding: deflate\r\nContent-Length: 3\r\n\r\nabc',
    _post('/peer/supply', b'{'),
    _post('/peer/supply', b'\xff\xfe'),
    _post('/peer/supply', b'[' * 100000 + b']' * 100000),
    _post('/peer/supply', b'x' * 3000000),
    _post('/peer/supply', json.dumps({**_SUPPLY, 'held': {'org': -(10**18)}}).encode()),
    _post('/peer/supply', json.dumps({**_SUPPLY, 'wanted': {'org': 10**30}}).encode()),
    _post('/peer/exchange', b'[]'),
    _post('/peer/close', b'{}'),
    _post('/peer/news', b'{"configuration_version": 1e400}'),
    _post('/peer/fetch', b'{"version": "x"}'),
)
