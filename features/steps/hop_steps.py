"""Steps for the frames between instances."""

from typing import Any

from behave import then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from features import gateway_builders as builders
from features import hop_stream_model as model
from fescuequay_entry.relay.hop_frames import Answer, Fate, Frame, FrameDecoder, FrameError, Ping, Pong, encode

_CUTS = st.lists(st.integers(0, 400), max_size=6)


def _decoded(raw: bytes, cuts: list[int]) -> tuple[list[Frame], FrameError | None]:
    decoder = FrameDecoder()
    frames: list[Frame] = []
    error = None
    for chunk in model.chunks_of(raw, cuts):
        is_ended = error is not None
        try:
            for frame in decoder.feed(chunk):
                assert not is_ended, (frame, error)
                frames.append(frame)
        except FrameError as found:
            error = found
    return frames, error


@then('hypothesis finds no frames and no chunks that the frame decoder turns into other frames')
def step_same(context: Any) -> None:
    @settings(max_examples=300, deadline=None, derandomize=True)
    @for_all(st.lists(model.FRAMES, max_size=4), _CUTS)
    def check(frames: list[Frame], cuts: list[int]) -> None:
        assert _decoded(b''.join(map(encode, frames)), cuts) == (frames, None)

    check()


@then("hypothesis finds no damage after which the frame decoder yields what a plain model doesn't")
def step_damaged(context: Any) -> None:
    @settings(max_examples=600, deadline=None, derandomize=True)
    @for_all(st.lists(model.FRAMES, min_size=1, max_size=4), st.binary(max_size=6), st.booleans(), st.data())
    def check(frames: list[Frame], damage: bytes, is_of_same_size: bool, data: Any) -> None:  # noqa: FBT001
        raw = b''.join(map(encode, frames))
        places = st.integers(0, len(raw))
        place, cuts = data.draw(places), data.draw(st.lists(places, max_size=4))
        skipped = len(damage) if is_of_same_size else data.draw(st.integers(0, 8))
        damaged = raw[:place] + damage + raw[place + skipped :]
        found, error = _decoded(damaged, cuts)
        plain = list(model.plain_frames_of(damaged))
        assert len(found) <= len(plain), (found, plain)
        assert all(map(model.is_same, found, plain)), (found, plain)
        assert error is not None or len(found) == len(plain), (found, plain)

    check()


@when('frames follow {what} in the same chunk and in later ones')
def step_behind(context: Any, what: str) -> None:
    decoder = FrameDecoder()
    chunks = [encode(Ping()) + builders.bytes_of(what) + encode(Pong()) * 3, encode(Pong()), encode(Pong())]
    context.frames, context.errors = [], []
    for chunk in chunks:
        try:
            context.frames.extend(decoder.feed(chunk))
        except FrameError as error:
            context.errors.append(error)


@then('only the first frame is decoded, and each later chunk is an error')
def step_only_first(context: Any) -> None:
    assert context.frames == [Ping()], context.frames
    assert len(context.errors) == 3, context.errors


@when('{count:d} short frames arrive in one chunk, and one frame of 1 MiB in {pieces:d} chunks')
def step_many(context: Any, count: int, pieces: int) -> None:
    decoder = model.counting_decoder()
    long = encode(Answer(1, Fate.ANSWERED, rows=['x' * 1024 * 1024]))
    step = len(long) // pieces
    chunks = [encode(Ping()) * count, *(long[start : start + step] for start in range(0, len(long), step))]
    context.decoded = sum(1 for chunk in chunks for _ in decoder.feed(chunk))
    assert context.decoded == count + 1, context.decoded
    context.size = sum(map(len, chunks))


@then('the decoder has copied each byte at most {times:d} times')
def step_copied(context: Any, times: int) -> None:
    copied = model.CountingBuffer.copied
    assert context.size <= copied <= times * context.size, (copied, context.size)
