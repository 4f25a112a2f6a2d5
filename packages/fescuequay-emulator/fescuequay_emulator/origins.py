"""Traces statements that targets ran to the callers that sent them."""

from collections.abc import Iterable, Iterator, Sequence

from fescuequay_core.relay.model import Configuration
from fescuequay_core.types import RequestId

from fescuequay_emulator.callers import SentStatement
from fescuequay_emulator.targets import Execution
from fescuequay_emulator.wire import RESERVED_IDS, Stream, Wire, split_as_written


class Origins:
    """What callers sent, by their own record and by an independent reading of their bytes.

    :param sent: Record of the callers.
    :param configurations: All configurations.
    :param streams: Bytes of each connection of a caller.
    :param wire: Encoding of these bytes; nothing if callers hand over messages.
    """

    def __init__(
        self,
        sent: Iterable[SentStatement],
        configurations: Sequence[Configuration],
        streams: Iterable[Stream],
        wire: Wire | None,
    ) -> None:
        self._sent_by_request = {one.request: one for one in sent}
        self._configurations = configurations
        self._texts_by_request = None if wire is None else dict(_requests(wire, streams))

    def find_fault(self, execution: Execution) -> str:
        """:returns: Why no caller asked for this statement; an empty text if one did."""
        sent = self._sent_by_request.get(execution.request)
        texts = self._texts_by_request
        if sent is None or (texts is not None and execution.request not in texts):
            return 'no caller sent a message with this id'
        text = sent.statement.text if texts is None else texts[execution.request]
        if execution.shape is None and execution.statement.text != text:
            return f'its caller sent {text!r}'
        owners = {one.organisation_ids_by_credential.get(sent.credential) for one in self._configurations}
        if execution.organisation not in owners:
            return f'it ran for {execution.organisation}, its caller belongs to another organisation'
        return ''


def _requests(wire: Wire, streams: Iterable[Stream]) -> Iterator[tuple[RequestId, str]]:
    for stream in streams:
        for line in split_as_written(bytes(stream.sent)):
            request = wire.parse_request(line)
            if request is not None and request[0] not in RESERVED_IDS:
                yield request
