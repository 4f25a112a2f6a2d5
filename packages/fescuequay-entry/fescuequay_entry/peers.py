"""HTTP client for messages to other instances, authenticated with the secrets of the fleet."""

import asyncio
import dataclasses
import decimal
import hashlib
import hmac
import time
from typing import Final

import aiohttp
import msgspec

from fescuequay_core import messages
from fescuequay_core.exceptions import FescuequayError, MessageError
from fescuequay_core.messages import PeerMessage
from fescuequay_core.requests import Answer, Request, ResultSet
from fescuequay_core.types import Digest, Verdict
from fescuequay_core.verdicts import INTERNAL, REASONS_BY_CODE, Refusal
from fescuequay_entry.platform import PlatformError, check_object

#: Headers that are not sent, because peers ignore them.
_SKIPPED_HEADERS: Final = ('User-Agent', 'Accept', 'Accept-Encoding', 'Content-Type')

MAC_HEADER: Final = 'X-Fescuequay-Mac'


class PeerError(FescuequayError):
    """There is no valid answer from a peer.

    :param message: Cause.
    :param may_have_run: Whether the peer may have received the message and acted on it.
    """

    def __init__(self, message: str, *, may_have_run: bool) -> None:
        super().__init__(message)
        self.may_have_run = may_have_run


class RefusalRow(msgspec.Struct, frozen=True):
    """Wire format of a refusal."""

    code: str
    verdict: Verdict
    detail: str
    retry_after_s: float | None


class AnswerRow(msgspec.Struct, frozen=True):
    """Wire format of an answer."""

    answer: Answer
    bodies: tuple[str, ...]
    refusal: RefusalRow | None


class RequestRow(msgspec.Struct, frozen=True):
    """Wire format of a forwarded request; its deadline is relative, because clocks differ."""

    request: Request
    remaining_s: float


#: Numeric parameters keep the digits that the caller wrote.
_REQUEST_ENCODER: Final = msgspec.json.Encoder(decimal_format='number')
_REQUEST_DECODER: Final = msgspec.json.Decoder(RequestRow, float_hook=decimal.Decimal)


def compute_mac(body: bytes, secret: bytes) -> str:
    """:returns: The message authentication code of a body."""
    return hashlib.blake2b(body, key=secret[:64], digest_size=16, person=b'fq-peer').hexdigest()


def is_authentic(body: bytes, mac: str, secrets: tuple[bytes, ...]) -> bool:
    """:returns: Whether the message authentication code was made with one of the secrets."""
    return any(hmac.compare_digest(compute_mac(body, secret), mac) for secret in secrets)


class PeerClient:
    """Sends messages to peers.

    :param http: Client session.
    :param secrets: Secrets of the fleet; messages are signed with the first one.
    :param timeout_s: Timeout of an answer to a message.
    """

    def __init__(self, http: aiohttp.ClientSession, secrets: tuple[bytes, ...], timeout_s: float) -> None:
        self._http = http
        self._secrets = secrets
        self._timeout_s = timeout_s

    async def send(self, address: str, message: PeerMessage) -> PeerMessage | None:
        """Send a message.

        :returns: The answer, if the message has one.

        :param address: Address of the peer's listener.
        :param message: Message to send.
        :raises PeerError: when there is no valid answer.
        """
        body = await self._post(address, '/peer/messages', messages.encode(message), self._timeout_s)
        if not body:
            return None
        try:
            return messages.decode(body)
        except MessageError as error:
            raise PeerError(str(error), may_have_run=True) from None

    async def forward(self, address: str, request: Request) -> Answer:
        """Forward a request to another instance.

        :returns: The answer of the instance.

        :param address: Address of its listener for peers.
        :param request: Request to forward.
        :raises PeerError: when there is no valid answer.
        """
        remaining_s = max(request.deadline - time.monotonic(), 0.01)
        raw = _REQUEST_ENCODER.encode(RequestRow(request, remaining_s))
        # The other instance answers by the deadline; the margin allows for the response's network latency.
        body = await self._post(address, '/peer/requests', raw, remaining_s + 0.25)
        try:
            answer = decode_answer(body)
        except MessageError as error:
            raise PeerError(str(error), may_have_run=True) from None
        if answer.request_id != request.request_id:
            raise PeerError(f'{address} answered another request', may_have_run=True)
        return answer

    async def fetch(self, address: str, digest: Digest) -> bytes:
        """Fetch an object from a peer.

        :returns: The unpacked object.

        :param address: Address of the peer's listener.
        :param digest: Name of the object.
        :raises PeerError: when the peer does not have it.
        """
        packed = await self._post(address, '/peer/objects', str(digest).encode(), self._timeout_s)
        try:
            return check_object(digest, packed)
        except PlatformError as error:
            raise PeerError(str(error), may_have_run=False) from None

    async def _post(self, address: str, path: str, body: bytes, timeout_s: float) -> bytes:
        headers = {MAC_HEADER: compute_mac(body, self._secrets[0])}
        timeout = aiohttp.ClientTimeout(total=timeout_s)
        try:
            async with self._http.post(
                f'http://{address}{path}',
                data=body,
                headers=headers,
                timeout=timeout,
                allow_redirects=False,
                skip_auto_headers=_SKIPPED_HEADERS,
            ) as answer:
                answer_body = await answer.read()
        except aiohttp.ClientConnectorError as error:
            raise PeerError(f'{address} cannot be reached: {error}', may_have_run=False) from None
        except (aiohttp.ClientError, asyncio.TimeoutError, OSError) as error:
            raise PeerError(f'{address} did not answer: {type(error).__name__}', may_have_run=True) from None
        if answer.status != 200:
            may_have_run = not 300 <= answer.status < 500
            raise PeerError(f'{address} answered with status {answer.status}', may_have_run=may_have_run)
        return answer_body


def encode_answer(answer: Answer) -> bytes:
    """:returns: An answer, encoded for another instance."""
    refusal = None
    if answer.refusal is not None:
        source = answer.refusal
        refusal = RefusalRow(source.reason.code, source.verdict, source.detail, source.retry_after_s)
    bodies = tuple(result.body.decode() for result in answer.results)
    return msgspec.json.encode(AnswerRow(dataclasses.replace(answer, results=(), refusal=None), bodies, refusal))


def decode_answer(body: bytes) -> Answer:
    """Decode the answer of another instance.

    :param body: JSON document.
    :returns: The answer.
    :raises MessageError: when it cannot be decoded.
    """
    try:
        row = msgspec.json.decode(body, type=AnswerRow)
    except (msgspec.DecodeError, RecursionError) as error:
        raise MessageError(f'cannot decode the answer of a peer: {error}') from None
    refusal = None
    if row.refusal is not None:
        reason = REASONS_BY_CODE.get(row.refusal.code, INTERNAL)
        refusal = Refusal(reason, row.refusal.verdict, row.refusal.detail, row.refusal.retry_after_s)
    results = tuple(ResultSet(text.encode()) for text in row.bodies)
    return dataclasses.replace(row.answer, results=results, refusal=refusal)


def decode_request(body: bytes, now: float) -> Request:
    """Decode a forwarded request.

    :param body: JSON.
    :param now: Current monotonic time.
    :returns: The request, with its deadline on this instance's clock.
    :raises MessageError: when it cannot be decoded.
    """
    try:
        row = _REQUEST_DECODER.decode(body)
    except (msgspec.DecodeError, RecursionError) as error:
        raise MessageError(f'cannot decode the forwarded request: {error}') from None
    return dataclasses.replace(row.request, deadline=now + row.remaining_s, is_charged=True)
