"""The byte boundary of an instance: what it decodes and writes, and what others read in the same bytes."""

import abc
import dataclasses
import itertools
import re
from collections.abc import Callable, Coroutine, Iterable, Iterator, Sequence
from typing import Any, Final, TypeAlias

from fescuequay_core.types import RequestId
from fescuequay_entry.relay.ports import CallerMessage, Outcome, TargetConnection

#: Call of an instance on its connection to a target.
TargetCall: TypeAlias = Callable[[TargetConnection], Coroutine[Any, Any, Outcome]]

#: End of a message by the protocol.
MESSAGE_END: Final = b'\r\n'

#: Maximum length of a message, in bytes.
MAX_MESSAGE_BYTES: Final = 1024 * 1024

#: Ids under which no caller's request may run.
RESERVED_IDS: Final = frozenset((RequestId('-'), RequestId('')))

#: What a careless target takes for the end of a line.
_CARELESS_END: Final = re.compile(rb'\r\n|[\r\n\0]')


@dataclasses.dataclass(slots=True)
class Stream:
    """Bytes of a caller's connection.

    :param sent: All that the caller sent.
    :param received: The answers with rows.
    """

    sent: bytearray = dataclasses.field(default_factory=bytearray)
    received: bytearray = dataclasses.field(default_factory=bytearray)


class CallerInput(abc.ABC):
    """Decodes what one caller sends, as an instance does."""

    @abc.abstractmethod
    def feed(self, chunk: bytes) -> Iterator[CallerMessage]:
        """:returns: The messages that the instance decodes with these further bytes."""


class Wire(abc.ABC):
    """An encoding of messages, once as the instance implements it and once as written down."""

    @abc.abstractmethod
    def open_input(self) -> CallerInput:
        """:returns: The instance's decoder of a new connection."""

    @abc.abstractmethod
    def write(self, call: TargetCall) -> bytes | Outcome:
        """:returns: The bytes that an instance writes for a call; the outcome if it writes nothing."""

    @abc.abstractmethod
    def read_answer(self, answer: Outcome) -> Outcome:
        """Let an instance read an answer that a target writes, whatever its rows hold.

        :param answer: The answer of the target.
        :returns: The answer as the instance reads it.
        :raises TargetLost: The instance cannot read it.
        """

    @abc.abstractmethod
    def write_answer(self, rows: Sequence[str], signature: str) -> bytes:
        """:returns: The bytes that an instance writes to a caller. :raises Unsendable: It writes nothing."""

    @abc.abstractmethod
    def format(self, message: CallerMessage) -> bytes:
        """:returns: The bytes that a caller writes for a message, whatever its fields hold."""

    @abc.abstractmethod
    def parse_request(self, line: bytes) -> tuple[RequestId, str] | None:
        """Read a line without the instance's decoder.

        :param line: A line without its end.
        :returns: Id and text of a request; nothing for any other message.
        """


def split_as_written(content: bytes) -> Iterator[bytes]:
    """:returns: The messages that a caller sent, by the protocol; nothing follows a message that is too long."""
    *lines, _ = content.split(MESSAGE_END)
    return itertools.takewhile(lambda line: len(line) <= MAX_MESSAGE_BYTES, lines)


def split_carelessly(content: bytes) -> Iterator[bytes]:
    """:returns: The lines that a careless target reads."""
    return filter(None, _CARELESS_END.split(content))


def ambiguous_answers(streams: Iterable[Stream]) -> Iterator[bytes]:
    """:returns: Lines of answers to callers of which a careless caller reads something else."""
    for stream in streams:
        for line in split_as_written(bytes(stream.received)):
            if tuple(split_carelessly(line)) != (line,):
                yield line


def first_careless_line(text: str) -> str:
    """:returns: The part of a text that a careless target takes for the whole of it."""
    return _CARELESS_END.split(text.encode('utf-8', 'surrogateescape'))[0].decode('utf-8', 'surrogateescape')
