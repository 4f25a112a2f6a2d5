"""Fleet of real processes on stand-ins, driven from the synchronous steps of behave."""

import asyncio
import threading
from collections.abc import Coroutine
from typing import Any

import aiohttp

from features import builders
from fescuequay_ctl.operations import Operations
from fescuequay_standins.fleet import StandInFleet

#: Longest time that one call on the loop may take, in seconds.
_STEP_TIMEOUT_S = 40

#: Longest wait for the state of an instance after a failure.
_STATUS_TIMEOUT = aiohttp.ClientTimeout(total=2)


class Reply:
    """One HTTP response."""

    def __init__(self, status: int, headers: Any, plain: Any) -> None:
        self.status = status
        self.headers = headers
        self.plain = plain

    @property
    def token(self) -> str | None:
        """:returns: Session token in the response headers."""
        token: str | None = self.headers.get('Fescuequay-Session')
        return token


class World:
    """Runs the event loop of the stand-ins in a thread of its own, so that they also run between steps."""

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self._thread.start()
        self.plain = builders.plain_text()
        self.fleet = StandInFleet(builders.raw_text(self.plain))
        self.replies: list[Reply] = []
        self.token: str | None = None

    def run(self, coroutine: Coroutine[Any, Any, Any]) -> Any:
        """:returns: Result of a coroutine that is run on the loop."""
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(_STEP_TIMEOUT_S)

    def start(self, instances: int, plain: dict[str, Any] | None = None, **settings: Any) -> None:
        """Start stand-ins and instances, apply a configuration text, and wait until all instances are ready."""
        if plain is not None:
            self.fleet = StandInFleet(builders.raw_text(plain))
        self.fleet.settings = {'body_timeout_s': 1, 'max_answer_bytes': 4 * 1024 * 1024, **settings}
        self.run(self._start(instances))

    def call(self, instance: str, path: str, body: Any = None, **options: Any) -> Reply:
        """Send one request and store the reply in ``replies``.

        :param instance: Name of the instance.
        :param path: Path below ``/v1/``.
        :param body: JSON value, or bytes that are sent unchanged.
        """
        reply: Reply = self.run(self.send(instance, path, body, **options))
        self.replies.append(reply)
        return reply

    async def send(
        self,
        instance: str,
        path: str,
        body: Any = None,
        organisation: str | None = 'acme',
        token: str | None = None,
        method: str = 'POST',
        headers: dict[str, str] | None = None,
    ) -> Reply:
        """:returns: The reply to one request."""
        address = self.fleet.instances_by_name[instance].callers
        sent = dict(headers or {})
        if organisation is not None:
            sent['Authorization'] = f'Bearer {builders.key_of(organisation)}'
        if token is not None:
            sent['Fescuequay-Session'] = token
        options: dict[str, Any] = {'data': body} if isinstance(body, bytes) else {'json': body or {}}
        async with self.http.request(method, f'http://{address}/v1/{path}', headers=sent, **options) as answer:
            raw = await answer.read()
            is_json = 'json' in answer.headers.get('Content-Type', '')
            plain = await answer.json(content_type=None) if is_json and raw else raw
            return Reply(answer.status, answer.headers, plain)

    def sql(self, instance: str, sql: str, *params: Any, route: str = builders.WRITES, **options: Any) -> Reply:
        """:returns: The reply to one statement."""
        body = {'sql': sql, 'params': list(params), **options.pop('extra', {})}
        return self.call(instance, f'{route}/statements', body, **options)

    def logs(self) -> dict[str, str]:
        """:returns: What the instances have logged, and every reply, by name."""
        logs_by_name = {name: ''.join(instance.log) for name, instance in self.fleet.instances_by_name.items()}
        replies = [f'{reply.status} {reply.plain} {dict(reply.headers)}\n' for reply in self.replies]
        return {**logs_by_name, 'replies': ''.join(replies), 'status': self.run(self._states())}

    async def _states(self) -> str:
        states = []
        for instance in self.fleet.instances_by_name.values():
            try:
                async with self.http.get(f'http://{instance.peers}/status', timeout=_STATUS_TIMEOUT) as answer:
                    states.append(f'{instance.name} {await answer.text()}\n')
            except (aiohttp.ClientError, TimeoutError) as error:
                states.append(f'{instance.name} {error!r}\n')
        for group in self.fleet.groups_by_id.values():
            for name in group.members_by_name:
                states.extend(f'{name} {entry}\n' for entry in await self.operations.explain(name))
        return ''.join(states)

    def close(self) -> None:
        """Stop the fleet and the loop."""
        self.run(self._close())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self._thread.join(5)

    async def _start(self, instances: int) -> None:
        self.http = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        await self.fleet.start()
        self.operations = Operations(self.http, self.fleet.platform_address)
        await self.operations.apply(self.fleet.text(), 'test', None)
        for number in range(instances):
            await self.fleet.add_instance(f'i{number + 1}', builders.DATA_CENTRES[number % 4])
        await self.fleet.wait_ready()

    async def _close(self) -> None:
        if hasattr(self, 'http'):
            await self.http.close()
        await self.fleet.stop()
