"""Stand-in for a target of the platform: a plain service or a model engine."""

import asyncio
import json
import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from aiohttp import web

from coltsfootfront_dev.endless import send_endless

EVENTS = 6
SIGNATURE = "X-Response-Signature"


@dataclass(slots=True)
class Run:
    """One request that began to run.

    :param salt: cache salt that the request carried.
    :param parts: parts of its prompt.
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
    """What goes wrong now.

    :param rejects: requests are rejected as not executed.
    :param cuts: the connection closes within the answer.
    :param unframed: the answer has no length, and its connection is reset within it.
    :param crosses: answers carry the id of another request.
    :param hangs: requests run and get no answer.
    :param pause: value of ``Retry-After`` on rejections, empty for none.
    :param is_leaving: every answer says that the target leaves.
    :param repeats: a second copy of a plain answer follows after this many seconds, 0 for none.
    :param endless: where bytes come without end; see :mod:`coltsfootfront_dev.endless`.
    """

    rejects: bool = False
    cuts: bool = False
    unframed: bool = False
    crosses: bool = False
    hangs: bool = False
    pause: str = ""
    is_leaving: bool = False
    repeats: float = 0.0
    endless: str = ""


class PlatformTargetStandIn:
    """Answers requests, orders and questions for its state, and counts runs.

    :param name: identifies this start of the target.
    :param version: version of its weights; None for a plain service.
    """

    def __init__(self, name: str, service: str, version: int | None = None) -> None:
        self.name = name
        self.service = service
        self.version = version
        self.runs: list[Run] = []
        self.orders: list[dict[str, Any]] = []
        self.highest_fence = 0
        self.faults = TargetFaults()
        self.on_loaded: Callable[[PlatformTargetStandIn], None] = lambda target: None
        self.event_interval_s = 0.002
        self.work_s = 0.0
        self.cancelled = 0
        self.open_requests = 0
        self._transports: set[asyncio.BaseTransport | None] = set()
        self.address = ""
        self._runner: web.ServerRunner | None = None

    async def start(self) -> None:
        """Listen on loopback."""
        server = web.Server(self._handle, access_log=None, handler_cancellation=True)
        self._runner = web.ServerRunner(server)
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", 0).start()
        host, port, *_ = self._runner.addresses[0]
        self.address = f"{host}:{port}"

    async def close(self) -> None:
        """Stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    def entry(self, state: str = "ready") -> dict[str, Any]:
        """What the target says of itself in the store."""
        found: dict[str, Any] = {
            "service": self.service,
            "address": self.address,
            "zone": "zone-a",
            "version": "v1",
            "slots": 8,
            "state": state,
            "cold-left-ms": 0,
            "sequence": 1,
            "born": 1,
        }
        if self.version is not None:
            found["stage"] = "both"
            found["models"] = [{"name": "m", "version": self.version, "adapters": []}]
        return found

    @property
    def connections(self) -> int:
        """Connections on which requests have come."""
        return len(self._transports)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        self._transports.add(request.transport)
        if request.path == "/v1/order":
            return await self._order(request)
        if request.path == "/v1/report":
            return web.json_response(self._report())
        if request.path == "/v1/kv-events":
            return web.json_response(self._events())
        self.open_requests += 1
        try:
            return await self._run(request)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        finally:
            self.open_requests -= 1

    def _events(self) -> dict[str, Any]:
        """Parts that its runs have read; it evicts none."""
        events = [
            [number, "+", run.salt, key, 100, "m"]
            for number, (run, key) in enumerate(
                (run, part.partition(":")[0]) for run in self.runs for part in run.parts
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

    async def _order(self, request: web.BaseRequest) -> web.Response:
        order = json.loads(await request.read())
        accepted = order["fence"] >= self.highest_fence
        self.orders.append(order | {"accepted": accepted})
        if not accepted:
            return web.Response(status=412)
        self.highest_fence = order["fence"]
        self.version = order["version"]
        self.on_loaded(self)
        return web.Response(status=202)

    def _rejection(self, request: web.BaseRequest) -> web.Response | None:
        found = request.headers
        own = {"X-Instance-Id": self.name, "X-Request-Id": found["X-Request-Id"]}
        if self.faults.is_leaving:
            own["Server-Leaving"] = "1"
        if found.get("X-Expect-Instance", self.name) != self.name:
            return web.Response(status=421, headers=own)
        expected = found.get("X-Expect-Version")
        if expected is not None and int(expected) != self.version:
            return web.Response(status=421, headers=own)
        if self.faults.rejects:
            own["X-Not-Executed"] = "1"
            if self.faults.pause:
                own["Retry-After"] = self.faults.pause
            return web.Response(status=503, headers=own)
        return None

    async def _run(self, request: web.BaseRequest) -> web.StreamResponse:
        body = await request.read()
        rejected = self._rejection(request)
        if rejected is not None:
            return rejected
        found = request.headers
        request_id = found["X-Request-Id"]
        run = Run(
            request_id,
            found.get("X-Tenant", ""),
            str(self.version or ""),
            found.get("X-Cache-Salt", ""),
            request.path,
            body,
            [part for part in found.get("X-Prompt-Prefix", "").split(",") if part],
        )
        self.runs.append(run)
        if self.faults.hangs:
            await asyncio.Event().wait()
        await asyncio.sleep(self.work_s)
        headers = {"X-Request-Id": request_id, SIGNATURE: f"{self.name}.{request_id}"}
        if self.faults.crosses:
            headers["X-Request-Id"] = "another"
        if self.faults.is_leaving:
            headers["Server-Leaving"] = "1"
        if self.faults.endless:
            return await send_endless(request, headers, self.faults.endless)
        if self.version is None:
            return await self._plain(request, headers)
        return await self._stream(request, headers)

    async def _plain(self, request: web.BaseRequest, headers: dict[str, str]) -> web.StreamResponse:
        body = f"{self.name} {headers['X-Request-Id']}".encode()
        if self.faults.unframed and request.transport is not None:
            lines = [f"{name}: {value}" for name, value in headers.items()]
            head = "\r\n".join(["HTTP/1.1 200 OK", *lines, "Connection: close", "", ""])
            request.transport.write(head.encode() + body[:4])
            await asyncio.sleep(0.02)
            # With a linger time of zero the connection ends with a reset.
            linger = struct.pack("ii", 1, 0)
            found = request.transport.get_extra_info("socket")
            found.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
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

    async def _stream(
        self, request: web.BaseRequest, headers: dict[str, str]
    ) -> web.StreamResponse:
        response = web.StreamResponse(headers=headers)
        response.content_type = "text/event-stream"
        response.enable_chunked_encoding()
        response.headers["X-Weight-Versions"] = str(self.version)
        await response.prepare(request)
        begin = int(request.headers.get("Last-Event-Id", "-1")) + 1
        for number in range(begin, EVENTS):
            await asyncio.sleep(self.event_interval_s)
            await response.write(f"id: {number}\ndata: {number}\n\n".encode())
            if self.faults.cuts and number == begin + 1 and request.transport is not None:
                await response.write(b"id: 99\nda")
                request.transport.abort()
                return response
        await response.write_eof()
        return response
