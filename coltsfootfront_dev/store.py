"""Stand-in of the platform's key-value service: a subset of the etcd v3 JSON gateway in memory.

``POST /control`` sets fields of :class:`Faults`, ``GET /control/counters`` reads the number of
calls by path.
"""

import asyncio
import base64
import bisect
import itertools
import json
import time
from collections import Counter
from dataclasses import dataclass, fields
from typing import Any

import cappa
from aiohttp import web

from coltsfootfront_dev.standin import Server, serve

Json = dict[str, Any]

MAX_VALUE_BYTES = 1024 * 1024
MAX_BODY_BYTES = 4 * 1024 * 1024
LEASE_CHECK_S = 0.05


@dataclass
class Faults:
    """Faults that are switched on.

    :param outage: every call is cut off without effect.
    :param delay_s: seconds before a call takes effect.
    :param lose_answers: number of coming writes that take effect and get no answer.
    :param rate_limit_per_s: calls beyond this number in a second are refused; None for no limit.
    :param stale_reads: reads return the value before the current one.
    :param silent_watches: open watches deliver nothing.
    """

    outage: bool = False
    delay_s: float = 0.0
    lose_answers: int = 0
    rate_limit_per_s: int | None = None
    stale_reads: bool = False
    silent_watches: bool = False


@dataclass
class Stored:
    """One key as the store keeps it."""

    value: str
    create_revision: int
    mod_revision: int
    version: int
    lease: int


class Keys:
    """Keys, leases and watches; keys are kept in their base64-decoded form."""

    def __init__(self) -> None:
        self.revision = 1
        self.current: dict[bytes, Stored] = {}
        self.previous: dict[bytes, Stored | None] = {}
        self.leases: dict[int, tuple[int, float]] = {}
        self.watches: set[Watch] = set()
        self._lease_numbers = itertools.count(7000)
        self._order: list[bytes] = []

    def put(self, key: bytes, value: str, lease: int) -> None:
        """Write a key at the revision already reserved for this transaction."""
        old = self.current.get(key)
        created = old.create_revision if old else self.revision
        version = old.version + 1 if old else 1
        self.previous[key] = old
        if old is None:
            bisect.insort(self._order, key)
        self.current[key] = Stored(value, created, self.revision, version, lease)
        self._notify(key, {"kv": self.render(key, self.current[key])})

    def delete(self, key: bytes) -> None:
        """Remove a key."""
        old = self.current.pop(key, None)
        if old is None:
            return
        self._order.remove(key)
        self.previous[key] = old
        kv = {"key": base64.b64encode(key).decode(), "mod_revision": str(self.revision)}
        self._notify(key, {"type": "DELETE", "kv": kv})

    def find(self, key: bytes, end: bytes) -> list[bytes]:
        """Existing keys in a range."""
        if not end:
            return [key] if key in self.current else []
        start = bisect.bisect_left(self._order, key)
        stop = len(self._order) if end == b"\0" else bisect.bisect_left(self._order, end)
        return self._order[start:stop]

    def render(self, key: bytes, stored: Stored) -> Json:
        """Encode one key as the gateway does."""
        kv = {
            "key": base64.b64encode(key).decode(),
            "create_revision": str(stored.create_revision),
            "mod_revision": str(stored.mod_revision),
            "version": str(stored.version),
            "value": stored.value,
        }
        if stored.lease:
            kv["lease"] = str(stored.lease)
        return kv

    def grant(self, life_s: int) -> int:
        """Create a lease."""
        number = next(self._lease_numbers)
        self.leases[number] = (life_s, time.monotonic() + life_s)
        return number

    def revoke(self, lease: int) -> None:
        """End a lease and remove its keys."""
        self.leases.pop(lease, None)
        bound = [key for key, stored in self.current.items() if stored.lease == lease]
        if bound:
            self.revision += 1
        for key in bound:
            self.delete(key)

    def expire(self, everything: bool = False) -> None:
        """End leases whose time has passed, or all of them."""
        now_s = time.monotonic()
        for lease, (_, deadline_s) in list(self.leases.items()):
            if everything or deadline_s <= now_s:
                self.revoke(lease)

    def _notify(self, key: bytes, item: Json) -> None:
        for watch in self.watches:
            watch.offer(key, item, self.revision)


class Watch:
    """One open watch."""

    def __init__(self, key: bytes, end: bytes) -> None:
        self._key = key
        self._end = end
        self.queue: asyncio.Queue[Json | None] = asyncio.Queue()

    def offer(self, key: bytes, item: Json, revision: int) -> None:
        """Queue an event if its key is watched."""
        watched = key == self._key if not self._end else self._key <= key < self._end
        if watched:
            result = {"header": {"revision": str(revision)}, "events": [item]}
            self.queue.put_nowait({"result": result})


class GatewayError(Exception):
    """A call that the gateway refuses."""

    def __init__(self, status: int, code: int, message: str) -> None:
        super().__init__(message)
        self.status = status
        self.body = {"code": code, "message": message}


class StoreStandIn(Server):
    """HTTP server of the stand-in."""

    def __init__(self) -> None:
        self.faults = Faults()
        self.keys = Keys()
        self.counters: Counter[str] = Counter()
        self._runner: web.AppRunner | None = None
        self._expiry: asyncio.Task[None] | None = None
        self._second = 0
        self._calls_this_second = 0
        self._calls = {
            "/v3/kv/range": (self._range, False),
            "/v3/kv/txn": (self._txn, True),
            "/v3/lease/grant": (self._grant, True),
            "/v3/lease/keepalive": (self._keep_alive, True),
            "/v3/lease/revoke": (self._revoke, True),
        }

    async def start(self, address: str) -> str:
        """Start to listen.

        :returns: address in use as ``host:port``.
        """
        app = web.Application(client_max_size=MAX_BODY_BYTES)
        app.router.add_post("/control", self._handle_control)
        app.router.add_get("/control/counters", self._handle_counters)
        app.router.add_post("/v3/watch", self._handle_watch)
        for path in self._calls:
            app.router.add_post(path, self._handle_call)
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.5)
        await self._runner.setup()
        host, _, port = address.rpartition(":")
        site = web.TCPSite(self._runner, host, int(port))
        await site.start()
        self._expiry = asyncio.create_task(self._expire_leases())
        name = self._runner.addresses[0]
        return f"{name[0]}:{name[1]}"

    async def close(self) -> None:
        """Stop to listen; the keys stay."""
        if self._expiry is not None:
            self._expiry.cancel()
        self.close_watches()
        if self._runner is not None:
            await self._runner.cleanup()

    def close_watches(self) -> None:
        """End every open watch."""
        for watch in self.keys.watches:
            watch.queue.put_nowait(None)

    def control(self, settings: Json) -> None:
        """Switch faults on or off.

        :raises ValueError: an unknown field.
        """
        settings = dict(settings)
        if settings.pop("close_watches", False):
            self.close_watches()
        if settings.pop("expire_leases", False):
            self.keys.expire(everything=True)
        known = {item.name for item in fields(Faults)}
        unknown = sorted(set(settings) - known)
        if unknown:
            raise ValueError(f"unknown fields: {', '.join(unknown)}")
        for name, value in settings.items():
            setattr(self.faults, name, value)

    async def _expire_leases(self) -> None:
        while True:
            await asyncio.sleep(LEASE_CHECK_S)
            self.keys.expire()

    async def _handle_control(self, request: web.Request) -> web.Response:
        try:
            self.control(await request.json())
        except ValueError as error:
            return web.json_response({"message": str(error)}, status=400)
        return web.json_response({})

    async def _handle_counters(self, request: web.Request) -> web.Response:
        return web.json_response({"calls": dict(self.counters), "watches": len(self.keys.watches)})

    async def _handle_call(self, request: web.Request) -> web.Response:
        call, writes = self._calls[request.path]
        try:
            # Read first: a delayed call takes effect although its caller gave up meanwhile.
            body = await request.json()
            refusal = await self._admit(request)
            if refusal is not None:
                return refusal
            self.keys.expire()
            answer = call(body)
        except GatewayError as error:
            return web.json_response(error.body, status=error.status)
        except (ValueError, KeyError, TypeError) as error:
            return web.json_response({"code": 3, "message": repr(error)}, status=400)
        if writes and _has_writes(request.path, body) and self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            return _cut(request)
        return web.json_response(answer)

    async def _admit(self, request: web.Request) -> web.Response | None:
        self.counters[request.path] += 1
        if self.faults.outage:
            return _cut(request)
        if self.faults.delay_s:
            await asyncio.sleep(self.faults.delay_s)
            if self.faults.outage:
                return _cut(request)
        if self._exceeds_rate():
            body = {"code": 8, "message": "etcdserver: too many requests"}
            return web.json_response(body, status=429)
        return None

    def _exceeds_rate(self) -> bool:
        second = int(time.monotonic())
        if second != self._second:
            self._second = second
            self._calls_this_second = 0
        self._calls_this_second += 1
        limit = self.faults.rate_limit_per_s
        return limit is not None and self._calls_this_second > limit

    def _header(self) -> Json:
        return {"header": {"revision": str(self.keys.revision)}}

    def _range(self, body: Json) -> Json:
        return {**self._header(), **self._read(body, self.faults.stale_reads)}

    def _read(self, body: Json, stale: bool) -> Json:
        key, end = _key(body), _end(body)
        kvs = []
        for found in self.keys.find(key, end):
            stored: Stored | None = self.keys.current[found]
            if stale:
                stored = self.keys.previous.get(found)
            if stored is not None:
                kvs.append(self.keys.render(found, stored))
        return {"kvs": kvs, "count": str(len(kvs))} if kvs else {}

    def _txn(self, body: Json) -> Json:
        succeeded = all(self._holds(compare) for compare in body.get("compare", []))
        operations = body.get("success" if succeeded else "failure", [])
        self._check_puts(operations)
        if any("request_range" not in operation for operation in operations):
            self.keys.revision += 1
        responses = [self._operate(operation) for operation in operations]
        answer = {**self._header(), "responses": responses}
        return {**answer, "succeeded": True} if succeeded else answer

    def _check_puts(self, operations: list[Json]) -> None:
        for operation in operations:
            put = operation.get("request_put", {})
            if len(put.get("value", "")) * 3 // 4 > MAX_VALUE_BYTES:
                raise GatewayError(400, 3, "etcdserver: request is too large")
            lease = int(put.get("lease", 0))
            if lease and lease not in self.keys.leases:
                raise GatewayError(404, 5, "etcdserver: requested lease not found")

    def _holds(self, compare: Json) -> bool:
        if compare.get("target") != "MOD" or compare.get("result", "EQUAL") != "EQUAL":
            raise ValueError("only MOD EQUAL is supported")
        stored = self.keys.current.get(_key(compare))
        return (stored.mod_revision if stored else 0) == int(compare.get("mod_revision", 0))

    def _operate(self, operation: Json) -> Json:
        if "request_put" in operation:
            put = operation["request_put"]
            self.keys.put(_key(put), put.get("value", ""), int(put.get("lease", 0)))
            return {"response_put": self._header()}
        if "request_delete_range" in operation:
            body = operation["request_delete_range"]
            found = self.keys.find(_key(body), _end(body))
            for key in list(found):
                self.keys.delete(key)
            return {"response_delete_range": {"deleted": str(len(found))}}
        return {"response_range": self._read(operation["request_range"], False)}

    def _grant(self, body: Json) -> Json:
        life_s = int(body["TTL"])
        return {**self._header(), "ID": str(self.keys.grant(life_s)), "TTL": str(life_s)}

    def _keep_alive(self, body: Json) -> Json:
        lease = int(body["ID"])
        result = {**self._header(), "ID": str(lease)}
        known = self.keys.leases.get(lease)
        if known is not None:
            life_s = known[0]
            self.keys.leases[lease] = (life_s, time.monotonic() + life_s)
            result["TTL"] = str(life_s)
        return {"result": result}

    def _revoke(self, body: Json) -> Json:
        lease = int(body["ID"])
        if lease not in self.keys.leases:
            raise GatewayError(404, 5, "etcdserver: requested lease not found")
        self.keys.revoke(lease)
        return self._header()

    async def _handle_watch(self, request: web.Request) -> web.StreamResponse:
        refusal = await self._admit(request)
        if refusal is not None:
            return refusal
        create = (await request.json())["create_request"]
        watch = Watch(_key(create), _end(create))
        response = web.StreamResponse()
        await response.prepare(request)
        self.keys.watches.add(watch)
        try:
            await _write_line(response, {"result": {**self._header(), "created": True}})
            while (message := await watch.queue.get()) is not None:
                if not self.faults.silent_watches:
                    await _write_line(response, message)
        except ConnectionError:
            pass
        finally:
            self.keys.watches.discard(watch)
        return response


def _has_writes(path: str, body: Json) -> bool:
    if path != "/v3/kv/txn":
        return True
    return bool(body.get("success"))


def _cut(request: web.Request) -> web.Response:
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=503)


async def _write_line(response: web.StreamResponse, message: Json) -> None:
    await response.write(json.dumps(message).encode() + b"\n")


def _key(body: Json) -> bytes:
    return base64.b64decode(body["key"])


def _end(body: Json) -> bytes:
    return base64.b64decode(body.get("range_end", ""))


@cappa.command(name="coltsfootfront_dev.store", default_long=True)
@dataclass
class Arguments:
    """Stand-in of the platform's key-value service."""

    address: str = "127.0.0.1:0"


def main() -> None:
    """Run the stand-in until SIGTERM."""
    arguments = cappa.parse(Arguments)
    serve(StoreStandIn(), "store", arguments.address)


if __name__ == "__main__":
    main()
