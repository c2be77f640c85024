"""HTTP handlers for callers' requests."""

import asyncio
import hashlib
import secrets
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import cast

import logbook
from aiohttp import HttpVersion11, web
from returns.result import Failure as Failed

from coltsfootfront.calls import modelbody, servicepath
from coltsfootfront.calls.callerrequest import (
    KIND_CHAT,
    KIND_COMPLETION,
    KIND_SERVICE,
    CallerRequest,
)
from coltsfootfront.calls.headers import REQUEST_ID_HEADER
from coltsfootfront.common import metrics
from coltsfootfront.common.clock import Clock
from coltsfootfront.common.errors import ErrorKind, ExecutionState, Failure, FailureError
from coltsfootfront.common.logs import event
from coltsfootfront.common.settings import RouterSettings
from coltsfootfront.configuration.activeconfiguration import ActiveConfiguration
from coltsfootfront.configuration.document import KIND_SERVICE as DOCUMENT_KIND_SERVICE
from coltsfootfront.configuration.document import Document
from coltsfootfront.serving.authentication import authenticate
from coltsfootfront.serving.dispatch import Dispatcher
from coltsfootfront.serving.httpserver import error_response
from coltsfootfront.serving.ratelimit import RateLimiter
from coltsfootfront.serving.responses import CallerDisconnectedError, ModelResponseFormat
from coltsfootfront.serving.responsewriters import (
    BufferedResponseWriter,
    ServiceResponseWriter,
    SseResponseWriter,
    forwarded_headers,
)

log = logbook.Logger(__name__)

REQUEST_ID_BYTES = 12
MAX_IDEMPOTENCY_KEY_CHARACTERS = 255
IDEMPOTENCY_HEADER = "Idempotency-Key"
TIMEOUT_HEADER = "X-Request-Timeout"

RouteHandler = Callable[[web.BaseRequest, "RequestContext"], Awaitable[web.StreamResponse]]


@dataclass(slots=True)
class RequestContext:
    """State of one HTTP request while it is handled.

    :param customer: authenticated customer; empty before authentication.
    :param outcome: ``outcome`` label of the request counter; empty for a completed request.
    """

    request_id: str
    customer: str = ""
    outcome: str = ""


@dataclass(frozen=True, slots=True)
class _Route:
    methods: frozenset[str]
    handler: RouteHandler


class Frontend:
    """Handles callers' HTTP requests.

    :param settings: limits and timeouts.
    :param configuration: active configuration.
    :param dispatcher: executes requests.
    :param limiter: limits the request rate of each customer.
    :param clock: time source.
    :param wait_until_current: returns when the configuration has been rechecked after a pause of
        this process; returns at once if there was none.
    :param unready_reason: returns why this process accepts no new requests, or an empty string.
    """

    def __init__(
        self,
        settings: RouterSettings,
        configuration: ActiveConfiguration,
        dispatcher: Dispatcher,
        limiter: RateLimiter,
        clock: Clock,
        wait_until_current: Callable[[], Awaitable[None]],
        unready_reason: Callable[[], str],
    ) -> None:
        self._settings = settings
        self._configuration = configuration
        self._dispatcher = dispatcher
        self._limiter = limiter
        self._clock = clock
        self._wait_until_current = wait_until_current
        self._unready_reason = unready_reason
        self.in_progress = 0
        self.is_draining = False
        get_methods, post_methods = frozenset({"GET", "HEAD"}), frozenset({"POST"})
        self._routes = {
            "/healthz": _Route(get_methods, self._health),
            "/readyz": _Route(get_methods, self._ready),
            "/metrics": _Route(get_methods, self._metrics),
            "/v1/models": _Route(get_methods, self._models),
            "/v1/completions": _Route(post_methods, self._completions),
            "/v1/chat/completions": _Route(post_methods, self._chat),
        }

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handle one request; every failure is reported in the common JSON format."""
        context = RequestContext(secrets.token_hex(REQUEST_ID_BYTES))
        response = await self._respond(request, context)
        if not response.prepared:
            response.headers[REQUEST_ID_HEADER] = context.request_id
            if self.is_draining:
                response.force_close()
        if context.customer:
            outcome = context.outcome or "completed"
            metrics.REQUESTS.inc({"customer": context.customer, "outcome": outcome})
        return response

    async def _respond(
        self, request: web.BaseRequest, context: RequestContext
    ) -> web.StreamResponse:
        try:
            self._check_headers(request)
            return await self._route(request).handler(request, context)
        except FailureError as error:
            return self._failure_response(error.failure, context)
        except CallerDisconnectedError as error:
            context.outcome = "caller_gone"
            log.info(self._event("caller_gone", context, reason=error))
            return _abort_connection(request)
        except asyncio.CancelledError:
            if context.customer:
                outcome = {"customer": context.customer, "outcome": "caller_gone"}
                metrics.REQUESTS.inc(outcome)
            raise
        except Exception as error:
            log.error(self._event("request_failed", context, reason=repr(error)))
            failure = Failure(ErrorKind.INTERNAL, "internal error", ExecutionState.UNKNOWN)
            return self._failure_response(failure, context)

    def _check_headers(self, request: web.BaseRequest) -> None:
        limit = self._settings.max_header_bytes
        if sum(len(name) + len(value) for name, value in request.raw_headers) > limit:
            raise modelbody.bad_request_error(f"headers exceed {limit} bytes in all")

    def _route(self, request: web.BaseRequest) -> _Route:
        path = request.raw_path.partition("?")[0]
        route = self._routes.get(path)
        if path.startswith(servicepath.PREFIX):
            route = _Route(servicepath.METHODS, self._handle_service_request)
        if route is None:
            raise FailureError(Failure(ErrorKind.NOT_FOUND, "this path does not exist"))
        if request.method not in route.methods:
            raise FailureError(Failure(ErrorKind.METHOD_NOT_ALLOWED, "method is not allowed here"))
        return route

    def _failure_response(self, failure: Failure, context: RequestContext) -> web.Response:
        self._record_failure(failure, context)
        return error_response(failure, context.request_id)

    def _record_failure(self, failure: Failure, context: RequestContext) -> None:
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

    def _event(self, name: str, context: RequestContext, **fields: object) -> str:
        return event(
            name,
            request_id=context.request_id,
            customer=context.customer or None,
            revision=self._configuration.number,
            **fields,
        )

    async def _health(
        self, request: web.BaseRequest, context: RequestContext
    ) -> web.StreamResponse:
        return web.json_response({"status": "ok"})

    async def _ready(self, request: web.BaseRequest, context: RequestContext) -> web.StreamResponse:
        reason = self._unready_reason()
        body = {"status": reason or "ready", "revision": self._configuration.number}
        return web.json_response(body, status=503 if reason else 200)

    async def _metrics(
        self, request: web.BaseRequest, context: RequestContext
    ) -> web.StreamResponse:
        return await metrics.handle_metrics(cast(web.Request, request))

    async def _models(
        self, request: web.BaseRequest, context: RequestContext
    ) -> web.StreamResponse:
        document = self._configuration.document
        context.customer = self._authenticated_customer(request, document)
        names = document.models_for(context.customer)
        data = [{"id": name, "object": "model", "created": 0, "owned_by": ""} for name in names]
        return web.json_response({"object": "list", "data": data})

    async def _completions(
        self, request: web.BaseRequest, context: RequestContext
    ) -> web.StreamResponse:
        return await self._handle_model_request(request, context, False)

    async def _chat(self, request: web.BaseRequest, context: RequestContext) -> web.StreamResponse:
        return await self._handle_model_request(request, context, True)

    async def _handle_model_request(
        self, request: web.BaseRequest, context: RequestContext, chat: bool
    ) -> web.StreamResponse:
        document = await self._admit(request, context)
        self.in_progress += 1
        try:
            deadline_unix_s = self._deadline_unix_s(request)
            data = await self._read_body(request)
            body = modelbody.parse(data, chat, document)
            caller_request = _build_model_request(context, body, data, chat, deadline_unix_s)
            created_s = int(self._clock.unix_s())
            response_format = ModelResponseFormat(context.request_id, created_s, body.name, chat)
            if body.stream:
                return await self._respond_streaming(
                    request, context, caller_request, response_format, body.include_usage
                )
            return await self._respond_buffered(context, caller_request, response_format)
        finally:
            self.in_progress -= 1

    async def _respond_buffered(
        self,
        context: RequestContext,
        caller_request: CallerRequest,
        response_format: ModelResponseFormat,
    ) -> web.StreamResponse:
        writer = BufferedResponseWriter()
        outcome = await self._dispatcher.execute(caller_request, writer)
        if isinstance(outcome, Failed):
            return self._failure_response(outcome.failure(), context)
        return web.json_response(response_format.response_body(writer.text, outcome.unwrap()))

    async def _respond_streaming(
        self,
        request: web.BaseRequest,
        context: RequestContext,
        caller_request: CallerRequest,
        response_format: ModelResponseFormat,
        include_usage: bool,
    ) -> web.StreamResponse:
        writer = SseResponseWriter(
            request, context.request_id, self._settings.write_timeout_s, response_format
        )
        try:
            outcome = await self._dispatcher.execute(caller_request, writer)
            if isinstance(outcome, Failed):
                if writer.response is None:
                    return self._failure_response(outcome.failure(), context)
                self._record_failure(outcome.failure(), context)
                await writer.fail(outcome.failure())
                return writer.response
            assert writer.response is not None
            await writer.finish(outcome.unwrap(), include_usage)
            return writer.response
        except BaseException:
            # An error response must not follow within the response that has begun.
            writer.abort_if_started()
            raise

    async def _handle_service_request(
        self, request: web.BaseRequest, context: RequestContext
    ) -> web.StreamResponse:
        document = await self._admit(request, context)
        self.in_progress += 1
        try:
            caller_request = await self._build_service_request(request, context, document)
            writer = ServiceResponseWriter(
                request, context.request_id, self._settings.write_timeout_s
            )
            try:
                outcome = await self._dispatcher.execute(caller_request, writer)
                if not isinstance(outcome, Failed):
                    assert writer.response is not None
                    writer.finish()
                    return writer.response
                if writer.response is None:
                    return self._failure_response(
                        _without_unsafe_retry(caller_request, outcome.failure()), context
                    )
                self._record_failure(outcome.failure(), context)
                writer.abort()
                return writer.response
            except BaseException:
                writer.abort_if_started()
                raise
        finally:
            self.in_progress -= 1

    async def _build_service_request(
        self, request: web.BaseRequest, context: RequestContext, document: Document
    ) -> CallerRequest:
        deadline_unix_s = self._deadline_unix_s(request)
        name, path = servicepath.split_service_path(request.raw_path)
        service = document.services.get(name)
        if service is None or service.kind != DOCUMENT_KIND_SERVICE:
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
            deadline_unix_s,
            body,
            service=name,
            method=request.method,
            path=path,
            headers=forwarded_headers(request.headers.items()),
            idempotent=is_idempotent,
            idempotency_key=key_hash,
        )

    async def _admit(self, request: web.BaseRequest, context: RequestContext) -> Document:
        """Authenticate the caller and apply this router's limits before the body is read."""
        await self._wait_until_current()
        document = self._configuration.document
        context.customer = self._authenticated_customer(request, document)
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

    def _authenticated_customer(self, request: web.BaseRequest, document: Document) -> str:
        if not self._configuration.number:
            raise FailureError(Failure(ErrorKind.NO_TARGET, "no configuration is in force yet"))
        result = authenticate(request.headers.get("Authorization"), document)
        if isinstance(result, Failed):
            raise FailureError(result.failure())
        return result.unwrap()

    def _deadline_unix_s(self, request: web.BaseRequest) -> float:
        """Wall-clock time by which the request must have started."""
        limit_s = self._settings.request_timeout_s
        text = request.headers.get(TIMEOUT_HEADER)
        if text is not None:
            try:
                requested_s = float(text)
            except ValueError as error:
                raise modelbody.bad_request_error(
                    f"{TIMEOUT_HEADER}: seconds are required"
                ) from error
            if not requested_s > 0:
                raise modelbody.bad_request_error(
                    f"{TIMEOUT_HEADER}: a positive number is required"
                )
            limit_s = min(limit_s, requested_s)
        return self._clock.unix_s() + limit_s

    async def _read_body(self, request: web.BaseRequest) -> bytes:
        limit = self._settings.max_body_bytes
        if request.content_length is not None and request.content_length > limit:
            raise _body_too_large(limit)
        expects = request.headers.get("Expect", "").lower()
        # HTTP/1.0 has no interim responses (RFC 9110, section 10.1.1).
        may_continue = expects == "100-continue" and request.version >= HttpVersion11
        if may_continue and request.transport is not None:
            request.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        try:
            async with asyncio.timeout(self._settings.body_timeout_s):
                return await request.read()
        except web.HTTPRequestEntityTooLarge as error:
            raise _body_too_large(limit) from error
        except TimeoutError as error:
            raise modelbody.bad_request_error("body was not received in time") from error
        except (web.RequestPayloadError, ValueError) as error:
            raise modelbody.bad_request_error("body cannot be read") from error


def _build_model_request(
    context: RequestContext,
    body: modelbody.ModelBody,
    data: bytes,
    chat: bool,
    deadline_unix_s: float,
) -> CallerRequest:
    kind = KIND_CHAT if chat else KIND_COMPLETION
    return CallerRequest(
        context.request_id,
        context.customer,
        kind,
        deadline_unix_s,
        data,
        model=body.model,
        adapter=body.adapter,
        prompt=body.prompt,
    )


def _body_too_large(limit: int) -> FailureError:
    return FailureError(Failure(ErrorKind.BODY_TOO_LARGE, f"body exceeds {limit} bytes"))


def _abort_connection(request: web.BaseRequest) -> web.Response:
    """Abort the connection and return a placeholder response, which is never written."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=499)


def _without_unsafe_retry(caller_request: CallerRequest, failure: Failure) -> Failure:
    """Remove ``Retry-After`` if a request may have run and must not run twice.

    With an idempotency key a retry is safe: it gets the stored outcome or is refused.
    """
    may_have_run = failure.execution_state is not ExecutionState.NOT_RUN
    if may_have_run and not caller_request.idempotent and not caller_request.idempotency_key:
        return failure.without_retry()
    return failure
