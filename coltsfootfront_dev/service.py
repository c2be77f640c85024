"""Simulated plain HTTP service that records the calls it executes.

Run as ``python -m coltsfootfront_dev.service --address 127.0.0.1:0 --name trials``.
"""

import asyncio
import hashlib
from dataclasses import asdict, dataclass
from typing import Annotated

import cappa
from aiohttp import web

from coltsfootfront_dev.standin import RefusedError, StandIn, serve


@dataclass
class Options:
    """Simulated plain HTTP service."""

    address: Annotated[str, cappa.Arg(long=True, help="host:port to listen on")] = "127.0.0.1:0"
    name: Annotated[str, cappa.Arg(long=True, help="service name in response bodies")] = "service"


@dataclass(slots=True)
class Execution:
    """One executed call."""

    number: int
    request_id: str
    method: str
    path: str
    idempotency_key: str
    body_sha256: str


@dataclass(slots=True)
class ServiceFaults:
    """Faults that ``POST /control`` sets.

    :param delay_before_s: delay before execution in seconds.
    :param delay_after_s: delay between execution and response in seconds.
    :param cut_before: number of coming calls whose connection is aborted before execution.
    :param cut_after: number of coming calls whose connection is aborted after execution.
    :param cut_body: number of coming calls whose connection is closed within the response body.
    :param status: HTTP status sent instead of execution; 0 for no fault.
    :param unhealthy: whether the health check fails.
    :param padding_bytes: size of the padding in each response body.
    :param chunked: whether responses use chunked encoding instead of ``Content-Length``.
    """

    delay_before_s: float = 0.0
    delay_after_s: float = 0.0
    cut_before: int = 0
    cut_after: int = 0
    cut_body: int = 0
    status: int = 0
    unhealthy: bool = False
    padding_bytes: int = 0
    chunked: bool = False


@dataclass(slots=True)
class ServiceCounters:
    """Number of calls received and executed."""

    requests: int = 0
    executed: int = 0


class ServiceStandIn(StandIn):
    """Executes calls of any path and method, and returns what it recorded of them.

    :param options: options of the command line.
    """

    def __init__(self, options: Options) -> None:
        self.faults = ServiceFaults()
        self.counters = ServiceCounters()
        self.executions: list[Execution] = []
        super().__init__(self.faults, self.counters)
        self._name = options.name

    def routes(self) -> list[web.RouteDef]:
        return [
            web.get("/control/executions", self._handle_executions),
            web.get("/healthz", self._handle_health),
            web.route("*", "/{path:.*}", self._handle_call),
        ]

    async def _handle_executions(self, request: web.Request) -> web.Response:
        return web.json_response([asdict(execution) for execution in self.executions])

    async def _handle_health(self, request: web.Request) -> web.Response:
        return web.Response(status=503 if self.faults.unhealthy else 200)

    async def _handle_call(self, request: web.Request) -> web.StreamResponse:
        self.counters.requests += 1
        body = await request.read()
        await asyncio.sleep(self.faults.delay_before_s)
        if self._consume_fault("cut_before"):
            return _abort_connection(request)
        if self.faults.status:
            raise RefusedError(self.faults.status, "target_failed", "fault is switched on")
        execution = self._execute(request, body)
        await asyncio.sleep(self.faults.delay_after_s)
        if self._consume_fault("cut_after"):
            return _abort_connection(request)
        answer = {"service": self._name, **asdict(execution)}
        if self.faults.padding_bytes:
            answer["padding"] = "x" * self.faults.padding_bytes
        response = web.json_response(answer)
        if self.faults.chunked:
            response.enable_chunked_encoding()
        if self._consume_fault("cut_body"):
            return await _close_within_body(request, response, self.faults.chunked)
        return response

    def _execute(self, request: web.Request, body: bytes) -> Execution:
        self.counters.executed += 1
        execution = Execution(
            self.counters.executed,
            request.headers.get("X-Request-Id", ""),
            request.method,
            request.path_qs,
            request.headers.get("Idempotency-Key", ""),
            hashlib.sha256(body).hexdigest(),
        )
        self.executions.append(execution)
        return execution

    def _consume_fault(self, fault: str) -> bool:
        remaining: int = getattr(self.faults, fault)
        if remaining > 0:
            setattr(self.faults, fault, remaining - 1)
        return remaining > 0


def _abort_connection(request: web.Request) -> web.Response:
    if request.transport is not None:
        request.transport.abort()
    return web.Response()


async def _close_within_body(
    request: web.Request, complete: web.Response, chunked: bool
) -> web.StreamResponse:
    assert isinstance(complete.body, bytes)
    partial = web.StreamResponse()
    if not chunked:
        partial.content_length = len(complete.body)
    await partial.prepare(request)
    await partial.write(complete.body[: len(complete.body) // 2])
    if request.transport is not None:
        request.transport.close()
    return partial


def main() -> None:
    """Run the simulated service until SIGTERM."""
    options = cappa.parse(Options)
    serve(ServiceStandIn(options), "service", options.address)


if __name__ == "__main__":
    main()
