"""In-memory simulation of the platform's key-value store, with fault injection for tests."""

import asyncio
import base64
import copy
import json
import time
from dataclasses import dataclass
from typing import Any

from aiohttp import web

ITEMS_PER_PAGE = 50
WATCH_POLL_INTERVAL_S = 0.01
ERA_HEADER = "Store-Era"


@dataclass(slots=True)
class StoredKey:
    """Value and metadata of a key.

    :param revision: revision of the last write.
    :param created: revision that created the key.
    :param lease: ID of the lease that the key is attached to; 0 for none.
    """

    value: bytes
    revision: int
    created: int
    lease: int


@dataclass(slots=True)
class StoreCheckpoint:
    """Copy of the store's state."""

    items: dict[str, StoredKey]
    history: list[dict[str, Any]]
    revision: int
    leases: dict[int, tuple[float, float]]


@dataclass(slots=True)
class StoreFaults:
    """Current faults.

    :param refuses: every call is answered with 503, without effect.
    :param loses_writes: writes take effect, but their connection is aborted before the response.
    :param deaf: watches return no event before their wait time has passed.
    """

    refuses: bool = False
    deaf: bool = False
    loses_writes: bool = False


class PlatformStoreStandIn:
    """HTTP server with keys, leases, conditional transactions and long-polling watches."""

    def __init__(self) -> None:
        self.faults = StoreFaults()
        self.calls: list[str] = []
        self.address = ""
        self._items: dict[str, StoredKey] = {}
        self._history: list[dict[str, Any]] = []
        self._compacted_revision = 0
        self._revision = 1
        self._granted_leases = 0
        self.era = 1
        self._leases: dict[int, tuple[float, float]] = {}
        self._runner: web.ServerRunner | None = None

    async def start(self, port: int = 0) -> None:
        """Start listening on loopback."""
        self._runner = web.ServerRunner(web.Server(self._handle, access_log=None))
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", port)
        await site.start()
        host, bound_port, *_ = self._runner.addresses[0]
        self.address = f"{host}:{bound_port}"

    async def close(self) -> None:
        """Stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write a key, as an operator or a target does.

        :returns: the revision of the write.
        """
        self._revision += 1
        previous = self._items.get(key)
        created = previous.created if previous else self._revision
        self._items[key] = StoredKey(value, self._revision, created, lease)
        self._history.append(self._item(key))
        return self._revision

    def put_json(self, key: str, value: Any) -> int:
        """Write a JSON value."""
        return self.put(key, json.dumps(value).encode())

    def delete(self, key: str) -> None:
        """Remove a key, if it exists."""
        if self._items.pop(key, None) is not None:
            self._revision += 1
            tombstone = {"key": key, "revision": self._revision, "tombstone": True}
            self._history.append(tombstone)

    def compact(self) -> None:
        """Discard the history, so that watches from older revisions fail."""
        self._history.clear()
        self._compacted_revision = self._revision

    def checkpoint(self) -> StoreCheckpoint:
        """Copy the current state."""
        return copy.deepcopy(
            StoreCheckpoint(self._items, self._history, self._revision, self._leases)
        )

    def restore(self, checkpoint: StoreCheckpoint) -> dict[str, bytes | None]:
        """Go back to an earlier state.

        :returns: values that operators and targets have written since, None for removed keys.
        """
        before = {key: item.value for key, item in self._items.items()}
        state = copy.deepcopy(checkpoint)
        self._items, self._history = state.items, state.history
        self._revision, self._leases = state.revision, state.leases
        self._compacted_revision = min(self._compacted_revision, self._revision)
        self.era += 1
        after = {key: item.value for key, item in self._items.items()}
        return {
            key: before.get(key)
            for key in sorted({*before, *after})
            if key.startswith(("op/", "servers/")) and before.get(key) != after.get(key)
        }

    def rewrite(self, values: dict[str, bytes | None]) -> None:
        """Write values again that a restore has lost."""
        for key, value in values.items():
            if value is None:
                self.delete(key)
            else:
                self.put(key, value)

    def expire_leases(self) -> None:
        """Expire every lease, as if its holder had been paused for longer than the lease."""
        for lease in list(self._leases):
            self._end_lease(lease)

    def get(self, key: str) -> bytes | None:
        """Return the value of a key, or None."""
        self._expire_due_leases()
        stored = self._items.get(key)
        return stored.value if stored else None

    def _item(self, key: str) -> dict[str, Any]:
        stored = self._items[key]
        return {
            "key": key,
            "value": base64.b64encode(stored.value).decode(),
            "revision": stored.revision,
            "create-rev": stored.created,
            "lease": stored.lease,
        }

    def _expire_due_leases(self) -> None:
        now_s = time.monotonic()
        for lease in [
            lease for lease, (deadline_s, _) in self._leases.items() if deadline_s < now_s
        ]:
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
            return web.Response(status=503, headers={ERA_HEADER: str(self.era)})
        self._expire_due_leases()
        operation = request.path.split("/")[2]
        response = await getattr(self, "_" + operation.replace("-", "_"))(request)
        response.headers[ERA_HEADER] = str(self.era)
        if self.faults.loses_writes and request.method != "GET" and request.transport:
            request.transport.abort()
        return response  # type: ignore[no-any-return]

    async def _kv_key(self, request: web.BaseRequest) -> web.Response:
        key = request.query["key"]
        if key not in self._items:
            return web.json_response({}, status=404)
        return web.json_response(self._item(key) | {"store-revision": self._revision})

    async def _kv_range(self, request: web.BaseRequest) -> web.Response:
        prefix, after = request.query["prefix"], request.query.get("after", "")
        keys = sorted(key for key in self._items if key.startswith(prefix) and key > after)
        items = [self._item(key) for key in keys[:ITEMS_PER_PAGE]]
        has_more = len(keys) > ITEMS_PER_PAGE
        return web.json_response(
            {"items": items, "has-more": has_more, "store-revision": self._revision}
        )

    async def _kv_watch(self, request: web.BaseRequest) -> web.Response:
        prefix, after = request.query["prefix"], int(request.query["after"])
        deadline_s = time.monotonic() + int(request.query["wait-ms"]) / 1000
        while True:
            before_deadline = time.monotonic() < deadline_s
            if self.faults.deaf and before_deadline:
                await asyncio.sleep(WATCH_POLL_INTERVAL_S)
                continue
            if after < self._compacted_revision or after > self._revision:
                return web.json_response({}, status=410)
            self._expire_due_leases()
            events = [
                item
                for item in self._history
                if item["revision"] > after and item["key"].startswith(prefix)
            ]
            if events or time.monotonic() >= deadline_s:
                body = {"events": events, "store-revision": self._revision}
                return web.json_response(body)
            await asyncio.sleep(WATCH_POLL_INTERVAL_S)

    async def _kv_txn(self, request: web.BaseRequest) -> web.Response:
        body = json.loads(await request.read())
        for entry in body.get("expected", []):
            stored = self._items.get(entry["key"])
            if (stored.revision if stored else 0) != entry["revision"]:
                keys = [item["key"] for item in body["expected"] if item["key"] in self._items]
                return web.json_response({"items": [self._item(key) for key in keys]}, status=412)
        for entry in body.get("puts", []):
            if entry.get("lease") and entry["lease"] not in self._leases:
                return web.json_response({}, status=404)
        for entry in body.get("puts", []):
            self.put(entry["key"], base64.b64decode(entry["value"]), entry.get("lease", 0))
        for key in body.get("deletes", []):
            self.delete(key)
        return web.json_response({"revision": self._revision})

    async def _kv_lease(self, request: web.BaseRequest) -> web.Response:
        ttl_s = json.loads(await request.read())["ttl-ms"] / 1000
        self._granted_leases += 1
        lease = self._granted_leases + 1000
        self._leases[lease] = (time.monotonic() + ttl_s, ttl_s)
        return web.json_response({"lease": lease, "ttl-ms": int(ttl_s * 1000)})

    async def _kv_keep(self, request: web.BaseRequest) -> web.Response:
        lease = int(request.path.rsplit("/", 1)[1])
        if lease not in self._leases:
            return web.json_response({}, status=404)
        ttl_s = self._leases[lease][1]
        self._leases[lease] = (time.monotonic() + ttl_s, ttl_s)
        return web.json_response({"ttl-ms": int(ttl_s * 1000)})

    async def _kv_lease_end(self, request: web.BaseRequest) -> web.Response:
        ended = self._end_lease(int(request.path.rsplit("/", 1)[1]))
        return web.json_response({}, status=200 if ended else 404)
