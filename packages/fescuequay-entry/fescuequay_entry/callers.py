"""HTTP/1.1 API for callers, with JSON bodies."""

import asyncio
import decimal
import hashlib
import math
import time
import uuid
from collections.abc import Awaitable, Callable
from importlib import resources
from typing import Any, Final

import msgspec
from aiohttp import web

from fescuequay_core import keys, verdicts
from fescuequay_core.requests import Answer, Request, Statement
from fescuequay_core.types import RequestId, RequestKind, RouteId, TransactionId, Verdict
from fescuequay_core.verdicts import Reason, Refusal
from fescuequay_entry.config import Settings

SESSION_HEADER: Final = 'Fescuequay-Session'
REQUEST_ID_HEADER: Final = 'X-Request-Id'
KEY_HEADER: Final = 'Idempotency-Key'

_MAX_KEY_CHARS: Final = 200
_MAX_STATEMENTS: Final = 1000

#: Runs a request and returns its final answer.
Submit = Callable[[Request], Awaitable[Answer]]


class StatementBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of a single statement.

    :param sql: SQL text with placeholders such as ``$1``.
    :param params: Values of the placeholders.
    :param read: Whether the statement only reads.
    :param accept_age_ms: Maximum age of the data that a read accepts.
    :param timeout_ms: Time after which the caller stops waiting.
    """

    sql: str
    params: tuple[Any, ...] = ()
    read: bool = False
    accept_age_ms: float | None = None
    timeout_ms: float | None = None


class BatchBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of statements that run in one transaction.

    :param statements: The statements, in order.
    :param read: Whether the transaction only reads.
    :param accept_age_ms: Maximum age of the data that a read accepts.
    :param timeout_ms: Time after which the caller stops waiting.
    """

    statements: tuple[Statement, ...]
    read: bool = False
    accept_age_ms: float | None = None
    timeout_ms: float | None = None


class OpenBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of a request that opens or ends an interactive transaction.

    :param read: Whether the transaction only reads.
    :param accept_age_ms: Maximum age of the data that a read accepts.
    :param timeout_ms: Time after which the caller stops waiting.
    """

    read: bool = False
    accept_age_ms: float | None = None
    timeout_ms: float | None = None


Body = StatementBody | BatchBody | OpenBody


def _decoder(kind: type[Body]) -> msgspec.json.Decoder[Any]:
    # Decimal preserves all digits that the caller wrote.
    return msgspec.json.Decoder(kind, float_hook=decimal.Decimal)


_DECODERS: Final = {kind: _decoder(kind) for kind in (StatementBody, BatchBody, OpenBody)}


class ProblemError(Exception):
    """A request is refused before it reaches the core.

    :param refusal: Reason and verdict.
    :param status: HTTP status, if it differs from that of the reason.
    """

    def __init__(self, refusal: Refusal, status: int | None = None) -> None:
        super().__init__(refusal.detail)
        self.refusal = refusal
        self.status = status or refusal.reason.status


class CallersApi:
    """Decodes HTTP requests and encodes the answers as HTTP responses.

    :param settings: Settings of this instance.
    :param submit: Runs a request and returns its final answer.
    :param is_ready: Returns whether the instance accepts new callers.
    :param is_leaving: Returns whether persistent connections are to be closed.
    """

    def __init__(
        self, settings: Settings, submit: Submit, is_ready: Callable[[], bool], is_leaving: Callable[[], bool]
    ) -> None:
        self._settings = settings
        self._submit = submit
        self._is_ready = is_ready
        self._is_leaving = is_leaving

    def application(self) -> web.Application:
        """:returns: The HTTP application."""
        app = web.Application(middlewares=[self._problem_middleware], client_max_size=self._settings.max_body_bytes)
        router = app.router
        router.add_post('/v1/{route}/statements', self._statement)
        router.add_post('/v1/{route}/batches', self._batch)
        router.add_post('/v1/{route}/transactions', self._begin)
        router.add_post('/v1/{route}/transactions/{transaction}/statements', self._in_transaction)
        router.add_post('/v1/{route}/transactions/{transaction}/commit', self._commit)
        router.add_delete('/v1/{route}/transactions/{transaction}', self._rollback)
        router.add_get('/livez', self._livez)
        router.add_get('/readyz', self._readyz)
        router.add_get('/openapi.json', self._openapi)
        return app

    @web.middleware
    async def _problem_middleware(self, request: web.Request, handler: Any) -> web.StreamResponse:
        request_id = RequestId(uuid.uuid4().hex)
        request['id'] = request_id
        try:
            response: web.StreamResponse = await handler(request)
        except ProblemError as error:
            response = _problem_response(error.refusal, error.status)
        except web.HTTPRequestEntityTooLarge:
            detail = f'the body has more than {self._settings.max_body_bytes} bytes'
            response = _problem_response(Refusal(verdicts.BAD_REQUEST, Verdict.NOT_RUN, detail), 413)
        except web.HTTPException as error:
            refusal = Refusal(verdicts.BAD_REQUEST, Verdict.NOT_RUN, error.reason)
            response = _problem_response(refusal, error.status)
            if 'Allow' in error.headers:
                response.headers['Allow'] = error.headers['Allow']
        response.headers[REQUEST_ID_HEADER] = request_id
        if self._is_leaving():
            response.force_close()
        return response

    async def _statement(self, request: web.Request) -> web.Response:
        body = await self._read_body(request, StatementBody)
        statements = (Statement(body.sql, body.params),)
        return await self._run(request, RequestKind.STATEMENT, body, statements)

    async def _batch(self, request: web.Request) -> web.Response:
        body = await self._read_body(request, BatchBody)
        if not 1 <= len(body.statements) <= _MAX_STATEMENTS:
            raise _problem_error(f'a batch has 1 to {_MAX_STATEMENTS} statements, not {len(body.statements)}')
        return await self._run(request, RequestKind.BATCH, body, body.statements)

    async def _begin(self, request: web.Request) -> web.Response:
        return await self._run(request, RequestKind.BEGIN, await self._read_body(request, OpenBody), ())

    async def _in_transaction(self, request: web.Request) -> web.Response:
        body = await self._read_body(request, StatementBody)
        statements = (Statement(body.sql, body.params),)
        return await self._run(request, RequestKind.IN_TRANSACTION, body, statements)

    async def _commit(self, request: web.Request) -> web.Response:
        return await self._run(request, RequestKind.COMMIT, await self._read_body(request, OpenBody), ())

    async def _rollback(self, request: web.Request) -> web.Response:
        return await self._run(request, RequestKind.ROLLBACK, OpenBody(), ())

    async def _livez(self, request: web.Request) -> web.Response:
        return web.Response(text='ok\n')

    async def _readyz(self, request: web.Request) -> web.Response:
        is_ready = self._is_ready()
        return web.Response(text='ready\n' if is_ready else 'not ready\n', status=200 if is_ready else 503)

    async def _openapi(self, request: web.Request) -> web.Response:
        text = resources.files('fescuequay_entry').joinpath('openapi.json').read_text()
        return web.Response(text=text, content_type='application/json')

    async def _read_body(self, request: web.Request, kind: type[Any]) -> Any:
        declared = request.content_length or 0
        if declared > self._settings.max_body_bytes:
            # Refuse the body before it is received; reading it would only delay the response.
            raise web.HTTPRequestEntityTooLarge(self._settings.max_body_bytes, declared)
        try:
            async with asyncio.timeout(self._settings.body_timeout_s):
                raw = await request.read()
        except TimeoutError:
            raise _problem_error('the body was not received in time', 408) from None
        try:
            return _DECODERS[kind].decode(raw or b'{}')
        except (msgspec.DecodeError, RecursionError, decimal.InvalidOperation) as error:
            raise _problem_error(f'cannot decode the body: {error}') from None

    async def _run(
        self, request: web.Request, kind: RequestKind, body: Body, statements: tuple[Statement, ...]
    ) -> web.Response:
        answer = await self._submit(self._build_request(request, kind, body, statements))
        if answer.refusal is not None:
            response = _problem_response(answer.refusal)
        else:
            response = _success_response(kind, answer)
        if answer.token is not None:
            response.headers[SESSION_HEADER] = answer.token
        return response

    def _build_request(
        self, request: web.Request, kind: RequestKind, body: Body, statements: tuple[Statement, ...]
    ) -> Request:
        transaction = request.match_info.get('transaction')
        return Request(
            request_id=request['id'],
            kind=kind,
            route=RouteId(request.match_info['route']),
            deadline=time.monotonic() + self._timeout_s(body.timeout_ms),
            key_digest=_key_digest(request),
            token=request.headers.get(SESSION_HEADER),
            statements=statements,
            is_read=body.read,
            accepted_age_s=_accepted_age_s(body.accept_age_ms),
            idempotency_key=_idempotency_key(request, kind),
            fingerprint=_fingerprint(statements),
            transaction=TransactionId(transaction) if transaction else None,
        )

    def _timeout_s(self, stated_ms: float | None) -> float:
        if stated_ms is None:
            return self._settings.default_timeout_s
        if not 1 <= stated_ms <= self._settings.max_timeout_s * 1000:
            raise _problem_error(
                f'timeout_ms must be from 1 to {self._settings.max_timeout_s * 1000:.0f}, not {stated_ms}'
            )
        return float(stated_ms) / 1000


def _success_response(kind: RequestKind, answer: Answer) -> web.Response:
    served = {
        'target': answer.target,
        'role': answer.role.value if answer.role else None,
        'term': answer.term,
        'repeat': answer.is_repeat,
    }
    results = [msgspec.Raw(result.body) for result in answer.results]
    if kind is RequestKind.BATCH:
        payload: dict[str, object] = {'results': results, 'served': served}
    elif results:
        payload = {'result': results[0], 'served': served}
    else:
        payload = {'transaction': answer.transaction, 'served': served}
    status = 201 if kind is RequestKind.BEGIN else 200
    return web.Response(body=msgspec.json.encode(payload), content_type='application/json', status=status)


def _problem_response(refusal: Refusal, status: int | None = None) -> web.Response:
    reason = refusal.reason
    payload: dict[str, object] = {
        'type': f'urn:fescuequay:reason:{reason.code}',
        'title': reason.title,
        'status': status or reason.status,
        'detail': refusal.detail,
        'reason': reason.code,
        'verdict': refusal.verdict.value,
        'retryable': reason.retryable and refusal.verdict is Verdict.NOT_RUN,
    }
    headers = {}
    if refusal.retry_after_s is not None:
        payload['retry_after_ms'] = math.ceil(refusal.retry_after_s * 1000)
        headers['Retry-After'] = str(max(math.ceil(refusal.retry_after_s), 1))
    return web.Response(
        body=msgspec.json.encode(payload),
        status=status or reason.status,
        content_type='application/problem+json',
        headers=headers,
    )


def _problem_error(detail: str, status: int | None = None, reason: Reason = verdicts.BAD_REQUEST) -> ProblemError:
    return ProblemError(Refusal(reason, Verdict.NOT_RUN, detail), status)


def _key_digest(request: web.Request) -> Any:
    header = request.headers.get('Authorization')
    if header is None:
        return None
    scheme, _, key = header.partition(' ')
    if scheme.lower() != 'bearer' or not key:
        raise _problem_error('the Authorization header must have the form "Bearer <key>"', 401, verdicts.UNKNOWN_KEY)
    return keys.digest_of(key)


def _idempotency_key(request: web.Request, kind: RequestKind) -> str | None:
    key = request.headers.get(KEY_HEADER)
    if key is None:
        return None
    if kind not in {RequestKind.STATEMENT, RequestKind.BATCH}:
        raise _problem_error(
            'an idempotency key is allowed with a statement or a batch, not with an interactive transaction'
        )
    if not 1 <= len(key) <= _MAX_KEY_CHARS:
        raise _problem_error(f'an idempotency key has 1 to {_MAX_KEY_CHARS} characters')
    return key


def _accepted_age_s(stated_ms: float | None) -> float | None:
    if stated_ms is None:
        return None
    if not 0 <= stated_ms <= 86_400_000:  # noqa: WPS432
        raise _problem_error(f'accept_age_ms must be from 0 to a day, not {stated_ms}')
    return float(stated_ms) / 1000


def _fingerprint(statements: tuple[Statement, ...]) -> str:
    if not statements:
        return ''
    return hashlib.blake2b(msgspec.json.encode(statements), digest_size=16).hexdigest()
