"""Frames between an instance and a gateway: a format version, a length, and a JSON body."""

import enum
import struct
from collections.abc import Callable, Iterator
from typing import Annotated, Any, Final

import msgspec

from fescuequay_core.decoding import JsonDecoder, Natural, UnreadableError
from fescuequay_core.relay import refusals
from fescuequay_core.relay.model import LogPosition, SessionState, Statement, StatementKind
from fescuequay_core.relay.refusals import Reason, Refused
from fescuequay_core.types import Term

#: Version of the format; a stream of another version is closed, and statements take another way.
FORMAT_VERSION: Final = 1

#: Flag beside the version of a frame with a text that is no UTF-8: each of its texts has one character for each byte.
_BYTES_FLAG: Final = 0x80

#: Longest body of a frame, in bytes: a message of 1 MiB with each byte escaped, and the rest of the frame.
MAX_BODY_BYTES: Final = 7 * 1024 * 1024

#: Version of the format with its flag, and length of the body.
_HEADER: Final = struct.Struct('>BI')

_REASONS_BY_CODE: Final = {
    reason.code: reason
    for reason in vars(refusals).values()  # noqa: WPS421 -- the module is the list of all reasons
    if isinstance(reason, Reason)
}

_Seconds = Annotated[float, msgspec.Meta(ge=0)]

_Position = tuple[Natural, Natural]


class FrameError(Exception):
    """Bytes that are no frame of this format; what follows them can't be decoded either."""


class UnsendableFrame(Exception):
    """A frame that the other end would not decode, or not as it was; nothing was sent."""


class Step(enum.Enum):
    """What a gateway is asked to do."""

    SINGLE = 's'
    BEGIN_WRITE = 'w'
    BEGIN_READ = 'r'
    IN_TRANSACTION = 't'
    ROLLBACK = 'b'


class Fate(enum.Enum):
    """What became of a statement at a gateway."""

    #: The target answered it.
    ANSWERED = 'a'
    #: The gateway refused it; it was not sent.
    REFUSED = 'r'
    #: The gateway doesn't serve the target or holds no valid permit for it; it was not sent.
    TURNED_AWAY = 'x'
    #: The target could not be reached or was lost before it was sent.
    NOT_SENT = 'n'
    #: The target was lost after it was sent.
    LOST = 'l'


class Ask(msgspec.Struct, frozen=True, array_like=True, tag='q'):
    """A statement for a gateway.

    :param number: Number of the request on this stream; each is larger than all before.
    :param step: What to do.
    :param lease: Number of the transaction on this stream, from the same sequence; 0 outside one.
    :param target: Id of the target.
    :param born_ms: Its incarnation.
    :param organisation: Organisation that it runs for.
    :param priority: Priority of its route.
    :param age_s: Time since its operation arrived, in seconds.
    :param aim_s: Time left until it should be answered, in seconds; negative when that is past.
    :param wait_s: Time left for getting a connection, in seconds.
    :param limit_s: Time left for the whole statement, in seconds.
    :param is_continued: Whether it belongs to a transaction that has run statements elsewhere.
    :param record_version: Version of the leader record under which the primary is used; 0 at a replica.
    :param values: Session values that must be set.
    :param request: The caller's id of the request.
    :param kind: Kind of the statement.
    :param text: Its text.
    :param arguments: What follows the name of a prepared statement.
    :param shape: Shape of the prepared statement, and whether it writes.
    :param after: Log position that the target must have reached.
    """

    number: Natural
    step: Step
    lease: Natural
    target: str
    born_ms: Natural
    organisation: str
    priority: Natural
    age_s: float
    aim_s: float
    wait_s: _Seconds
    limit_s: _Seconds
    is_continued: bool
    record_version: Natural
    values: dict[str, str]
    request: str
    kind: StatementKind
    text: str
    arguments: str = ''
    shape: tuple[str, bool] | None = None
    after: _Position | None = None

    def statement(self) -> Statement:
        """:returns: The statement."""
        return Statement(self.kind, self.text, arguments=self.arguments)


class Cancel(msgspec.Struct, frozen=True, array_like=True, tag='c'):
    """The answer to a request is no longer needed.

    :param number: Number of the request.
    """

    number: Natural


class Drop(msgspec.Struct, frozen=True, array_like=True, tag='d'):
    """A transaction is abandoned; its connection is closed.

    :param lease: Number of the transaction.
    """

    lease: Natural


class Ping(msgspec.Struct, frozen=True, array_like=True, tag='p'):
    """Asks for a sign of life."""


class Pong(msgspec.Struct, frozen=True, array_like=True, tag='o'):
    """Sign of life."""


class Leaving(msgspec.Struct, frozen=True, array_like=True, tag='g'):
    """The gateway stops: it ends what it holds and takes nothing new."""


class Answer(msgspec.Struct, frozen=True, array_like=True, tag='a'):
    """Answer to a request.

    :param number: Number of the request.
    :param fate: What became of the statement.
    :param state: State of the target's session afterwards.
    :param position: Log position of the target.
    :param signature: Fields that end a successful answer.
    :param rows: Its rows.
    :param reason: Code of the refusal or failure.
    :param detail: Its detail.
    :param retry_after_s: Time after which a new try may succeed, in seconds.
    :param waiting: Number of statements that wait for the target.
    :param available: Number of connections that are free or may be opened.
    :param connection: Name of the connection on which the target answered; empty in frames of earlier builds.
    """

    number: Natural
    fate: Fate
    state: SessionState = SessionState.IDLE
    position: _Position | None = None
    signature: str = ''
    rows: list[str] = []
    reason: str = ''
    detail: str = ''
    retry_after_s: float | None = None
    waiting: Natural = 0
    available: Natural = 0
    connection: str = ''

    def refusal(self) -> Refused:
        """:returns: The refusal; one with an unknown code may have run, unless the statement was not sent."""
        is_sent = self.fate in {Fate.ANSWERED, Fate.LOST}
        unknown = refusals.LOST if is_sent else refusals.TARGET_BUSY
        return Refused(_REASONS_BY_CODE.get(self.reason, unknown), self.detail, self.retry_after_s)


Frame = Ask | Cancel | Drop | Ping | Pong | Leaving | Answer

_ENCODER: Final = msgspec.json.Encoder()
_DECODER: Final = JsonDecoder[Frame](Frame)
_ANY_DECODER: Final = JsonDecoder[Any](Any)


def encode(frame: Frame) -> bytes:
    """:returns: A frame with its header. :raises UnsendableFrame: It is too long, or a text is that of no bytes."""
    version = FORMAT_VERSION
    try:
        body = _ENCODER.encode(frame)
    except UnicodeEncodeError:
        version |= _BYTES_FLAG
        body = _ENCODER.encode(_convert_texts(msgspec.to_builtins(frame), _text_to_bytes))
    if len(body) > MAX_BODY_BYTES:
        raise UnsendableFrame(f'a frame of {len(body)} bytes is longer than {MAX_BODY_BYTES}')
    return _HEADER.pack(version, len(body)) + body


def pair_of(position: LogPosition | None) -> _Position | None:
    """:returns: Term and number of a log position."""
    return None if position is None else (position.term, position.number)


def position_of(pair: _Position | None) -> LogPosition | None:
    """:returns: The log position of a term and a number."""
    return None if pair is None else LogPosition(Term(pair[0]), pair[1])


class FrameDecoder:
    """Cuts the received bytes of one stream into frames, up to the first bytes that are none."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._error: FrameError | None = None

    def feed(self, received: bytes) -> Iterator[Frame]:
        """Decode what has arrived.

        :param received: Next bytes of the stream.
        :returns: The frames that are complete.
        :raises FrameError: The bytes are malformed, too long or of another version of the format, or follow such bytes.
        """
        if self._error is not None:
            raise FrameError(f'bytes after an unreadable frame: {self._error}')
        self._buffer += received
        try:
            yield from self._cut()
        except FrameError as error:
            self._error = error
            self._buffer.clear()
            raise

    def _cut(self) -> Iterator[Frame]:
        start = 0
        try:
            while len(self._buffer) - start >= _HEADER.size:
                marked_version, length = _HEADER.unpack_from(self._buffer, start)
                version = marked_version & ~_BYTES_FLAG
                if version != FORMAT_VERSION:
                    raise FrameError(f'format version {version} instead of {FORMAT_VERSION}')
                if length > MAX_BODY_BYTES:
                    raise FrameError(f'a frame of {length} bytes is longer than {MAX_BODY_BYTES}')
                end = start + _HEADER.size + length
                if len(self._buffer) < end:
                    break
                body = bytes(self._buffer[start + _HEADER.size : end])
                start = end
                yield _decode(body, has_bytes=version != marked_version)
        finally:
            # Once for all frames of a chunk.
            if start:
                self._buffer = self._buffer[start:]


def _decode(body: bytes, *, has_bytes: bool) -> Frame:
    """Decode the body of a frame.

    :param body: The body.
    :param has_bytes: Whether each text has one character for each byte.
    :returns: The frame.
    :raises FrameError: It is malformed.
    """
    try:
        if not has_bytes:
            return _DECODER.decode(body)
        frame: Frame = msgspec.convert(_convert_texts(_ANY_DECODER.decode(body), _bytes_to_text), Frame)
        return frame
    except (UnreadableError, msgspec.ValidationError, UnicodeEncodeError, RecursionError) as error:
        raise FrameError(f'unreadable frame: {error}') from error


def _text_to_bytes(text: str) -> str:
    """:returns: One character for each byte of a text. :raises UnsendableFrame: It is not the text of any bytes."""
    try:
        raw = text.encode('utf-8', 'surrogateescape')
    except UnicodeEncodeError as error:
        raise UnsendableFrame(f'a text stands for no bytes: {error.reason}') from error
    if raw.decode('utf-8', 'surrogateescape') != text:
        raise UnsendableFrame('a text stands for bytes that would be decoded as another text')
    return raw.decode('latin-1')


def _bytes_to_text(text: str) -> str:
    """:returns: The text of these bytes. :raises UnicodeEncodeError: A character is no byte."""
    return text.encode('latin-1').decode('utf-8', 'surrogateescape')


def _convert_texts(plain: Any, convert: Callable[[str], str]) -> Any:
    """:returns: Plain JSON with each of its texts converted."""
    if isinstance(plain, str):
        return convert(plain)
    if isinstance(plain, dict):
        return {convert(key): _convert_texts(entry, convert) for key, entry in plain.items()}
    if isinstance(plain, (list, tuple)):
        return [_convert_texts(entry, convert) for entry in plain]
    return plain
