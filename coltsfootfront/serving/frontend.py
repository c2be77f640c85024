"""HTTP handlers for callers."""

import asyncio
import hashlib
import secrets
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import cast

import logbook
from aiohttp import web
from returns.result import Failure as Failed

from coltsfootfront.calls import modelbody, servicepath
from coltsfootfront.calls.headers import REQUEST_ID_HEADER
from coltsfootfront.calls.callerrequest import KIND_CHAT, KIND_COMPLETION, KIND_SERVICE, CallerRequest
from coltsfootfront.common import metrics
from coltsfootfront.common.clock import Clock
from coltsfootfront.common.errors import ErrorKind, Failure, FailureError, ExecutionState
from coltsfootfront.common.logs import event
from coltsfootfront.common.settings import RouterSettings
from coltsfootfront.configuration.document import KIND_SERVICE as SERVICE_OF_DOCUMENT
from coltsfootfront.configuration.document import Document
from coltsfootfront.configuration.activeconfiguration import ActiveConfiguration
from coltsfootfront.serving.authentication import authenticate
from coltsfootfront.serving.responsewriters import (
    CollectCaller,
    EventCaller,
    RawCaller,
    forwarded_headers,
)
from coltsfootfront.serving.dispatch import Dispatcher
from coltsfootfront.serving.httpserver import error_response
from coltsfootfront.serving.ratelimit import RateLimiter
from coltsfootfront.serving.responses import CallerGoneError, ModelFormat

log = logbook.Logger(__name__)

REQUEST_ID_BYTES = 12
MAX_IDEMPOTENCY_KEY_CHARACTERS = 255
IDEMPOTENCY_HEADER = "Idempotency-Key"
TIMEOUT_HEADER = "X-Request-Timeout"

Respond = Callable[[web.BaseRequest, "Context"], Awaitable[web.StreamResponse]]


@dataclass(slots=True)
class Context:
    """What is known of one request while it is handled.

    :param outcome: label of the request counter.
    """

    request_id: str
    customer: str = ""
    outcome: str = ""


@dataclass(frozen=True, slots=True)
class _Route:
    methods: frozenset[str]
    respond: Respond


class Frontend:
    """Answers callers.

    :param settings: limits.
    :param revision: configuration in force.
    :param dispatcher: executes requests.
    :param limiter: request rates of customers.
    :param clock: time source.
    :param settle: returns when this process may serve, after a pause too.
    :param unready_reason: returns why this process takes no new work, or an empty string.
    """

    def __init__(
        self,
        settings: RouterSettings,
        revision: ActiveConfiguration,
        dispatcher: Dispatcher,
        limiter: RateLimiter,
        clock: Clock,
        settle: Callable[[], Awaitable[None]],
        unready_reason: Callable[[], str],
    ) -> None:
        self._settings = settings
        self._revision = revision
        self._dispatcher = dispatcher
        self._limiter = limiter
        self._clock = clock
        self._settle = settle
        self._unready_reason = unready_reason
        self.in_progress = 0
        self.is_draining = False
        get, post = frozenset({"GET", "HEAD"}), frozenset({"POST"})
        self._routes = {
            "/healthz": _Route(get, self._health),
            "/readyz": _Route(get, self._ready),
            "/metrics": _Route(get, self._metrics),
            "/v1/models": _Route(get, self._models),
            "/v1/completions": _Route(post, self._completions),
            "/v1/chat/completions": _Route(post, self._chat),
        }

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request; every failure has the one JSON shape."""
        context = Context(secrets.token_hex(REQUEST_ID_BYTES))
        response = await self._answer(request, context)
        if not response.prepared:
            response.headers[REQUEST_ID_HEADER] = context.request_id
            if self.is_draining:
                response.force_close()
        if context.customer:
            outcome = context.outcome or "completed"
            metrics.REQUESTS.inc({"customer": context.customer, "outcome": outcome})
        return response

    async def _answer(self, request: web.BaseRequest, context: Context) -> web.StreamResponse:
        try:
            self._check_headers(request)
            return await self._route(request).respond(request, context)
        except FailureError as error:
            return self._refuse(error.failure, context)
        except CallerGoneError as error:
            context.outcome = "caller_gone"
            log.info(self._event("caller_gone", context, reason=error))
            return _closed(request)
        except asyncio.CancelledError:
            if context.customer:
                outcome = {"customer": context.customer, "outcome": "caller_gone"}
                metrics.REQUESTS.inc(outcome)
            raise
        except Exception as error:
            log.error(self._event("request_failed", context, reason=repr(error)))
            failure = Failure(ErrorKind.INTERNAL, "internal error", ExecutionState.UNKNOWN)
            return self._refuse(failure, context)

    def _check_headers(self, request: web.BaseRequest) -> None:
        limit = self._settings.max_header_bytes
        if sum(len(name) + len(value) for name, value in request.raw_headers) > limit:
            raise modelbody.bad_request_error(f"headers exceed {limit} bytes in all")

    def _route(self, request: web.BaseRequest) -> _Route:
        path = request.raw_path.partition("?")[0]
        route = self._routes.get(path)
        if path.startswith(servicepath.PREFIX):
            route = _Route(servicepath.METHODS, self._service)
        if route is None:
            raise FailureError(Failure(ErrorKind.NOT_FOUND, "this path does not exist"))
        if request.method not in route.methods:
            raise FailureError(Failure(ErrorKind.METHOD_NOT_ALLOWED, "method is not allowed here"))
        return route

    def _refuse(self, failure: Failure, context: Context) -> web.Response:
        self._note_failure(failure, context)
        return error_response(failure, context.request_id)

    def _note_failure(self, failure: Failure, context: Context) -> None:
        context.outcome = failure.kind.value
        metrics.count_refusal(failure.kind.value)
        log.info(
            self._event(
                "request_refused",
                context,
                kind=failure.kind.value,
                run=failure.execution_state.value,
                reason=failure.message,
            )
        )

    def _event(self, name: str, context: Context, **fields: object) -> str:
        return event(
            name,
            request_id=context.request_id,
            customer=context.customer or None,
            revision=self._revision.number,
            **fields,
        )

    async def _health(self, request: web.BaseRequest, context: Context) -> web.StreamResponse:
        return web.json_response({"status": "ok"})

    async def _ready(self, request: web.BaseRequest, context: Context) -> web.StreamResponse:
        reason = self._unready_reason()
        body = {"status": reason or "ready", "revision": self._revision.number}
        return web.json_response(body, status=503 if reason else 200)

    async def _metrics(self, request: web.BaseRequest, context: Context) -> web.StreamResponse:
        return await metrics.handle_metrics(cast(web.Request, request))

    async def _models(self, request: web.BaseRequest, context: Context) -> web.StreamResponse:
        document = self._revision.document
        context.customer = self._authenticated(request, document)
        names = document.models_for(context.customer)
        data = [{"id": name, "object": "model", "created": 0, "owned_by": ""} for name in names]
        return web.json_response({"object": "list", "data": data})

    async def _completions(self, request: web.BaseRequest, context: Context) -> web.StreamResponse:
        return await self._model(request, context, False)

    async def _chat(self, request: web.BaseRequest, context: Context) -> web.StreamResponse:
        return await self._model(request, context, True)

    async def _model(
        self, request: web.BaseRequest, context: Context, chat: bool
    ) -> web.StreamResponse:
        document = await self._admit(request, context)
        self.in_progress += 1
        try:
            deadline = self._deadline(request)
            data = await self._read_body(request)
            body = modelbody.parse(data, chat, document)
            job = _model_job(context, body, data, chat, deadline)
            created_s = int(self._clock.unix_s())
            model_format = ModelFormat(context.request_id, created_s, body.name, chat)
            if body.stream:
                return await self._stream(request, context, job, model_format, body.include_usage)
            return await self._collect(context, job, model_format)
        finally:
            self.in_progress -= 1

    async def _collect(
        self, context: Context, job: CallerRequest, model_format: ModelFormat
    ) -> web.StreamResponse:
        caller = CollectCaller()
        outcome = await self._dispatcher.execute(job, caller)
        if isinstance(outcome, Failed):
            return self._refuse(outcome.failure(), context)
        return web.json_response(model_format.whole(caller.text, outcome.unwrap()))

    async def _stream(
        self,
        request: web.BaseRequest,
        context: Context,
        job: CallerRequest,
        model_format: ModelFormat,
        include_usage: bool,
    ) -> web.StreamResponse:
        caller = EventCaller(
            request, context.request_id, self._settings.write_timeout_s, model_format
        )
        try:
            outcome = await self._dispatcher.execute(job, caller)
        except BaseException:
            caller.cut_if_started()
            raise
        if isinstance(outcome, Failed):
            if caller.response is None:
                return self._refuse(outcome.failure(), context)
            self._note_failure(outcome.failure(), context)
            await caller.fail(outcome.failure())
            return caller.response
        assert caller.response is not None
        await caller.finish(outcome.unwrap(), include_usage)
        return caller.response

    async def _service(self, request: web.BaseRequest, context: Context) -> web.StreamResponse:
        document = await self._admit(request, context)
        self.in_progress += 1
        try:
            job = await self._service_job(request, context, document)
            caller = RawCaller(request, context.request_id, self._settings.write_timeout_s)
            try:
                outcome = await self._dispatcher.execute(job, caller)
            except BaseException:
                caller.cut_if_started()
                raise
            if not isinstance(outcome, Failed):
                assert caller.response is not None
                caller.finish()
                return caller.response
            if caller.response is None:
                return self._refuse(_invitation(job, outcome.failure()), context)
            self._note_failure(outcome.failure(), context)
            caller.cut()
            return caller.response
        finally:
            self.in_progress -= 1

    async def _service_job(
        self, request: web.BaseRequest, context: Context, document: Document
    ) -> CallerRequest:
        deadline = self._deadline(request)
        name, path = servicepath.split_service_path(request.raw_path)
        service = document.services.get(name)
        if service is None or service.kind != SERVICE_OF_DOCUMENT:
            raise FailureError(Failure(ErrorKind.NOT_FOUND, "this service does not exist"))
        is_idempotent = servicepath.is_idempotent(request.method, path, service)
        key = request.headers.get(IDEMPOTENCY_HEADER, "")
        if len(key) > MAX_IDEMPOTENCY_KEY_CHARACTERS or not key.isascii():
            raise modelbody.bad_request_error(f"{IDEMPOTENCY_HEADER}: at most 255 ASCII characters")
        if not all(value.isascii() for value in request.headers.values()):
            raise modelbody.bad_request_error("headers: only ASCII is allowed")
        body = await self._read_body(request)
        key_hash = hashlib.sha256(key.encode()).hexdigest() if key and not is_idempotent else ""
        return CallerRequest(
            context.request_id,
            context.customer,
            KIND_SERVICE,
            deadline,
            body,
            service=name,
            method=request.method,
            path=path,
            headers=forwarded_headers(request.headers.items()),
            idempotent=is_idempotent,
            idempotency_key=key_hash,
        )

    async def _admit(self, request: web.BaseRequest, context: Context) -> Document:
        """Authenticate and apply the limits of this router before the body is read."""
        await self._settle()
        document = self._revision.document
        context.customer = self._authenticated(request, document)
        if self.in_progress >= self._settings.max_requests:
            raise FailureError(Failure(ErrorKind.OVERLOADED, "too many requests in progress"))
        rate = document.customers[context.customer].requests_per_s
        wait_s = self._limiter.try_acquire(context.customer, rate)
        if wait_s is not None:
            message = "request rate of the customer is exceeded"
            raise FailureError(
                Failure(ErrorKind.RATE_LIMITED, message, retry_after_s=max(wait_s, 0.001))
            )
        return document

    def _authenticated(self, request: web.BaseRequest, document: Document) -> str:
        if not self._revision.number:
            raise FailureError(Failure(ErrorKind.NO_TARGET, "no configuration is in force yet"))
        result = authenticate(request.headers.get("Authorization"), document)
        if isinstance(result, Failed):
            raise FailureError(result.failure())
        return result.unwrap()

    def _deadline(self, request: web.BaseRequest) -> float:
        """Wall-clock time by which a request must have started."""
        limit_s = self._settings.request_timeout_s
        text = request.headers.get(TIMEOUT_HEADER)
        if text is not None:
            try:
                wanted_s = float(text)
            except ValueError as error:
                raise modelbody.bad_request_error(f"{TIMEOUT_HEADER}: seconds are required") from error
            if not wanted_s > 0:
                raise modelbody.bad_request_error(f"{TIMEOUT_HEADER}: a positive number is required")
            limit_s = min(limit_s, wanted_s)
        return self._clock.unix_s() + limit_s

    async def _read_body(self, request: web.BaseRequest) -> bytes:
        limit = self._settings.max_body_bytes
        if request.content_length is not None and request.content_length > limit:
            raise _too_large(limit)
        expects = request.headers.get("Expect", "").lower()
        if expects == "100-continue" and request.transport is not None:
            request.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        try:
            async with asyncio.timeout(self._settings.body_timeout_s):
                return await request.read()
        except web.HTTPRequestEntityTooLarge as error:
            raise _too_large(limit) from error
        except TimeoutError as error:
            raise modelbody.bad_request_error("body was not received in time") from error
        except (web.RequestPayloadError, ValueError) as error:
            raise modelbody.bad_request_error("body cannot be read") from error


def _model_job(
    context: Context, body: modelbody.ModelBody, data: bytes, chat: bool, deadline: float
) -> CallerRequest:
    kind = KIND_CHAT if chat else KIND_COMPLETION
    return CallerRequest(
        context.request_id,
        context.customer,
        kind,
        deadline,
        data,
        model=body.model,
        adapter=body.adapter,
        prompt=body.prompt,
    )


def _too_large(limit: int) -> FailureError:
    return FailureError(Failure(ErrorKind.BODY_TOO_LARGE, f"body exceeds {limit} bytes"))


def _closed(request: web.BaseRequest) -> web.Response:
    """A response for a connection that is closed; no byte of it is written."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=499)


def _invitation(job: CallerRequest, failure: Failure) -> Failure:
    """Take back the invitation to repeat a call that may have run and must not run twice.

    With an idempotency key a repeat is safe: it gets the kept outcome or is refused.
    """
    may_have_run = failure.execution_state is not ExecutionState.NOT_RUN
    if may_have_run and not job.idempotent and not job.idempotency_key:
        return failure.without_retry()
    return failure
