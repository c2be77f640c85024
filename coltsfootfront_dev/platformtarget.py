"""Simulated target of the platform: a plain service or a model engine."""

import asyncio
import json
import socket
import struct
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from aiohttp import web

from coltsfootfront_dev.endlessresponse import send_endless_events, send_endless_response

STREAM_EVENT_COUNT = 6
# Time for which a request goes on running that was answered with an earlier rejection.
REPEATED_REFUSAL_RUN_S = 0.2
SIGNATURE_HEADER = "X-Response-Signature"


@dataclass(slots=True)
class Execution:
    """A request that the target has started to execute.

    :param salt: cache salt of the request.
    :param parts: prompt prefix of the request, as a list of parts.
    """

    request_id: str
    customer: str
    version: str
    salt: str
    path: str
    body: bytes
    parts: list[str] = field(default_factory=list)


@dataclass(slots=True)
class TargetFaults:
    """Current faults.

    :param rejects: requests are rejected with 503 and ``X-Not-Executed``.
    :param cuts: the connection is closed within the response.
    :param unframed: the response has neither a length nor chunks, and the connection is reset
        within it.
    :param crosses: responses carry the ID of another request.
    :param hangs: requests are executed but never answered.
    :param pause: value of ``Retry-After`` on rejections; empty for none.
    :param limit: value of ``Server-Limit`` on every response to a request; empty for none.
    :param is_leaving: every response to a request carries ``Server-Leaving``.
    :param repeats: seconds after which a plain response is sent a second time; 0 for never.
    :param repeats_refusals: the first request on a connection is rejected, and each later one runs
        but is answered with that rejection once more.
    :param resumed_status: status with which a stream that is resumed is answered; 0 for none.
    :param unframed_events: a stream has neither a length nor chunks, and ends with its connection
        after so many events, and within one if these are not all; 0 for none.
    :param head_bytes: bytes of a response's head after which the connection is closed; 0 for all.
    :param endless: part of the response that never ends, as a key of
        :data:`coltsfootfront_dev.endlessresponse.ENDLESS_RESPONSES`; empty for none.
    :param floods: streams send valid events as fast as they are read, and never end.
    """

    rejects: bool = False
    cuts: bool = False
    unframed: bool = False
    crosses: bool = False
    hangs: bool = False
    pause: str = ""
    limit: str = ""
    is_leaving: bool = False
    repeats: float = 0.0
    repeats_refusals: bool = False
    resumed_status: int = 0
    unframed_events: int = 0
    head_bytes: int = 0
    floods: bool = False
    endless: str = ""


class PlatformTargetStandIn:
    """HTTP server that executes requests and orders, reports its state and records executions.

    :param name: instance ID of the target.
    :param version: version of its weights; None for a plain service.
    """

    def __init__(self, name: str, service: str, version: int | None = None) -> None:
        self.name = name
        self.service = service
        self.version = version
        self.executions: list[Execution] = []
        self.arrivals: list[tuple[float, str]] = []
        """Monotonic time and ID of each request, rejected ones included."""
        self.orders: list[dict[str, Any]] = []
        self.highest_fencing_token = 0
        self.faults = TargetFaults()
        self.on_loaded: Callable[[PlatformTargetStandIn], None] = lambda target: None
        self.on_crash: Callable[[PlatformTargetStandIn], None] = lambda target: None
        self.deadly_parts: frozenset[str] = frozenset()
        """Prompt parts on which it crashes when it begins to answer; see :meth:`crash`."""
        self.load_header = ""
        """Value of ``X-Server-Load`` on every response to a request; empty for none."""
        self.crashes_before_head = False
        self.deadly_body: bytes | None = None
        """Body of the requests on which it crashes before it answers."""
        self.born = 1
        self.build = "v1"
        """Version of its software."""
        self.is_down = False
        self.event_interval_s = 0.002
        self.event_count = STREAM_EVENT_COUNT
        self.event_data_format = "{number}"
        """Data of an event; may also hold the ``request_id``."""
        self.events_held_until_s = 0.0
        """Monotonic time until which streams send no event."""
        self.execution_time_s = 0.0
        self.cancelled_requests = 0
        self.open_requests = 0
        self._transports: set[asyncio.BaseTransport | None] = set()
        self._refusals: dict[asyncio.BaseTransport, bytes] = {}
        self.address = ""
        self._runner: web.ServerRunner | None = None

    async def start(self) -> None:
        """Start listening on loopback."""
        server = web.Server(
            self._handle, access_log=None, handler_cancellation=True, auto_decompress=False
        )
        self._runner = web.ServerRunner(server)
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", 0).start()
        host, port, *_ = self._runner.addresses[0]
        self.address = f"{host}:{port}"

    async def crash(self) -> None:
        """Reset all connections and stop listening, as a process that ends by itself."""
        self.abort_connections()
        await self.close()
        self._runner = None

    def abort_connections(self) -> None:
        """Reset all connections."""
        for transport in self._transports:
            if isinstance(transport, asyncio.Transport):
                transport.abort()
        self._transports.clear()

    async def close(self) -> None:
        """Stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    def registration(self, state: str = "ready") -> dict[str, Any]:
        """Return the registration that the target writes to the store."""
        registration: dict[str, Any] = {
            "service": self.service,
            "address": self.address,
            "zone": "zone-a",
            "version": self.build,
            "slots": 8,
            "state": state,
            "cold-left-ms": 0,
            "sequence": 1,
            "born": self.born,
        }
        if self.version is not None:
            registration["stage"] = "both"
            registration["models"] = [{"name": "m", "version": self.version, "adapters": []}]
        return registration

    @property
    def connections(self) -> int:
        """Number of connections on which requests have arrived."""
        return len(self._transports)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        self._transports.add(request.transport)
        if request.path == "/v1/order":
            return await self._handle_order(request)
        if request.path == "/v1/report":
            return web.json_response(self._report())
        if request.path == "/v1/kv-events":
            return web.json_response(self._events())
        self.open_requests += 1
        try:
            return await self._execute(request)
        except asyncio.CancelledError:
            self.cancelled_requests += 1
            raise
        finally:
            self.open_requests -= 1

    def _events(self) -> dict[str, Any]:
        """Return an event for each prompt part of past executions; nothing is evicted."""
        events = [
            [number, "+", run.salt, key, 100, "m"]
            for number, (run, key) in enumerate(
                (run, part.partition(":")[0]) for run in self.executions for part in run.parts
            )
        ]
        return {"boot-epoch": 1, "next": len(events), "lost": False, "events": events}

    def _report(self) -> dict[str, Any]:
        models: list[dict[str, Any]] = [{"name": "m", "version": self.version, "adapters": []}]
        accepted = sum(1 for order in self.orders if order["accepted"])
        return {
            "models": models,
            "busy": False,
            "sequence": accepted,
            "queued": 0,
            "running": 0,
        }

    async def _handle_order(self, request: web.BaseRequest) -> web.Response:
        order = json.loads(await request.read())
        accepted = order["fence"] >= self.highest_fencing_token
        self.orders.append(order | {"accepted": accepted})
        if not accepted:
            return web.Response(status=412)
        self.highest_fencing_token = order["fence"]
        self.version = order["version"]
        self.on_loaded(self)
        return web.Response(status=202)

    def _state_headers(self) -> dict[str, str]:
        """Headers with which every response reports the target's state."""
        state = {"Server-Leaving": "1"} if self.faults.is_leaving else {}
        if self.load_header:
            state["X-Server-Load"] = self.load_header
        return state | ({"Server-Limit": self.faults.limit} if self.faults.limit else {})

    def _rejection_response(self, request: web.BaseRequest) -> web.Response | None:
        request_headers = request.headers
        response_headers = {
            "X-Instance-Id": self.name,
            "X-Request-Id": request_headers["X-Request-Id"],
        }
        response_headers |= self._state_headers()
        if request_headers.get("X-Expect-Instance", self.name) != self.name:
            return web.Response(status=421, headers=response_headers)
        expected_version = request_headers.get("X-Expect-Version")
        if expected_version is not None and int(expected_version) != self.version:
            return web.Response(status=421, headers=response_headers)
        is_first = request.transport is not None and request.transport not in self._refusals
        if self.faults.repeats_refusals and is_first:
            response_headers["X-Not-Executed"] = "1"
            head = _encode_head(503, response_headers | {"Content-Length": "0"})
            self._refusals[request.transport] = head  # type: ignore[index]
            return web.Response(status=503, headers=response_headers)
        if self.faults.rejects:
            response_headers["X-Not-Executed"] = "1"
            if self.faults.pause:
                response_headers["Retry-After"] = self.faults.pause
            return web.Response(status=503, headers=response_headers)
        return None

    async def _execute(self, request: web.BaseRequest) -> web.StreamResponse:
        self.arrivals.append((time.monotonic(), request.headers["X-Request-Id"]))
        body = await request.read()
        rejected = self._rejection_response(request)
        if rejected is not None:
            return rejected
        request_headers = request.headers
        request_id = request_headers["X-Request-Id"]
        run = Execution(
            request_id,
            request_headers.get("X-Tenant", ""),
            str(self.version or ""),
            request_headers.get("X-Cache-Salt", ""),
            request.path,
            body,
            [part for part in request_headers.get("X-Prompt-Prefix", "").split(",") if part],
        )
        self.executions.append(run)
        if self.faults.hangs:
            await asyncio.Event().wait()
        await asyncio.sleep(self.execution_time_s)
        if body == self.deadly_body:
            self.on_crash(self)
            await asyncio.Event().wait()
        headers = {"X-Request-Id": request_id, SIGNATURE_HEADER: f"{self.name}.{request_id}"}
        if self.faults.crosses:
            headers["X-Request-Id"] = "another"
        headers |= self._state_headers()
        if self.faults.repeats_refusals and request.transport in self._refusals:
            request.transport.write(self._refusals[request.transport])
            await asyncio.sleep(REPEATED_REFUSAL_RUN_S)
            request.transport.abort()
            return web.Response()
        if self.faults.head_bytes and request.transport is not None:
            head = _encode_head(200, headers | {"Content-Length": "24"})
            request.transport.write(head[: self.faults.head_bytes])
            request.transport.close()
            return web.Response()
        if self.faults.resumed_status and "Last-Event-Id" in request_headers:
            return web.Response(status=self.faults.resumed_status, headers=headers, text="ERROR")
        if self.faults.endless:
            return await send_endless_response(request, headers, self.faults.endless)
        if self.version is None:
            return await self._send_plain_response(request, headers)
        send = send_endless_events if self.faults.floods else self._send_stream
        return await send(request, headers)

    async def _send_plain_response(
        self, request: web.BaseRequest, headers: dict[str, str]
    ) -> web.StreamResponse:
        body = f"{self.name} {headers['X-Request-Id']}".encode()
        if self.faults.unframed and request.transport is not None:
            lines = [f"{name}: {value}" for name, value in headers.items()]
            head = "\r\n".join(["HTTP/1.1 200 OK", *lines, "Connection: close", "", ""])
            request.transport.write(head.encode() + body[:4])
            await asyncio.sleep(0.02)
            # With a linger time of zero, closing the socket sends a reset.
            linger = struct.pack("ii", 1, 0)
            connection_socket = request.transport.get_extra_info("socket")
            connection_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            request.transport.abort()
            return web.Response()
        response = web.StreamResponse(headers=headers)
        response.content_length = len(body)
        await response.prepare(request)
        if self.faults.cuts and request.transport is not None:
            await response.write(body[:4])
            request.transport.close()
            return response
        await response.write(body)
        await response.write_eof()
        if self.faults.repeats and request.transport is not None:
            lines = [f"{name}: {value}" for name, value in headers.items()]
            head = "\r\n".join(["HTTP/1.1 200 OK", *lines, f"Content-Length: {len(body)}", "", ""])
            asyncio.get_running_loop().call_later(
                self.faults.repeats, request.transport.write, head.encode() + body
            )
        return response

    async def _send_stream(
        self, request: web.BaseRequest, headers: dict[str, str]
    ) -> web.StreamResponse:
        parts = request.headers.get("X-Prompt-Prefix", "").split(",")
        is_deadly = not self.deadly_parts.isdisjoint(part.partition(":")[0] for part in parts)
        if is_deadly and self.crashes_before_head:
            self.on_crash(self)
            await asyncio.Event().wait()
        count = self.faults.unframed_events
        if count and request.transport is not None:
            request.transport.write(_encode_head(200, headers | {"Connection": "close"}))
            events = "".join(f"id: {number}\ndata: {number}\n\n" for number in range(count))
            rest = "" if count >= STREAM_EVENT_COUNT else f"id: {count}\nda"
            request.transport.write((events + rest).encode())
            request.transport.close()
            return web.Response()
        response = web.StreamResponse(headers=headers)
        response.content_type = "text/event-stream"
        response.enable_chunked_encoding()
        response.headers["X-Weight-Versions"] = str(self.version)
        await response.prepare(request)
        if is_deadly:
            self.on_crash(self)
            await asyncio.Event().wait()
        begin = int(request.headers.get("Last-Event-Id", "-1")) + 1
        for number in range(begin, self.event_count):
            held_s = self.events_held_until_s - time.monotonic()
            await asyncio.sleep(max(self.event_interval_s, held_s))
            data = self.event_data_format.format(
                number=number, request_id=request.headers["X-Request-Id"]
            )
            await response.write(f"id: {number}\ndata: {data}\n\n".encode())
            if self.faults.cuts and number == begin + 1 and request.transport is not None:
                await response.write(b"id: 99\nda")
                request.transport.abort()
                return response
        await response.write_eof()
        return response


def _encode_head(status: int, headers: dict[str, str]) -> bytes:
    """Encode the head of a response that is written to the transport directly."""
    lines = [f"HTTP/1.1 {status} X", *(f"{name}: {value}" for name, value in headers.items())]
    return "\r\n".join([*lines, "", ""]).encode()
