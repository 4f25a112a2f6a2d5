"""Sends news to peers: one delivery under way for each of them, and what comes meanwhile is joined."""

import asyncio

from fescuequay_entry.relay.board import log_event
from fescuequay_entry.relay.messages import News
from fescuequay_entry.relay.ports import PeerError, Peers


class NewsSender:
    """Sends news to peers.

    :param peers: Client of the other instances.
    """

    def __init__(self, peers: Peers) -> None:
        self._peers = peers
        self._waiting_by_address: dict[str, News] = {}
        self._tasks_by_address: dict[str, asyncio.Task[None]] = {}

    def send(self, address: str, news: News) -> None:
        """Send news to a peer as soon as the delivery under way has ended.

        :param address: Address of its peer listener.
        :param news: The news; where it differs from what waits for the same peer, it replaces that.
        """
        waiting = self._waiting_by_address.get(address)
        self._waiting_by_address[address] = news if waiting is None else join(waiting, news)
        if address not in self._tasks_by_address:
            self._tasks_by_address[address] = asyncio.ensure_future(self._deliver_all(address))

    async def _deliver_all(self, address: str) -> None:
        try:
            while address in self._waiting_by_address:
                await self._deliver(address, self._waiting_by_address.pop(address))
        finally:
            self._tasks_by_address.pop(address)

    async def _deliver(self, address: str, news: News) -> None:
        try:
            await self._peers.send_news(address, news)
        except PeerError as error:
            log_event('news_lost', address=address, detail=str(error))


def join(earlier: News, later: News) -> News:
    """:returns: What both say; where they differ, the later one."""
    newest = later if later.configuration_version >= earlier.configuration_version else earlier
    return News(
        newest.configuration_version,
        newest.sender,
        later.duty or earlier.duty,
        max(later.resigned, earlier.resigned),
    )
