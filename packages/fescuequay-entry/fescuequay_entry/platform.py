"""Abstract interfaces of the platform's services, and their HTTP client."""

import abc
import asyncio
import dataclasses
import hashlib
import zlib
from typing import Any, Final

import aiohttp
import msgspec

from fescuequay_core.events import Member, WriteResult
from fescuequay_core.exceptions import FescuequayError, MessageError
from fescuequay_core.types import Digest, InstanceId

_CONFLICT_STATUS: Final = 412
_NOT_MODIFIED_STATUS: Final = 304
_NOT_FOUND_STATUS: Final = 404

#: Statuses of answers that are understood; any other says nothing about the rows and objects.
_KNOWN_STATUSES: Final = frozenset((200, 201, 204, _NOT_MODIFIED_STATUS, _NOT_FOUND_STATUS, _CONFLICT_STATUS))

#: Maximum size of an object after decompression, in bytes.
_MAX_OBJECT_BYTES: Final = 8 * 1024 * 1024


class PlatformError(FescuequayError):
    """The platform did not answer, or answered with an error."""


@dataclasses.dataclass(frozen=True, slots=True)
class TableRow:
    """One row of the table.

    :param body: Content; ``None`` when the row has not changed or does not exist.
    :param etag: Version; ``None`` when the row does not exist.
    :param age_s: Time since the last change, by the platform's clock.
    :param key: Key of the row.
    """

    body: bytes | None
    etag: str | None
    age_s: float = 0.0
    key: str = ''


class Table(abc.ABC):
    """The transactional table service."""

    @abc.abstractmethod
    async def read(self, key: str, etag: str | None) -> TableRow:
        """:returns: The row.

        :param key: Key of the row.
        :param etag: Version that the caller already has, if any.
        :raises PlatformError: when there is no valid answer.
        """

    @abc.abstractmethod
    async def read_prefix(self, prefix: str) -> tuple[TableRow, ...]:
        """:returns: All rows whose key starts with a prefix.

        :param prefix: Prefix of the keys.
        :raises PlatformError: when there is no valid answer.
        """

    @abc.abstractmethod
    async def write(self, key: str, body: bytes, etag: str | None) -> tuple[WriteResult, str | None]:
        """Write a row if it still has a version.

        :returns: The result and the new version; errors are part of the result and never raised.

        :param key: Key of the row.
        :param body: New content.
        :param etag: Version that the row must have; ``None`` when it must not exist.
        """


class ObjectStore(abc.ABC):
    """The store of immutable objects, which are named by their SHA-256 digest."""

    @abc.abstractmethod
    async def get(self, digest: Digest) -> bytes:
        """:returns: The unpacked object, verified against its digest.

        :param digest: Name of the object.
        :raises PlatformError: when it cannot be read.
        """

    @abc.abstractmethod
    async def put(self, body: bytes) -> Digest:
        """Store an object.

        :returns: The name of the stored object.

        :param body: Content.
        :raises PlatformError: when it may not have been stored.
        """


class InstanceList(abc.ABC):
    """The platform's list of live and leaving instances, which may lag behind."""

    @abc.abstractmethod
    async def members(self) -> tuple[Member, ...]:
        """:returns: The rows of the list.

        :raises PlatformError: when there is no valid answer.
        """


class _MemberRow(msgspec.Struct, frozen=True):
    instance: str
    data_centre: str
    peer_address: str
    is_leaving: bool = False


class _PrefixRow(msgspec.Struct, frozen=True):
    key: str
    etag: str
    age_s: float
    body: str


class _Condition(msgspec.Struct, frozen=True):
    key: str
    etag: str | None
    body: str


class HttpPlatform(Table, ObjectStore, InstanceList):
    """HTTP client of the platform's services.

    :param http: Client session.
    :param base: Base URL.
    :param data_centre: Data centre of this process, sent to the platform.
    :param timeout_s: Timeout of a request.
    """

    def __init__(self, http: aiohttp.ClientSession, base: str, data_centre: str, timeout_s: float = 2.0) -> None:
        self._http = http
        self._base = base.rstrip('/')
        self._headers = {'X-Data-Centre': data_centre}
        self._timeout = aiohttp.ClientTimeout(total=timeout_s)
        self._members: tuple[Member, ...] = ()
        self._members_etag: str | None = None

    async def read(self, key: str, etag: str | None) -> TableRow:
        """:returns: The row."""
        headers = {'If-None-Match': f'"{etag}"'} if etag else {}
        status, answer_headers, body = await self._request('GET', f'/table/{key}', headers=headers)
        if status == _NOT_FOUND_STATUS:
            return TableRow(None, None, key=key)
        found_etag = answer_headers.get('ETag', '').strip('"')
        try:
            age_s = float(answer_headers.get('X-Age', '0'))
        except ValueError:
            age_s = 0.0
        return TableRow(None if status == _NOT_MODIFIED_STATUS else body, found_etag, age_s, key)

    async def read_prefix(self, prefix: str) -> tuple[TableRow, ...]:
        """:returns: All rows whose key starts with a prefix."""
        _, _, body = await self._request('GET', '/rows', params={'prefix': prefix})
        rows = _decode(body, list[_PrefixRow])
        return tuple(TableRow(row.body.encode(), row.etag, row.age_s, row.key) for row in rows)

    async def write(self, key: str, body: bytes, etag: str | None) -> tuple[WriteResult, str | None]:
        """:returns: The result and the new version."""
        # The HTTP client automatically retries a PUT when a persistent connection breaks, and the retry would
        # conflict with the effect of the first attempt. A POST is never retried.
        rows = msgspec.json.encode([_Condition(key, etag, body.decode())])
        try:
            status, _, answer = await self._request('POST', '/transactions', data=rows)
            if status == _CONFLICT_STATUS:
                return WriteResult.CONFLICT, None
            return WriteResult.ACCEPTED, _decode(answer, list[str])[0]
        except PlatformError:
            return WriteResult.UNKNOWN, None

    async def get(self, digest: Digest) -> bytes:
        """:returns: The object."""
        status, _, body = await self._request('GET', f'/objects/{digest}')
        if status == _NOT_FOUND_STATUS:
            raise PlatformError(f'there is no object {digest}')
        return check_object(digest, body)

    async def put(self, body: bytes) -> Digest:
        """:returns: The name of the stored object."""
        packed = zlib.compress(body, 9)
        digest = Digest(hashlib.sha256(packed).hexdigest())
        status, _, _ = await self._request('PUT', f'/objects/{digest}', data=packed)
        if status >= 300:
            raise PlatformError(f'the object {digest} was not stored: status {status}')
        return digest

    async def members(self) -> tuple[Member, ...]:
        """:returns: The rows of the instance list."""
        headers = {'If-None-Match': self._members_etag} if self._members_etag else {}
        status, answer_headers, body = await self._request('GET', '/instances', headers=headers)
        if status != _NOT_MODIFIED_STATUS:
            rows = _decode(body, list[_MemberRow])
            self._members = tuple(
                Member(InstanceId(row.instance), row.data_centre, row.peer_address, row.is_leaving) for row in rows
            )
            self._members_etag = answer_headers.get('ETag')
        return self._members

    async def _request(
        self, method: str, path: str, headers: dict[str, str] | None = None, **options: Any
    ) -> tuple[int, Any, bytes]:
        merged = {**self._headers, **(headers or {})}
        try:
            async with self._http.request(
                method, self._base + path, headers=merged, timeout=self._timeout, allow_redirects=False, **options
            ) as answer:
                body = await answer.read()
        except (aiohttp.ClientError, asyncio.TimeoutError, OSError) as error:
            raise PlatformError(f'{method} {path}: {type(error).__name__}') from None
        if answer.status not in _KNOWN_STATUSES:
            raise PlatformError(f'{method} {path}: status {answer.status}')
        return answer.status, answer.headers, body


def check_object(digest: Digest, packed: bytes) -> bytes:
    """Verify an object against its digest and decompress it.

    :param digest: Name of the object, the SHA-256 digest of the compressed bytes.
    :param packed: Compressed bytes, as stored.
    :returns: The decompressed object.
    :raises PlatformError: when the bytes do not match the digest or cannot be decompressed.
    """
    if hashlib.sha256(packed).hexdigest() != digest:
        raise PlatformError(f'the object {digest} is corrupt: its SHA-256 does not match its name')
    unpacker = zlib.decompressobj()
    try:
        body = unpacker.decompress(packed, _MAX_OBJECT_BYTES)
    except zlib.error as error:
        raise PlatformError(f'cannot decompress the object {digest}: {error}') from None
    if unpacker.unconsumed_tail:
        raise PlatformError(f'the object {digest} is larger than {_MAX_OBJECT_BYTES} bytes')
    return body


def _decode(body: bytes, kind: Any) -> Any:
    try:
        return msgspec.json.decode(body, type=kind)
    except (msgspec.DecodeError, RecursionError) as error:
        raise PlatformError(str(MessageError(f'cannot decode the answer of the platform: {error}'))) from None
