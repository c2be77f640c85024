"""The platform's key-value service behind the :class:`Store` interface."""

import asyncio
import base64
import json
from collections.abc import AsyncIterator, Mapping
from typing import Any

import aiohttp
from returns.result import Failure as Failed
from returns.result import Result, Success

from coltsfootfront.common import metrics
from coltsfootfront.common.errors import ErrorKind, Failure, FailureError, ExecutionState
from coltsfootfront.direct.storefollower import Changes, Item, Snapshot, WatchableStore
from coltsfootfront.direct.sockets import create_socket
from coltsfootfront.keyvalue.store import KeyValue, TransactionResult, Transaction, WatchEvent

Json = dict[str, Any]

# Answers come within some milliseconds; a slow store takes up to about a second.
CALL_TIMEOUT_S = 1.5
CONNECT_TIMEOUT_S = 0.6
# A waiting watch answers within its wait and this.
WATCH_SLACK_S = 2.0
OK = 200
NOT_FOUND = 404
GONE = 410
CONDITION_FAILED = 412
TOO_MANY = 429
UNAVAILABLE = 503


class PlatformStore(WatchableStore):
    """Client of the store.

    :param address: host and port.
    """

    def __init__(self, address: str) -> None:
        self._base = f"http://{address}"
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        connector = aiohttp.TCPConnector(socket_factory=create_socket)
        self._session = aiohttp.ClientSession(connector=connector)

    async def close(self) -> None:
        session, self._session = self._session, None
        if session is not None:
            await session.close()

    async def get(self, key: str) -> Result[KeyValue | None, Failure]:
        found = await self._read("get", "/v1/kv-key", {"key": key}, absent_ok=True)
        return found.map(lambda body: _key_value(body) if body else None)

    async def list_prefix(self, prefix: str) -> Result[list[KeyValue], Failure]:
        found = await self.snapshot(prefix)
        return found.map(lambda snapshot: snapshot.items)

    async def snapshot(self, prefix: str) -> Result[Snapshot, Failure]:
        items: list[KeyValue] = []
        revision = 0
        query = {"prefix": prefix}
        while True:
            page = await self._read("range", "/v1/kv-range", query)
            if not isinstance(page, Success):
                return Failed(page.failure())
            body = page.unwrap()
            items += [_key_value(item) for item in body["items"]]
            # Pages are read at different revisions; changes since the first one may be missing.
            revision = revision or int(body["store-revision"])
            if not body.get("has-more") or not items:
                return Success(Snapshot(items, revision))
            query = {"prefix": prefix, "after": items[-1].key}

    async def changes(self, prefix: str, after: int, wait_s: float) -> Result[Changes, Failure]:
        query = {"prefix": prefix, "after": str(after), "wait-ms": str(int(wait_s * 1000))}
        timeout_s = wait_s + WATCH_SLACK_S
        found = await self._read("watch", "/v1/kv-watch", query, timeout_s=timeout_s)
        return found.map(_changes)

    async def commit(self, transaction: Transaction) -> Result[TransactionResult, Failure]:
        body = {
            "expected": [
                {"key": compare.key, "revision": compare.mod_revision}
                for compare in transaction.compares
            ],
            "puts": [
                {"key": put.key, "value": _to_text(put.value), "lease": put.lease}
                for put in transaction.puts
            ],
            "deletes": transaction.deletes,
        }
        done = await self._write("txn", "POST", "/v1/kv-txn", body)
        return done.map(_outcome)

    async def grant_lease(self, ttl_s: float) -> Result[int, Failure]:
        body = {"ttl-ms": int(ttl_s * 1000)}
        done = await self._write("lease", "POST", "/v1/kv-lease", body)
        return done.map(lambda answer: int(answer["lease"]))

    async def keep_alive(self, lease: int) -> Result[float, Failure]:
        done = await self._write("keep", "POST", f"/v1/kv-keep/{lease}", None, absent_ok=True)
        return done.map(lambda answer: float(answer.get("ttl-ms", 0)) / 1000)

    async def revoke_lease(self, lease: int) -> Result[None, Failure]:
        path = f"/v1/kv-lease-end/{lease}"
        done = await self._write("lease_end", "DELETE", path, None, absent_ok=True)
        return done.map(lambda answer: None)

    async def watch(self, prefix: str) -> AsyncIterator[WatchEvent]:
        start = await self.snapshot(prefix)
        if not isinstance(start, Success):
            raise FailureError(start.failure())
        revision = start.unwrap().revision
        while True:
            found = await self.changes(prefix, revision, WATCH_SLACK_S)
            if not isinstance(found, Success):
                raise FailureError(found.failure())
            revision = found.unwrap().revision
            for item in found.unwrap().items:
                value = None
                if item.value is not None:
                    value = KeyValue(item.key, item.value, 0, item.revision)
                yield WatchEvent(item.key, value)

    async def _read(
        self,
        name: str,
        path: str,
        query: Mapping[str, str],
        absent_ok: bool = False,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> Result[Json, Failure]:
        return await self._call(name, "GET", path, query, None, False, absent_ok, timeout_s)

    async def _write(
        self, name: str, method: str, path: str, body: Json | None, absent_ok: bool = False
    ) -> Result[Json, Failure]:
        return await self._call(name, method, path, {}, body, True, absent_ok, CALL_TIMEOUT_S)

    async def _call(
        self,
        name: str,
        method: str,
        path: str,
        query: Mapping[str, str],
        body: Json | None,
        writes: bool,
        absent_ok: bool,
        timeout_s: float,
    ) -> Result[Json, Failure]:
        lost = _ambiguous if writes else _unavailable
        limits = aiohttp.ClientTimeout(total=timeout_s, sock_connect=CONNECT_TIMEOUT_S)
        result: Result[Json, Failure]
        try:
            if self._session is None:
                raise FailureError(_unavailable("the store's client is not started"))
            url = self._base + path
            async with self._session.request(
                method, url, params=query, json=body, timeout=limits
            ) as response:
                data = await response.read()
                result = _interpret(name, response.status, data, lost, absent_ok)
        except FailureError as error:
            result = Failed(error.failure)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            # The request was not sent, so a write certainly had no effect.
            result = Failed(_unavailable(f"{name}: the store cannot be reached: {error!r}"))
        except (aiohttp.ClientError, OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            result = Failed(lost(f"{name}: the store's answer was lost: {error!r}"))
        except (ValueError, KeyError, TypeError) as error:
            result = Failed(lost(f"{name}: the store's answer cannot be read: {error!r}"))
        kind = "ok" if isinstance(result, Success) else result.failure().kind.value
        metrics.STORE_CALLS.inc({"call": name, "outcome": kind})
        return result


def _unavailable(message: str) -> Failure:
    return Failure(ErrorKind.STORE_UNAVAILABLE, message)


def _ambiguous(message: str) -> Failure:
    return Failure(ErrorKind.STORE_AMBIGUOUS, message, ExecutionState.UNKNOWN)


def _interpret(
    name: str, status: int, data: bytes, lost: Any, absent_ok: bool
) -> Result[Json, Failure]:
    if status == OK or (name == "txn" and status == CONDITION_FAILED):
        body = json.loads(data) if data else {}
        if status == CONDITION_FAILED:
            body["has-failed"] = True
        return Success(body)
    if status == NOT_FOUND and absent_ok:
        return Success({})
    if status == GONE:
        return Failed(Failure(ErrorKind.STALE_REVISION, "the store dropped its history"))
    if status in (UNAVAILABLE, TOO_MANY) or status < 500:
        return Failed(_unavailable(f"{name}: the store answered {status}"))
    return Failed(lost(f"{name}: the store answered {status}"))


def _to_text(value: bytes) -> str:
    return base64.b64encode(value).decode()


def _key_value(item: Json) -> KeyValue:
    return KeyValue(
        key=item["key"],
        value=base64.b64decode(item["value"]),
        create_revision=int(item["create-rev"]),
        mod_revision=int(item["revision"]),
        lease=int(item.get("lease", 0)),
    )


def _changes(body: Json) -> Changes:
    items = []
    for change in body["events"]:
        removed = bool(change.get("tombstone"))
        value = None if removed else base64.b64decode(change["value"])
        items.append(Item(change["key"], value, int(change["revision"])))
    return Changes(items, int(body["store-revision"]))


def _outcome(body: Json) -> TransactionResult:
    if body.get("has-failed"):
        items = [_key_value(item) for item in body.get("items", []) if item.get("value")]
        return TransactionResult(False, 0, items)
    return TransactionResult(True, int(body["revision"]))
