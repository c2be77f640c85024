"""In-memory key-value store that implements a subset of the etcd v3 JSON gateway.

``POST /control`` sets fields of :class:`Faults`, and ``GET /control/counters`` returns the number
of calls by path and of open watches.
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
LEASE_CHECK_INTERVAL_S = 0.05


@dataclass
class Faults:
    """Current faults.

    :param outage: whether the connection of every call is aborted without effect.
    :param delay_s: delay before a call takes effect in seconds.
    :param lose_answers: number of coming writes that take effect, but whose connection is aborted
        before the response.
    :param rate_limit_per_s: calls per second above which calls are refused; None for no limit.
    :param stale_reads: whether range calls outside transactions return the value before the last
        change.
    :param silent_watches: whether open watches drop all events.
    """

    outage: bool = False
    delay_s: float = 0.0
    lose_answers: int = 0
    rate_limit_per_s: int | None = None
    stale_reads: bool = False
    silent_watches: bool = False


@dataclass
class StoredKey:
    """Value and metadata of a key.

    :param value: value in base64.
    :param lease: ID of the lease that the key is attached to; 0 for none.
    """

    value: str
    create_revision: int
    mod_revision: int
    version: int
    lease: int


class KeySpace:
    """Keys, leases and watches; keys are stored base64-decoded, values encoded."""

    def __init__(self) -> None:
        self.revision = 1
        self.current: dict[bytes, StoredKey] = {}
        self.previous: dict[bytes, StoredKey | None] = {}
        self.leases: dict[int, tuple[int, float]] = {}
        self.watches: set[Watch] = set()
        self._lease_ids = itertools.count(7000)
        self._sorted_keys: list[bytes] = []

    def put(self, key: bytes, value: str, lease: int) -> None:
        """Write a key at the current revision, which the transaction has incremented."""
        old = self.current.get(key)
        created = old.create_revision if old else self.revision
        version = old.version + 1 if old else 1
        self.previous[key] = old
        if old is None:
            bisect.insort(self._sorted_keys, key)
        self.current[key] = StoredKey(value, created, self.revision, version, lease)
        self._notify(key, {"kv": self.encode(key, self.current[key])})

    def delete(self, key: bytes) -> None:
        """Remove a key, if it exists, at the current revision."""
        old = self.current.pop(key, None)
        if old is None:
            return
        self._sorted_keys.remove(key)
        self.previous[key] = old
        kv = {"key": base64.b64encode(key).decode(), "mod_revision": str(self.revision)}
        self._notify(key, {"type": "DELETE", "kv": kv})

    def keys_in_range(self, key: bytes, end: bytes) -> list[bytes]:
        """Return the existing keys of a range, as etcd's ``key`` and ``range_end`` define it."""
        if not end:
            return [key] if key in self.current else []
        start_index = bisect.bisect_left(self._sorted_keys, key)
        end_index = (
            len(self._sorted_keys) if end == b"\0" else bisect.bisect_left(self._sorted_keys, end)
        )
        return self._sorted_keys[start_index:end_index]

    def encode(self, key: bytes, stored: StoredKey) -> Json:
        """Encode a key and its value in the JSON form of the gateway."""
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

    def grant_lease(self, ttl_s: int) -> int:
        """Create a lease and return its ID."""
        number = next(self._lease_ids)
        self.leases[number] = (ttl_s, time.monotonic() + ttl_s)
        return number

    def revoke_lease(self, lease: int) -> None:
        """Revoke a lease and remove the keys attached to it."""
        self.leases.pop(lease, None)
        attached_keys = [key for key, stored in self.current.items() if stored.lease == lease]
        if attached_keys:
            self.revision += 1
        for key in attached_keys:
            self.delete(key)

    def expire_leases(self, expire_all: bool = False) -> None:
        """Revoke leases whose time to live has passed, or all of them."""
        now_s = time.monotonic()
        for lease, (_, deadline_s) in list(self.leases.items()):
            if expire_all or deadline_s <= now_s:
                self.revoke_lease(lease)

    def _notify(self, key: bytes, event: Json) -> None:
        for watch in self.watches:
            watch.notify(key, event, self.revision)


class Watch:
    """An open watch on a key range.

    ``queue`` holds the messages to send; None ends the watch.
    """

    def __init__(self, key: bytes, end: bytes) -> None:
        self._key = key
        self._end = end
        self.queue: asyncio.Queue[Json | None] = asyncio.Queue()

    def notify(self, key: bytes, event: Json, revision: int) -> None:
        """Queue an event if its key is in the watched range."""
        watched = key == self._key if not self._end else self._key <= key < self._end
        if watched:
            result = {"header": {"revision": str(revision)}, "events": [event]}
            self.queue.put_nowait({"result": result})


class GatewayError(Exception):
    """A call that the gateway refuses."""

    def __init__(self, status: int, code: int, message: str) -> None:
        super().__init__(message)
        self.status = status
        self.body = {"code": code, "message": message}


class EtcdStandIn(Server):
    """HTTP server of the simulated store."""

    def __init__(self) -> None:
        self.faults = Faults()
        self.keys = KeySpace()
        self.counters: Counter[str] = Counter()
        self._runner: web.AppRunner | None = None
        self._expiry_task: asyncio.Task[None] | None = None
        self._rate_window_s = 0
        self._calls_in_window = 0
        self._methods = {
            "/v3/kv/range": (self._range, False),
            "/v3/kv/txn": (self._txn, True),
            "/v3/lease/grant": (self._grant, True),
            "/v3/lease/keepalive": (self._keep_alive, True),
            "/v3/lease/revoke": (self._revoke, True),
        }

    async def start(self, address: str) -> str:
        """Start listening.

        :returns: bound address as ``host:port``.
        """
        app = web.Application(client_max_size=MAX_BODY_BYTES)
        app.router.add_post("/control", self._handle_control)
        app.router.add_get("/control/counters", self._handle_counters)
        app.router.add_post("/v3/watch", self._handle_watch)
        for path in self._methods:
            app.router.add_post(path, self._handle_call)
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.5)
        await self._runner.setup()
        host, _, port = address.rpartition(":")
        site = web.TCPSite(self._runner, host, int(port))
        await site.start()
        self._expiry_task = asyncio.create_task(self._expire_leases())
        bound = self._runner.addresses[0]
        return f"{bound[0]}:{bound[1]}"

    async def close(self) -> None:
        """Stop listening; the keys are kept."""
        if self._expiry_task is not None:
            self._expiry_task.cancel()
        self.close_watches()
        if self._runner is not None:
            await self._runner.cleanup()

    def close_watches(self) -> None:
        """Close every open watch."""
        for watch in self.keys.watches:
            watch.queue.put_nowait(None)

    def control(self, settings: Json) -> None:
        """Set faults, close watches or expire leases.

        :raises ValueError: if a field is unknown.
        """
        settings = dict(settings)
        if settings.pop("close_watches", False):
            self.close_watches()
        if settings.pop("expire_leases", False):
            self.keys.expire_leases(expire_all=True)
        known_fields = {item.name for item in fields(Faults)}
        unknown_fields = sorted(set(settings) - known_fields)
        if unknown_fields:
            raise ValueError(f"unknown fields: {', '.join(unknown_fields)}")
        for name, value in settings.items():
            setattr(self.faults, name, value)

    async def _expire_leases(self) -> None:
        while True:
            await asyncio.sleep(LEASE_CHECK_INTERVAL_S)
            self.keys.expire_leases()

    async def _handle_control(self, request: web.Request) -> web.Response:
        try:
            self.control(await request.json())
        except ValueError as error:
            return web.json_response({"message": str(error)}, status=400)
        return web.json_response({})

    async def _handle_counters(self, request: web.Request) -> web.Response:
        return web.json_response({"calls": dict(self.counters), "watches": len(self.keys.watches)})

    async def _handle_call(self, request: web.Request) -> web.Response:
        method, writes = self._methods[request.path]
        try:
            # The body is read before the delay, so that a delayed call takes effect even if its
            # client has disconnected.
            body = await request.json()
            refusal = await self._admit_call(request)
            if refusal is not None:
                return refusal
            self.keys.expire_leases()
            answer = method(body)
        except GatewayError as error:
            return web.json_response(error.body, status=error.status)
        except (ValueError, KeyError, TypeError) as error:
            return web.json_response({"code": 3, "message": repr(error)}, status=400)
        if writes and _has_writes(request.path, body) and self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            return _abort_connection(request)
        return web.json_response(answer)

    async def _admit_call(self, request: web.Request) -> web.Response | None:
        self.counters[request.path] += 1
        if self.faults.outage:
            return _abort_connection(request)
        if self.faults.delay_s:
            await asyncio.sleep(self.faults.delay_s)
            if self.faults.outage:
                return _abort_connection(request)
        if self._exceeds_rate():
            body = {"code": 8, "message": "etcdserver: too many requests"}
            return web.json_response(body, status=429)
        return None

    def _exceeds_rate(self) -> bool:
        window_s = int(time.monotonic())
        if window_s != self._rate_window_s:
            self._rate_window_s = window_s
            self._calls_in_window = 0
        self._calls_in_window += 1
        limit = self.faults.rate_limit_per_s
        return limit is not None and self._calls_in_window > limit

    def _header(self) -> Json:
        return {"header": {"revision": str(self.keys.revision)}}

    def _range(self, body: Json) -> Json:
        return {**self._header(), **self._read(body, self.faults.stale_reads)}

    def _read(self, body: Json, stale: bool) -> Json:
        key, end = _key(body), _end(body)
        kvs = []
        for found_key in self.keys.keys_in_range(key, end):
            stored: StoredKey | None = self.keys.current[found_key]
            if stale:
                stored = self.keys.previous.get(found_key)
            if stored is not None:
                kvs.append(self.keys.encode(found_key, stored))
        return {"kvs": kvs, "count": str(len(kvs))} if kvs else {}

    def _txn(self, body: Json) -> Json:
        succeeded = all(self._compare_holds(compare) for compare in body.get("compare", []))
        operations = body.get("success" if succeeded else "failure", [])
        self._check_puts(operations)
        if any("request_range" not in operation for operation in operations):
            self.keys.revision += 1
        responses = [self._apply_operation(operation) for operation in operations]
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

    def _compare_holds(self, compare: Json) -> bool:
        if compare.get("target") != "MOD" or compare.get("result", "EQUAL") != "EQUAL":
            raise ValueError("only MOD EQUAL is supported")
        stored = self.keys.current.get(_key(compare))
        return (stored.mod_revision if stored else 0) == int(compare.get("mod_revision", 0))

    def _apply_operation(self, operation: Json) -> Json:
        if "request_put" in operation:
            put = operation["request_put"]
            self.keys.put(_key(put), put.get("value", ""), int(put.get("lease", 0)))
            return {"response_put": self._header()}
        if "request_delete_range" in operation:
            body = operation["request_delete_range"]
            found = self.keys.keys_in_range(_key(body), _end(body))
            for key in list(found):
                self.keys.delete(key)
            return {"response_delete_range": {"deleted": str(len(found))}}
        return {"response_range": self._read(operation["request_range"], False)}

    def _grant(self, body: Json) -> Json:
        ttl_s = int(body["TTL"])
        return {**self._header(), "ID": str(self.keys.grant_lease(ttl_s)), "TTL": str(ttl_s)}

    def _keep_alive(self, body: Json) -> Json:
        lease = int(body["ID"])
        result = {**self._header(), "ID": str(lease)}
        granted = self.keys.leases.get(lease)
        if granted is not None:
            ttl_s = granted[0]
            self.keys.leases[lease] = (ttl_s, time.monotonic() + ttl_s)
            result["TTL"] = str(ttl_s)
        return {"result": result}

    def _revoke(self, body: Json) -> Json:
        lease = int(body["ID"])
        if lease not in self.keys.leases:
            raise GatewayError(404, 5, "etcdserver: requested lease not found")
        self.keys.revoke_lease(lease)
        return self._header()

    async def _handle_watch(self, request: web.Request) -> web.StreamResponse:
        refusal = await self._admit_call(request)
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


def _abort_connection(request: web.Request) -> web.Response:
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
    """Simulated key-value store with an etcd JSON gateway."""

    address: str = "127.0.0.1:0"


def main() -> None:
    """Run the simulated store until SIGTERM."""
    arguments = cappa.parse(Arguments)
    serve(EtcdStandIn(), "store", arguments.address)


if __name__ == "__main__":
    main()
