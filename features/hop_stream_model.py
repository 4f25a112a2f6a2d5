"""Streams between instances for tests: any frames, a plain model of the format, a count of copied bytes."""

import json
import math
from collections.abc import Iterator
from typing import Any, Final, Self, SupportsIndex

import msgspec
from hypothesis import strategies as st

from fescuequay_core.relay.model import SessionState, StatementKind
from fescuequay_entry.relay import hop_frames
from fescuequay_entry.relay.hop_frames import Answer, Ask, Cancel, Drop, Fate, Frame, Leaving, Ping, Pong, Step

_HEADER_BYTES: Final = 5
_TEXTS_AS_BYTES: Final = 0x80

_NATURALS: Final = st.integers(0, 2**63 - 1)
_SECONDS: Final = st.floats(0, 1e9)
_POSITIONS: Final = st.none() | st.tuples(_NATURALS, _NATURALS)

#: Texts as the line protocol decodes them: one with bytes that are no UTF-8 has a surrogate for each of those.
_TEXTS: Final = st.text(max_size=12) | st.binary(max_size=12).map(lambda raw: raw.decode('utf-8', 'surrogateescape'))

FRAMES: Final[st.SearchStrategy[Frame]] = st.one_of(
    st.builds(
        Ask,
        _NATURALS,
        st.sampled_from(Step),
        _NATURALS,
        _TEXTS,
        _NATURALS,
        _TEXTS,
        _NATURALS,
        st.floats(-1e9, 1e9),
        st.floats(-1e9, 1e9),
        _SECONDS,
        _SECONDS,
        st.booleans(),
        _NATURALS,
        st.dictionaries(_TEXTS, _TEXTS, max_size=2),
        _TEXTS,
        st.sampled_from(StatementKind),
        _TEXTS,
        _TEXTS,
        st.none() | st.tuples(_TEXTS, st.booleans()),
        _POSITIONS,
    ),
    st.builds(
        Answer,
        _NATURALS,
        st.sampled_from(Fate),
        st.sampled_from(SessionState),
        _POSITIONS,
        _TEXTS,
        st.lists(_TEXTS, max_size=3),
        _TEXTS,
        _TEXTS,
        st.none() | _SECONDS,
    ),
    st.builds(Cancel, _NATURALS),
    st.builds(Drop, _NATURALS),
    st.sampled_from((Ping(), Pong(), Leaving())),
)


def chunks_of(raw: bytes, cuts: list[int]) -> Iterator[bytes]:
    """:returns: The bytes, cut at these places."""
    places = sorted({min(cut, len(raw)) for cut in cuts} | {0, len(raw)})
    return (raw[start:end] for start, end in zip(places, places[1:], strict=False))


def plain_frames_of(raw: bytes) -> Iterator[Any]:
    """Decode a stream as the format is described, without the decoder's code.

    :param raw: All of its bytes.
    :returns: The JSON of its frames, up to the first one that is malformed or incomplete.
    """
    while len(raw) >= _HEADER_BYTES:
        version, size = raw[0], int.from_bytes(raw[1:_HEADER_BYTES], 'big')
        body, raw = raw[_HEADER_BYTES : _HEADER_BYTES + size], raw[_HEADER_BYTES + size :]
        if version not in {1, 1 | _TEXTS_AS_BYTES} or len(body) < size:
            return
        try:
            plain = json.loads(body.decode())
            yield _text_of(plain) if version & _TEXTS_AS_BYTES else plain
        except (ValueError, RecursionError):
            return


def is_same(frame: Frame, plain: Any) -> bool:
    """:returns: Whether a frame says what the JSON says; fields of a later build don't count."""
    fields = msgspec.to_builtins(frame)
    said = [*plain[: len(fields)], *fields[len(plain) :]]
    return all(_is_same_field(field, other) for field, other in zip(fields, said, strict=True))


def _is_same_field(field: Any, other: Any) -> bool:
    if isinstance(field, float):
        return math.isclose(field, other, rel_tol=1e-15)
    return bool(json.dumps(field) == json.dumps(other))


def _text_of(plain: Any) -> Any:
    if isinstance(plain, str):
        return plain.encode('latin-1').decode('utf-8', 'surrogateescape')
    if isinstance(plain, dict):
        return {_text_of(name): _text_of(entry) for name, entry in plain.items()}
    return [_text_of(entry) for entry in plain] if isinstance(plain, list) else plain


class CountingBuffer(bytearray):  # noqa: WPS600 -- replaces the buffer of a decoder
    """Buffer of a decoder that counts the bytes that are copied into it and out of it."""

    copied = 0

    def __iadd__(self, added: Any) -> Self:
        """Count what is added."""
        type(self).copied += len(added)
        return super().__iadd__(added)

    def __getitem__(self, place: SupportsIndex | slice) -> Any:
        """:returns: A part; a copy counts."""
        found = super().__getitem__(place)  # type: ignore[index]
        if isinstance(place, slice):
            type(self).copied += len(found)  # type: ignore[arg-type]
            return CountingBuffer(found)  # type: ignore[arg-type]
        return found


def counting_decoder() -> hop_frames.FrameDecoder:
    """:returns: A decoder whose copies are counted, from 0."""
    decoder = hop_frames.FrameDecoder()
    decoder._buffer = CountingBuffer()
    CountingBuffer.copied = 0
    return decoder
