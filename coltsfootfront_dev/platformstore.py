"""Stand-in for the platform's key-value service, with faults that a test switches on."""

import asyncio
import base64
import json
import time
from dataclasses import dataclass
from typing import Any

from aiohttp import web

PAGE_ITEMS = 50
WATCH_POLL_S = 0.01


@dataclass(slots=True)
class Stored:
    """One key."""

    value: bytes
    revision: int
    created: int
    lease: int


@dataclass(slots=True)
class StoreFaults:
    """What goes wrong now.

    :param refuses: every call gets 503 without effect.
    :param loses_writes: writes take effect and get no answer.
    :param deaf: open watches hear nothing until their wait is over.
    """

    refuses: bool = False
    deaf: bool = False
    loses_writes: bool = False


class PlatformStoreStandIn:
    """Keys, leases, conditions and watches over HTTP."""

    def __init__(self) -> None:
        self.faults = StoreFaults()
        self.calls: list[str] = []
        self.address = ""
        self._items: dict[str, Stored] = {}
        self._history: list[dict[str, Any]] = []
        self._kept_after = 0
        self._revision = 1
        self._leases: dict[int, tuple[float, float]] = {}
        self._runner: web.ServerRunner | None = None

    async def start(self, port: int = 0) -> None:
        """Listen on loopback."""
        self._runner = web.ServerRunner(web.Server(self._handle, access_log=None))
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", port)
        await site.start()
        host, found, *_ = self._runner.addresses[0]
        self.address = f"{host}:{found}"

    async def close(self) -> None:
        """Stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write a key as the operator or a target does.

        :returns: the revision of the change.
        """
        self._revision += 1
        before = self._items.get(key)
        created = before.created if before else self._revision
        self._items[key] = Stored(value, self._revision, created, lease)
        self._history.append(self._item(key))
        return self._revision

    def put_json(self, key: str, value: Any) -> int:
        """Write a JSON value."""
        return self.put(key, json.dumps(value).encode())

    def delete(self, key: str) -> None:
        """Remove a key."""
        if self._items.pop(key, None) is not None:
            self._revision += 1
            tombstone = {"key": key, "revision": self._revision, "tombstone": True}
            self._history.append(tombstone)

    def compact(self) -> None:
        """Drop the history."""
        self._history.clear()
        self._kept_after = self._revision

    def expire_leases(self) -> None:
        """Let every lease lapse, as when its holder was paused for long."""
        for lease in list(self._leases):
            self._end_lease(lease)

    def get(self, key: str) -> bytes | None:
        """Value of a key."""
        self._expire()
        found = self._items.get(key)
        return found.value if found else None

    def _item(self, key: str) -> dict[str, Any]:
        found = self._items[key]
        return {
            "key": key,
            "value": base64.b64encode(found.value).decode(),
            "revision": found.revision,
            "create-rev": found.created,
            "lease": found.lease,
        }

    def _expire(self) -> None:
        now_s = time.monotonic()
        for lease in [lease for lease, (end_s, _) in self._leases.items() if end_s < now_s]:
            self._end_lease(lease)

    def _end_lease(self, lease: int) -> bool:
        if self._leases.pop(lease, None) is None:
            return False
        for key in [key for key, item in self._items.items() if item.lease == lease]:
            self.delete(key)
        return True

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        self.calls.append(f"{request.method} {request.path}")
        if self.faults.refuses:
            return web.Response(status=503)
        self._expire()
        name = request.path.split("/")[2]
        answer = await getattr(self, "_" + name.replace("-", "_"))(request)
        if self.faults.loses_writes and request.method != "GET" and request.transport:
            request.transport.abort()
        return answer  # type: ignore[no-any-return]

    async def _kv_key(self, request: web.BaseRequest) -> web.Response:
        key = request.query["key"]
        if key not in self._items:
            return web.json_response({}, status=404)
        return web.json_response(self._item(key) | {"store-revision": self._revision})

    async def _kv_range(self, request: web.BaseRequest) -> web.Response:
        prefix, after = request.query["prefix"], request.query.get("after", "")
        keys = sorted(key for key in self._items if key.startswith(prefix) and key > after)
        items = [self._item(key) for key in keys[:PAGE_ITEMS]]
        more = len(keys) > PAGE_ITEMS
        return web.json_response(
            {"items": items, "has-more": more, "store-revision": self._revision}
        )

    async def _kv_watch(self, request: web.BaseRequest) -> web.Response:
        prefix, after = request.query["prefix"], int(request.query["after"])
        end_s = time.monotonic() + int(request.query["wait-ms"]) / 1000
        while True:
            waits = time.monotonic() < end_s
            if self.faults.deaf and waits:
                await asyncio.sleep(WATCH_POLL_S)
                continue
            if after < self._kept_after:
                return web.json_response({}, status=410)
            self._expire()
            events = [
                item
                for item in self._history
                if item["revision"] > after and item["key"].startswith(prefix)
            ]
            if events or time.monotonic() >= end_s:
                body = {"events": events, "store-revision": self._revision}
                return web.json_response(body)
            await asyncio.sleep(WATCH_POLL_S)

    async def _kv_txn(self, request: web.BaseRequest) -> web.Response:
        body = json.loads(await request.read())
        for row in body.get("expected", []):
            found = self._items.get(row["key"])
            if (found.revision if found else 0) != row["revision"]:
                keys = [item["key"] for item in body["expected"] if item["key"] in self._items]
                return web.json_response({"items": [self._item(key) for key in keys]}, status=412)
        for row in body.get("puts", []):
            if row.get("lease") and row["lease"] not in self._leases:
                return web.json_response({}, status=404)
        for row in body.get("puts", []):
            self.put(row["key"], base64.b64decode(row["value"]), row.get("lease", 0))
        for key in body.get("deletes", []):
            self.delete(key)
        return web.json_response({"revision": self._revision})

    async def _kv_lease(self, request: web.BaseRequest) -> web.Response:
        life_s = json.loads(await request.read())["ttl-ms"] / 1000
        lease = len(self.calls) + 1000
        self._leases[lease] = (time.monotonic() + life_s, life_s)
        return web.json_response({"lease": lease, "ttl-ms": int(life_s * 1000)})

    async def _kv_keep(self, request: web.BaseRequest) -> web.Response:
        lease = int(request.path.rsplit("/", 1)[1])
        if lease not in self._leases:
            return web.json_response({}, status=404)
        life_s = self._leases[lease][1]
        self._leases[lease] = (time.monotonic() + life_s, life_s)
        return web.json_response({"ttl-ms": int(life_s * 1000)})

    async def _kv_lease_end(self, request: web.BaseRequest) -> web.Response:
        ended = self._end_lease(int(request.path.rsplit("/", 1)[1]))
        return web.json_response({}, status=200 if ended else 404)
