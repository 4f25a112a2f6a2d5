"""Process that generates the callers' load: open-loop arrivals, and sessions that move between instances."""

import asyncio
import random
import sys
import time
from collections.abc import Iterator
from typing import Any

import aiohttp
import msgspec


#: Interval of readiness checks, in seconds.
_READINESS_INTERVAL_S = 0.3


class Op(msgspec.Struct, array_like=True):
    """One request and its answer.

    :param at: When it was due, in seconds from the start.
    :param took_s: Time from when it was due to its answer, so that delays of the sender are included.
    :param organisation: Organisation of the caller.
    :param is_write: Whether it is a write.
    :param name: Name of the row to write.
    :param status: HTTP status; 0 when the connection failed.
    :param reason: Reason of a refusal.
    :param verdict: Verdict of a refusal.
    :param role: Role of the target that served it.
    :param required: Number of rows that the session had written before.
    :param missing: Number of those that the read did not return.
    """

    at: float
    took_s: float
    organisation: str
    is_write: bool
    name: str
    status: int = 0
    reason: str = ''
    verdict: str = ''
    role: str = ''
    required: int = 0
    missing: int = 0


class Job(msgspec.Struct):
    """Parameters of the load.

    :param addresses: Addresses of the instances for callers.
    :param keys: Keys by organisation.
    :param weights: Share of the requests by organisation.
    :param reads_route: Route of reads.
    :param writes_route: Route of writes.
    :param sessions: Number of sessions over all organisations.
    :param per_s: Requests per second.
    :param write_share: Share of writes.
    :param aged_read_share: Share of reads that accept data up to 3 s old.
    :param idempotent_share: Share of writes with an idempotency key.
    :param flooder: Organisation that exceeds its rate.
    :param flood_per_s: Additional requests per second of that organisation.
    :param seconds: Duration.
    :param seed: Seed of the random number generator.
    :param is_primary_only: Whether every read requires data of age 0.
    :param out: Path of the file for the operations.
    """

    addresses: list[str]
    keys: dict[str, str]
    weights: dict[str, float]
    reads_route: str
    writes_route: str
    sessions: int
    per_s: float
    write_share: float
    aged_read_share: float
    idempotent_share: float
    flooder: str
    flood_per_s: float
    seconds: float
    seed: int
    is_primary_only: bool
    out: str


class Session:
    """A caller's session: its token and the rows that it has written."""

    def __init__(self, organisation: str) -> None:
        self.organisation = organisation
        self.token: str | None = None
        self.written: set[str] = set()


class Workload:
    """Sends the requests of a job and collects the operations."""

    def __init__(self, job: Job, http: aiohttp.ClientSession) -> None:
        self.job = job
        self.http = http
        self.rng = random.Random(job.seed)
        self.ops: list[Op] = []
        self.began_at = time.monotonic()
        names = list(job.weights)
        chosen = self.rng.choices(names, [job.weights[name] for name in names], k=job.sessions)
        self.sessions = [Session(name) for name in chosen]
        self.flood_sessions = [Session(job.flooder) for _ in range(8)]
        self.request_count = 0
        self.down_until: dict[str, float] = {}

    async def run(self) -> None:
        """Send each request when it is due, and wait for all answers."""
        polling = asyncio.create_task(self._poll_readiness())
        tasks = []
        for at, session in sorted(self._arrivals(), key=lambda pair: pair[0]):
            await asyncio.sleep(max(self.began_at + at - time.monotonic(), 0))
            tasks.append(asyncio.create_task(self._request(at, session)))
        await asyncio.gather(*tasks)
        polling.cancel()

    async def _poll_readiness(self) -> None:
        """Poll the readiness of each instance, as a load balancer does."""
        while True:
            for address in self.job.addresses:
                self.down_until[address] = 0.0 if await self._is_ready(address) else float('inf')
            await asyncio.sleep(_READINESS_INTERVAL_S)

    async def _is_ready(self, address: str) -> bool:
        timeout = aiohttp.ClientTimeout(total=1)
        try:
            async with self.http.get(f'http://{address}/readyz', timeout=timeout) as answer:
                return answer.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False

    def _arrivals(self) -> Iterator[tuple[float, Session]]:
        for sessions, per_s in ((self.sessions, self.job.per_s), (self.flood_sessions, self.job.flood_per_s)):
            at = 0.0
            while at < self.job.seconds:
                at += self.rng.expovariate(per_s)
                yield at, self.rng.choice(sessions)

    async def _request(self, at: float, session: Session) -> None:
        self.request_count += 1
        is_write = self.rng.random() < self.job.write_share
        name = f'{session.organisation}-{self.request_count}'
        op = Op(at, 0.0, session.organisation, is_write, name)
        headers = {'Authorization': f'Bearer {self.job.keys[session.organisation]}'}
        if session.token is not None:
            headers['Fescuequay-Session'] = session.token
        if is_write and self.rng.random() < self.job.idempotent_share:
            headers['Idempotency-Key'] = name
        route = self.job.writes_route if is_write else self.job.reads_route
        address = self._address()
        url = f'http://{address}/v1/{route}/statements'
        required = set(session.written)
        try:
            async with self.http.post(url, json=self._body(op, session), headers=headers) as answer:
                plain = await answer.json(content_type=None)
        except (aiohttp.ClientError, TimeoutError, OSError):
            op.took_s = time.monotonic() - self.began_at - at
            self.down_until[address] = float('inf')
            self.ops.append(op)
            return
        op.took_s = time.monotonic() - self.began_at - at
        op.status = answer.status
        self._record_answer(op, session, plain, answer.headers.get('Fescuequay-Session'), required)
        self.ops.append(op)

    def _address(self) -> str:
        """:returns: A random instance among those not known to be down, as a load balancer would choose."""
        now = time.monotonic()
        up = [name for name in self.job.addresses if self.down_until.get(name, 0) < now]
        return self.rng.choice(up or self.job.addresses)

    def _body(self, op: Op, session: Session) -> dict[str, Any]:
        if op.is_write:
            return {'sql': 'insert into marks values ($1, $2)', 'params': [op.name, session.organisation]}
        body: dict[str, Any] = {'sql': 'select name from marks where org = $1', 'params': [session.organisation]}
        body['read'] = True
        if self.job.is_primary_only:
            body['accept_age_ms'] = 0
        elif self.rng.random() < self.job.aged_read_share:
            body['accept_age_ms'] = 3000
        return body

    def _record_answer(self, op: Op, session: Session, plain: Any, token: str | None, required: set[str]) -> None:
        if op.status != 200:
            op.reason, op.verdict = plain.get('reason', ''), plain.get('verdict', '')
            if op.reason == 'session_ahead':
                session.token = None
                session.written = set()
            return
        op.role = plain['served']['role'] or ''
        if op.is_write:
            # Requests of a session may overlap. The token is kept only if the session has not changed meanwhile:
            # it would not cover another write that completed in between.
            if required == session.written:
                session.token = token
                session.written = required | {op.name}
        else:
            seen = {row[0] for row in plain['result']['rows']}
            op.required, op.missing = len(required), len(required - seen)


async def main(job: Job) -> None:
    """Run the load and write its operations to a file."""
    timeout = aiohttp.ClientTimeout(total=15)
    async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0), timeout=timeout) as http:
        workload = Workload(job, http)
        await workload.run()
    with open(job.out, 'wb') as file:
        file.write(msgspec.json.encode(workload.ops))


if __name__ == '__main__':
    asyncio.run(main(msgspec.json.decode(sys.argv[1].encode(), type=Job)))
