"""Library of the operations on a fleet, used by the command line."""

import asyncio
import dataclasses
import secrets
import time
from collections.abc import Iterator
from http import HTTPStatus
from typing import Any, Final
from urllib.parse import quote

import aiohttp
import msgspec
import yarl

from fescuequay_core import config, jsonc, keys, textcheck
from fescuequay_core.events import Member, WriteResult
from fescuequay_core.exceptions import FescuequayError, TextError
from fescuequay_core.fleet import Applied, ApplyText, FleetRecord, decode_record, with_write_id
from fescuequay_core.types import KeyDigest
from fescuequay_entry.platform import HttpPlatform, PlatformError
from fescuequay_entry.platform_actions import FLEET_ROW

_MAX_TRIES: Final = 20
_RETRY_INTERVAL_S: Final = 0.1
_KEY_BYTES: Final = 32


class InvalidTextError(FescuequayError):
    """Raised when a text has faults.

    :param faults: All of its faults.
    """

    def __init__(self, faults: tuple[textcheck.Fault, ...]) -> None:
        super().__init__(f'the text has {len(faults)} faults')
        self.faults = faults


class TextConflictError(FescuequayError):
    """Raised when another text has been applied since the one that the operator read.

    :param expected: Number of the text that the operator read.
    :param winner: The text in force now.
    :param differences: Differences between the text in force and the one to be applied.
    """

    def __init__(self, expected: int, winner: Applied | None, differences: tuple[str, ...]) -> None:
        number = winner.number if winner else 0
        author = winner.author if winner else 'nobody'
        super().__init__(f'text {expected} is no longer in force: text {number}, applied by {author}, is')
        self.winner = winner
        self.differences = differences


class WaitTimeoutError(FescuequayError):
    """Raised when some instances have not put the text in force before the timeout."""


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceReport:
    """Status report of one instance.

    :param member: The instance.
    :param state: Its status, or ``None`` if it did not answer.
    """

    member: Member
    state: dict[str, Any] | None


class Operations:
    """Operations on a fleet through the platform and the instances.

    :param http: HTTP client session.
    :param platform: Base address of the platform.
    """

    def __init__(self, http: aiohttp.ClientSession, platform: str) -> None:
        self._http = http
        self._platform = HttpPlatform(http, platform, 'operator')

    async def record(self) -> FleetRecord:
        """:returns: The fleet record.

        :raises PlatformError: if the platform does not answer.
        """
        return (await self._read())[0]

    async def text_in_force(self) -> tuple[int, bytes]:
        """:returns: The number and the bytes of the text in force; 0 and empty bytes if there is none."""
        record = await self.record()
        if record.text is None:
            return 0, b''
        return record.text.number, await self._platform.get(record.text.digest)

    async def apply(self, raw: bytes, author: str, expected: int | None) -> Applied:
        """Put a text in force.

        :param raw: The text.
        :param author: Name of the operator who applies it.
        :param expected: Number of the text that the operator read; with ``None``, the one in force now.
        :returns: The applied text.
        :raises InvalidTextError: if the text has faults.
        :raises TextConflictError: if another text has been applied first.
        :raises PlatformError: if the platform does not answer or does not confirm the write.
        """
        parse_text(raw)
        digest = await self._platform.put(raw)
        write_id = f'operator.{secrets.token_hex(8)}'
        record, etag = await self._read()
        number = record.text.number if record.text else 0
        proposal = ApplyText(number if expected is None else expected, digest, author, time.time())
        for _ in range(_MAX_TRIES):
            if write_id in record.write_ids:
                return _find_applied(record, digest)
            changed = proposal.apply_to(record)
            if changed is None:
                raise await self._conflict(proposal.expected, record, raw)
            outcome, _ = await self._platform.write(
                FLEET_ROW, msgspec.json.encode(with_write_id(changed, write_id)), etag
            )
            if outcome is not WriteResult.ACCEPTED:
                await asyncio.sleep(_RETRY_INTERVAL_S)
            # If the answer to the write was lost, the record shows whether the write took effect.
            record, etag = await self._read()
        raise PlatformError(f'the platform did not confirm the write {write_id}; `show` prints the text in force')

    async def wait(self, number: int, timeout_s: float) -> float:
        """Wait until every listed instance has a text in force.

        :param number: Number of the text.
        :param timeout_s: Maximum wait.
        :returns: How long it took, in seconds.
        :raises WaitTimeoutError: if some instances have not put it in force; the message names them.
        """
        started_at = time.monotonic()
        while True:
            reports = await self.reports()
            missing = [str(report.member.instance) for report in reports if not _has_text(report, number)]
            elapsed_s = time.monotonic() - started_at
            if not missing:
                return elapsed_s
            if elapsed_s > timeout_s:
                raise WaitTimeoutError(
                    f'text {number} is not confirmed by {", ".join(missing)} after {elapsed_s:.1f} s'
                )
            await asyncio.sleep(_RETRY_INTERVAL_S)

    async def reports(self) -> list[InstanceReport]:
        """:returns: The status report of each listed instance."""
        members = await self._platform.members()
        states = await asyncio.gather(*(self._fetch(member, '/status') for member in members))
        return [InstanceReport(member, state) for member, state in zip(members, states, strict=True)]

    async def explain(self, subject: str) -> list[dict[str, Any]]:
        """Collect the incidents that the instances have recorded about a subject.

        :param subject: A request, group, organisation, target or instance.
        :returns: Incidents of every instance that answers, oldest first.
        """
        members = await self._platform.members()
        found = await asyncio.gather(
            *(self._fetch(member, f'/explain/{quote(subject, safe="")}') for member in members)
        )
        entries = [entry for entries in found if entries for entry in entries]
        return sorted(entries, key=lambda entry: -float(entry['ago_s']))

    async def _fetch(self, member: Member, path: str) -> Any:
        timeout = aiohttp.ClientTimeout(total=2)
        try:
            # The path is quoted already.
            url = yarl.URL(f'http://{member.peer_address}{path}', encoded=True)
            async with self._http.get(url, timeout=timeout, allow_redirects=False) as answer:
                return msgspec.json.decode(await answer.read()) if answer.status == HTTPStatus.OK else None
        except (aiohttp.ClientError, asyncio.TimeoutError, OSError, msgspec.DecodeError, RecursionError):
            return None

    async def _read(self) -> tuple[FleetRecord, str | None]:
        row = await self._platform.read(FLEET_ROW, None)
        return (decode_record(row.body) if row.body is not None else FleetRecord()), row.etag

    async def _conflict(self, expected: int, record: FleetRecord, raw: bytes) -> TextConflictError:
        winner = record.text
        current = await self._platform.get(winner.digest) if winner else b'{}'
        return TextConflictError(expected, winner, tuple(differences(current, raw)))


def parse_text(raw: bytes) -> config.Text:
    """:returns: The decoded and validated text.

    :param raw: Its bytes.
    :raises InvalidTextError: if it has faults.
    """
    text, faults = textcheck.load(raw)
    if text is None:
        raise InvalidTextError(faults)
    return text


def new_key() -> tuple[str, KeyDigest]:
    """:returns: A new key and its digest, which goes into the text."""
    key = keys.make_key(secrets.token_bytes(_KEY_BYTES))
    return key, keys.digest_of(key)


def differences(old: bytes, new: bytes) -> Iterator[str]:
    """Compare two texts by value, regardless of formatting and comments.

    :param old: Old text; empty bytes count as an empty object.
    :param new: New text; likewise.
    :returns: One line for each difference, with the path and the old and new value.
    """
    yield from _compare(_decode(old), _decode(new), '')


def _decode(raw: bytes) -> object:
    try:
        return jsonc.decode_text(raw or b'{}')[0]
    except TextError as error:
        raise InvalidTextError((textcheck.Fault(error.line, '', str(error)),)) from None


def _compare(old: object, new: object, path: str) -> Iterator[str]:
    if isinstance(old, dict) and isinstance(new, dict):
        for key in sorted({**old, **new}):
            name = f'{path}.{key}' if path else key
            if key not in new:
                yield f'- {name}: {_encode(old[key])}'
            elif key not in old:
                yield f'+ {name}: {_encode(new[key])}'
            else:
                yield from _compare(old[key], new[key], name)
    elif old != new:
        yield f'~ {path}: {_encode(old)} -> {_encode(new)}'


def _encode(value: object) -> str:
    return msgspec.json.encode(value).decode()


def _find_applied(record: FleetRecord, digest: str) -> Applied:
    return next(text for text in (record.text, *record.history) if text is not None and text.digest == digest)


def _has_text(report: InstanceReport, number: int) -> bool:
    return report.state is not None and int(report.state['text_number']) >= number
