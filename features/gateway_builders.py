"""Test data of the gateways: lists of instances and targets, frames, and deployments with few connections."""

from collections.abc import Iterator
from typing import Final

import msgspec

from fescuequay_core.relay.model import MemberRecord, StatementKind, TargetDescription
from fescuequay_core.types import InstanceId, Role, ServiceId, TargetId
from fescuequay_entry.relay import hop_frames
from fescuequay_entry.relay.hop_frames import Answer, Ask, Fate, Frame, Ping, Step

#: Begin of a header: the version of the format, and four bytes of length.
_LENGTH_BYTES: Final = 4

#: First byte of a frame whose texts have one character for each byte.
_BYTES_VERSION: Final = 0x81


def member(name: str, data_centre: str, capacity: float, *, is_leaving: bool = False) -> MemberRecord:
    """:returns: An instance."""
    return MemberRecord(InstanceId(name), 'i', f'{name}:1', data_centre, is_leaving, capacity)


def members_of(data_centres: int, large: tuple[int, float], small: tuple[int, float]) -> Iterator[MemberRecord]:
    """:returns: Instances of two sizes, each a number and a capacity, in each data centre."""
    for data_centre in range(data_centres):
        for size, (count, capacity) in enumerate((large, small)):
            for number in range(count):
                yield member(f'd{data_centre}-s{size}-{number}', f'd{data_centre}', capacity)


def targets_of(data_centres: int, each: int) -> Iterator[TargetDescription]:
    """:returns: Targets of as many services in each data centre."""
    for data_centre in range(data_centres):
        for number in range(each):
            yield target(f't{data_centre}-{number}', f'd{data_centre}')


def target(name: str, data_centre: str) -> TargetDescription:
    """:returns: A target."""
    return TargetDescription(
        TargetId(name), 1, ServiceId('s'), f'{name}:9', data_centre, is_draining=False, role=Role.REPLICA
    )


def ask(number: int = 1, limit_s: float = 1.0) -> Ask:
    """:returns: A request for a single read."""
    return Ask(
        number,
        Step.SINGLE,
        0,
        't',
        1,
        'o',
        1,
        0.0,
        0.1,
        0.1,
        limit_s,
        False,  # noqa: FBT003 -- the fields of a frame have an order
        0,
        {},
        'r1',
        StatementKind.READ,
        'READ 1',
    )


def frame_without_utf_8(what: str) -> Frame:
    """:returns: A frame with texts of callers or targets that are no UTF-8, as the line protocol decodes them."""
    text = b'\xff\x80 \xc3\xa9'.decode('utf-8', 'surrogateescape')
    if what == 'a statement':
        return msgspec.structs.replace(
            ask(), request=text, text=f'READ {text}', values={text: text}, shape=(text, True)
        )
    return Answer(1, Fate.ANSWERED, position=(3, 7), signature=text, rows=[text, 'plain'])


def frame_of(body: bytes, version: int = hop_frames.FORMAT_VERSION, length: int | None = None) -> bytes:
    """:returns: The bytes of a frame."""
    size = len(body) if length is None else length
    return bytes((version,)) + size.to_bytes(_LENGTH_BYTES, 'big') + body


def bytes_of(what: str) -> bytes:
    """:returns: The bytes of the frames that the feature file names."""
    plain = msgspec.json.encode(Ping())
    return {
        'a frame of another format version': frame_of(plain, version=hop_frames.FORMAT_VERSION + 1),
        'a frame that says it is 8 MiB long': frame_of(plain, length=8 * 1024 * 1024),
        'a body that is no JSON': frame_of(b'["p"'),
        'an empty body': frame_of(b''),
        'a body with a second value': frame_of(plain + plain),
        'a body of an unknown kind': frame_of(b'["unknown",1]'),
        'a request without its fields': frame_of(b'["q",1,"s"]'),
        'a text of bytes with a character': frame_of(
            msgspec.json.encode(msgspec.structs.replace(ask(), text='\u0100')), version=_BYTES_VERSION
        ),
        'a body of bytes nested 600 deep': frame_of(b'[' * 600 + b']' * 600, version=_BYTES_VERSION),
        'a request with a negative time limit': frame_of(msgspec.json.encode(ask(limit_s=-1.0))),
    }[what]
