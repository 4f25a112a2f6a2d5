"""Removes one guard of the relay at a time, to test that the checker reports what goes wrong without it."""

import contextlib
import dataclasses
from collections.abc import Callable, Iterator
from typing import Any
from unittest import mock

from fescuequay_core.relay import eras, refusals, settlement
from fescuequay_core.relay.buckets import AcquireResult, Buckets
from fescuequay_core.relay.evacuation import Evacuations
from fescuequay_core.relay.freshness import RequiredPosition, Samples
from fescuequay_core.relay.lease import CoordinatorLease
from fescuequay_core.relay.permits import Permits
from fescuequay_core.relay.refusals import Refused
from fescuequay_entry.relay.authority import LeaseAuthority
from fescuequay_entry.relay.coordinator import Coordinator
from fescuequay_entry.relay.pool import PooledConnection
from fescuequay_entry.relay.replacement import Replacement
from fescuequay_entry.relay.session import Session
from fescuequay_entry.relay.statement_runner import StatementRunner
from fescuequay_platform import codec, line_protocol
from fescuequay_platform.codec import LineDecoder, Message, WireError


#: Limit of a promotion that is not bound by its lease, in seconds.
_PROMOTION_LIMIT_S = 2.0


async def _collect_nothing(*_: Any, is_planned: bool) -> None:
    """Collect no permit."""


def _required_without_age(self: Samples, route: Any, position: Any, began_at: float) -> Any:
    newest = self.newest(route.service)
    if newest is None or route.staleness_s <= 0:
        return None
    term, sample = newest
    return RequiredPosition(dataclasses.replace(sample.position, number=0), sample.at, sample, term)


def _required_without_session(original: Callable[..., Any]) -> Callable[..., Any]:
    return lambda self, route, _position, began_at: original(self, route, None, began_at)


async def _apply_without_reset(self: PooledConnection, values: dict[str, str]) -> None:
    for name, content in values.items():
        if self.values.get(name) != content:
            await self._require_success(self.connection.set_value(name, content))
            self.values[name] = content


def _admit_by_first_configuration(original: Callable[..., Any]) -> Callable[..., Any]:
    firsts: dict[Any, Any] = {}

    def admit(self: Session) -> Any:
        board = self._board
        present = board.configuration
        board.configuration = firsts.setdefault(board, present)
        try:
            return original(self)
        finally:
            board.configuration = present

    return admit


def _settle_as_known(original: Callable[..., Any]) -> Callable[..., Any]:
    return lambda known, permits, now, is_holder: original(known, permits, now, is_holder=True)


async def _claim_not_run(original: Callable[..., Any], *arguments: Any) -> Any:
    try:
        return await original(*arguments)
    except Refused as refusal:
        if refusal.reason in {refusals.TIMED_OUT, refusals.LOST}:
            raise Refused(refusals.TARGET_BUSY) from refusal
        raise


async def _send_twice(original: Callable[..., Any], *arguments: Any) -> Any:
    try:
        return await original(*arguments)
    except Refused as refusal:
        if refusal.reason in {refusals.TIMED_OUT, refusals.LOST}:
            runner, operation, placement, *rest = arguments
            again = await runner.place(operation, needs_primary=True, tried=set())
            return await original(runner, operation, again, *rest)
        raise


class _LineFeedDecoder(LineDecoder):
    """Takes a line feed for the end of a message, and what follows for the next one."""

    def __init__(self) -> None:
        super().__init__()
        self._rest = b''
        self._lines: list[bytes] = []

    def append(self, chunk: bytes) -> None:
        """Add received bytes."""
        *lines, self._rest = (self._rest + chunk).split(b'\n')
        self._lines += lines

    def take(self) -> Message | WireError | None:
        """:returns: The message, or the error, of the next line."""
        return self._decode(self._lines.pop(0)) if self._lines else None

    def _decode(self, line: bytes) -> Message | WireError:
        kind, _, rest = line.decode(errors='surrogateescape').removesuffix('\r').partition(' ')
        count = codec._FIELDS_BY_KIND.get(kind)
        if count is None or not line.endswith(b'\r') or len(line) > codec.MAX_MESSAGE_BYTES:
            return WireError('no message')
        return Message(kind, tuple(rest.split(' ', count - 1)) if rest else ())


def _encode_unchecked(message: Message) -> bytes:
    return ' '.join((message.kind, *message.fields)).encode(errors='surrogateescape') + b'\r\n'


@contextlib.contextmanager
def _end_messages_anywhere() -> Iterator[None]:
    patch = mock.patch.object
    with patch(line_protocol, 'LineDecoder', _LineFeedDecoder), patch(Message, 'encode', _encode_unchecked):
        yield


@contextlib.contextmanager
def _ignore_terms() -> Iterator[None]:
    needs_probe = Coordinator._needs_probe

    def needs_probe_of_any_term(self: Coordinator, record: Any, target: Any) -> bool:
        newest = self._board.samples.newest(record.service)
        term = record.term if newest is None else newest[0]
        return needs_probe(self, dataclasses.replace(record, term=term), target)

    patch = mock.patch.object
    with patch(Permits, 'was_in_force', lambda *_: True), patch(Coordinator, '_needs_probe', needs_probe_of_any_term):
        yield


def _patches(guard: str) -> Any:
    originals = {'required': Samples.required_position, 'admit': Session._admit, 'write': StatementRunner._write_once}
    patch = mock.patch.object
    write_once = originals['write']
    return {
        'the collection of permits': lambda: patch(Replacement, '_collect_permits', _collect_nothing),
        'the increase of the lease token': lambda: patch(CoordinatorLease, 'next_token', lambda _: 1),
        'the doubt about records of an earlier era': lambda: patch(
            settlement, 'settle', _settle_as_known(settlement.settle)
        ),
        'the check that a primary led when it was asked': lambda: patch(Permits, 'was_in_force', lambda *_: True),
        'that check and the probe of a primary of a new term': _ignore_terms,
        'the end of a promotion with its lease': lambda: patch(LeaseAuthority, 'left_s', lambda _: _PROMOTION_LIMIT_S),
        'the wait before a new era is settled': lambda: patch(CoordinatorLease, 'settles_at', lambda _: float('-inf')),
        'the order of tokens across eras': lambda: patch(eras, 'next_token', lambda known, _: known + 1),
        'the wait for permits of an earlier era': lambda: patch(
            Replacement, '_earlier_era_deadline', lambda _: float('-inf')
        ),
        'the evacuation': lambda: patch(Evacuations, 'replace', lambda *_: ()),
        'the end of work at an evacuated primary': lambda: patch(Evacuations, 'is_closed', lambda *_: False),
        'the check of the permit at the answer': lambda: patch(StatementRunner, 'has_valid_permit', lambda *_: True),
        'the position required by age': lambda: patch(Samples, 'required_position', _required_without_age),
        "the session's own position": lambda: patch(
            Samples, 'required_position', _required_without_session(originals['required'])
        ),
        'the reset of session values': lambda: patch(PooledConnection, 'apply_session_values', _apply_without_reset),
        'the check of the key': lambda: patch(Session, '_admit', _admit_by_first_configuration(originals['admit'])),
        'the limit of the token bucket': lambda: patch(
            Buckets, 'acquire', lambda *_, is_retry=False: (AcquireResult.ACQUIRED, 0.0)
        ),
        'the rule that a write is sent once': lambda: patch(
            StatementRunner, '_write_once', lambda *arguments: _send_twice(write_once, *arguments)
        ),
        'the verdict on writes that were sent': lambda: patch(
            StatementRunner, '_write_once', lambda *arguments: _claim_not_run(write_once, *arguments)
        ),
        'the rule that CR LF alone ends a message': lambda: patch(line_protocol, 'LineDecoder', _LineFeedDecoder),
        'that rule and the check of what is written': _end_messages_anywhere,
    }[guard]()


@contextlib.contextmanager
def removed(guard: str) -> Iterator[None]:
    """Remove a guard for the length of a block.

    :param guard: Its name.
    """
    with _patches(guard):
        yield
