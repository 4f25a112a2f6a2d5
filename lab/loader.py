"""A load generator process: workers that each send statements one after another to one address."""

import asyncio
import json
import sys
import time
from typing import Any

import aiohttp


async def _work(http: aiohttp.ClientSession, job: dict[str, Any], until: float, times: list[float]) -> None:
    while time.monotonic() < until:
        began_at = time.monotonic()
        async with http.post(job['url'], json=job['body'], headers=job['headers']) as answer:
            await answer.read()
            if answer.status == 200:
                times.append(time.monotonic() - began_at)


async def main(job: dict[str, Any]) -> None:
    """Run one job and print its result as JSON.

    :param job: ``url``, ``headers`` and ``body`` of the request, number of ``workers``, and duration in ``seconds``.
    """
    times: list[float] = []
    async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as http:
        until = time.monotonic() + float(str(job['seconds']))
        await asyncio.gather(*(_work(http, job, until, times) for _ in range(int(str(job['workers'])))))
    times.sort()
    middle = times[len(times) // 2] if times else 0.0
    print(json.dumps({'count': len(times), 'median_ms': middle * 1000}))


if __name__ == '__main__':
    asyncio.run(main(json.loads(sys.argv[1])))
