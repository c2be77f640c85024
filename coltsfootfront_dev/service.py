"""Stand-in for a plain service that records what it executes.

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
    """Stand-in for a plain service."""

    address: Annotated[str, cappa.Arg(long=True, help="host:port to listen on")] = "127.0.0.1:0"
    name: Annotated[str, cappa.Arg(long=True, help="name in answers")] = "service"


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
    """Faults that ``POST /control`` switches; counts go down to zero.

    :param delay_before_s: seconds before executing.
    :param delay_after_s: seconds between executing and answering.
    :param cut_before: calls whose connection is cut before executing.
    :param cut_after: calls whose connection is cut after executing.
    :param cut_body: calls whose connection is cut within the answer's body.
    :param status: status answered instead of executing; 0 for none.
    :param unhealthy: whether the health check fails.
    :param padding_bytes: bytes added to each answer.
    :param chunked: whether answers announce no length.
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
    """Calls received and executed."""

    requests: int = 0
    executed: int = 0


class ServiceStandIn(StandIn):
    """A plain service; any path is executed and echoed.

    :param options: as on the command line.
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
        if self._take("cut_before"):
            return _cut(request)
        if self.faults.status:
            raise RefusedError(self.faults.status, "target_failed", "fault is switched on")
        execution = self._execute(request, body)
        await asyncio.sleep(self.faults.delay_after_s)
        if self._take("cut_after"):
            return _cut(request)
        answer = {"service": self._name, **asdict(execution)}
        if self.faults.padding_bytes:
            answer["padding"] = "x" * self.faults.padding_bytes
        response = web.json_response(answer)
        if self.faults.chunked:
            response.enable_chunked_encoding()
        if self._take("cut_body"):
            return await _cut_within(request, response, self.faults.chunked)
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

    def _take(self, fault: str) -> bool:
        left: int = getattr(self.faults, fault)
        if left > 0:
            setattr(self.faults, fault, left - 1)
        return left > 0


def _cut(request: web.Request) -> web.Response:
    if request.transport is not None:
        request.transport.abort()
    return web.Response()


async def _cut_within(
    request: web.Request, whole: web.Response, chunked: bool
) -> web.StreamResponse:
    assert isinstance(whole.body, bytes)
    partial = web.StreamResponse()
    if not chunked:
        partial.content_length = len(whole.body)
    await partial.prepare(request)
    await partial.write(whole.body[: len(whole.body) // 2])
    if request.transport is not None:
        request.transport.close()
    return partial


def main() -> None:
    """Run the stand-in as a program."""
    options = cappa.parse(Options)
    serve(ServiceStandIn(options), "service", options.address)


if __name__ == "__main__":
    main()
