"""Adapter from :class:`Store` to the JSON gateway of the etcd v3 API."""

import asyncio
import base64
import functools
import math
from collections.abc import AsyncIterator, Callable
from typing import Any, TypeVar

import aiohttp
from aiohttp.client_proto import ResponseHandler
from returns.result import Failure as Failed
from returns.result import Result, Success

from coltsfootfront.common import metrics
from coltsfootfront.common.decoding import (
    DecodingError,
    decode_each,
    decoding,
    describe,
    load_json,
    read_list,
    read_object,
)
from coltsfootfront.common.errors import ErrorKind, ExecutionState, Failure, FailureError
from coltsfootfront.keyvalue.store import (
    Compare,
    KeyValue,
    Put,
    Store,
    Transaction,
    TransactionResult,
    WatchEvent,
)

# Largest response body that is read; a value has at most 1 MB, but a listing has many values.
MAX_RESPONSE_BYTES = 64 * 1024 * 1024
# Longest line of a watch response: one value of 1 MB in base64, with headroom.
MAX_WATCH_LINE_BYTES = 2 * 1024 * 1024
HTTP_BAD_REQUEST = 400
HTTP_NOT_FOUND = 404
HTTP_TOO_MANY_REQUESTS = 429
HTTP_SERVER_ERROR = 500

Json = dict[str, Any]
T = TypeVar("T")


def _to_base64(data: bytes) -> str:
    return base64.b64encode(data).decode()


def _range_end(prefix: str) -> str:
    data = bytearray(prefix.encode())
    while data:
        if data[-1] < 0xFF:
            data[-1] += 1
            return _to_base64(bytes(data))
        data.pop()
    return _to_base64(b"\0")


def _decode_key_value(kv: Json) -> KeyValue:
    return KeyValue(
        key=base64.b64decode(kv["key"]).decode(),
        value=base64.b64decode(kv.get("value", "")),
        create_revision=int(kv.get("create_revision", 0)),
        mod_revision=int(kv.get("mod_revision", 0)),
        lease=int(kv.get("lease", 0)),
    )


def _encode_compare(compare: Compare) -> Json:
    return {
        "key": _to_base64(compare.key.encode()),
        "target": "MOD",
        "result": "EQUAL",
        "mod_revision": str(compare.mod_revision),
    }


def _encode_put(put: Put) -> Json:
    body = {"key": _to_base64(put.key.encode()), "value": _to_base64(put.value)}
    if put.lease:
        body["lease"] = str(put.lease)
    return {"request_put": body}


def _encode_transaction(transaction: Transaction) -> Json:
    deletes = [
        {"request_delete_range": {"key": _to_base64(key.encode())}} for key in transaction.deletes
    ]
    reads = [
        {"request_range": {"key": _to_base64(key.encode())}} for key in transaction.read_on_failure
    ]
    return {
        "compare": [_encode_compare(compare) for compare in transaction.compares],
        "success": [_encode_put(put) for put in transaction.puts] + deletes,
        "failure": reads,
    }


def _decode_requested_key(key: str, reply: Json) -> KeyValue | None:
    """Decode the response to a read of one key.

    :raises ValueError: when it is the response to another call.
    """
    found = _decode_requested_keys(key, reply)
    if any(item.key != key for item in found):
        raise ValueError(f"the key {found[0].key!r} was not asked for")
    return found[0] if found else None


def _decode_requested_keys(prefix: str, reply: Json) -> list[KeyValue]:
    """Decode the response to a read of all keys with a prefix.

    :raises ValueError: when it is the response to another call.
    """
    # An empty result has no field for the keys, but every response has a header.
    if "header" not in reply:
        raise ValueError("the response has no header")
    found = [_decode_key_value(kv) for kv in reply.get("kvs", [])]
    for item in found:
        if not item.key.startswith(prefix):
            raise ValueError(f"the key {item.key!r} was not asked for")
    return found


def _transaction_result(reply: Json) -> TransactionResult:
    read = [
        _decode_key_value(kv)
        for response in reply.get("responses", [])
        for kv in response.get("response_range", {}).get("kvs", [])
    ]
    succeeded = bool(reply.get("succeeded", False))
    return TransactionResult(succeeded, int(reply["header"]["revision"]), [] if succeeded else read)


def _unavailable(message: str) -> Failure:
    return Failure(ErrorKind.STORE_UNAVAILABLE, message)


def _ambiguous(message: str) -> Failure:
    return Failure(ErrorKind.STORE_AMBIGUOUS, message, ExecutionState.UNKNOWN)


class _StoreConnection(ResponseHandler):
    """Connection that is not used again once it has received data that no call asked for."""

    def is_connected(self) -> bool:
        # aiohttp would read the data as the response to the next call.
        return super().is_connected() and not self.should_close


class EtcdStore(Store):
    """Client of the JSON gateway of the etcd v3 API.

    :param address: base URL, for example ``http://10.0.0.5:2379``.
    :param timeout_s: time limit for each call and for opening a watch.
    """

    def __init__(self, address: str, timeout_s: float) -> None:
        self._address = address.rstrip("/")
        self._timeout_s = timeout_s
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Create the HTTP session without opening a connection."""
        timeout = aiohttp.ClientTimeout(total=self._timeout_s)
        connector = aiohttp.TCPConnector()
        # aiohttp has no public way to set the protocol class of its connections.
        make = functools.partial(_StoreConnection, loop=asyncio.get_running_loop())
        connector._factory = make  # type: ignore[assignment]
        self._session = aiohttp.ClientSession(connector=connector, timeout=timeout)

    async def close(self) -> None:
        """Close all connections, which ends open watches."""
        session, self._session = self._session, None
        if session is not None:
            await session.close()

    async def get(self, key: str) -> Result[KeyValue | None, Failure]:
        body = {"key": _to_base64(key.encode())}
        return await self._call(
            "get", "/v3/kv/range", body, lambda reply: _decode_requested_key(key, reply), False
        )

    async def list_prefix(self, prefix: str) -> Result[list[KeyValue], Failure]:
        body = {"key": _to_base64(prefix.encode()), "range_end": _range_end(prefix)}
        body |= {"sort_order": "ASCEND", "sort_target": "KEY"}
        return await self._call(
            "list", "/v3/kv/range", body, lambda reply: _decode_requested_keys(prefix, reply), False
        )

    async def commit(self, transaction: Transaction) -> Result[TransactionResult, Failure]:
        writes = bool(transaction.puts or transaction.deletes)
        body = _encode_transaction(transaction)
        return await self._call("commit", "/v3/kv/txn", body, _transaction_result, writes)

    async def grant_lease(self, ttl_s: float) -> Result[int, Failure]:
        body = {"TTL": str(math.ceil(ttl_s)), "ID": "0"}
        return await self._call(
            "grant_lease", "/v3/lease/grant", body, lambda reply: int(reply["ID"]), True
        )

    async def keep_alive(self, lease: int) -> Result[float, Failure]:
        body = {"ID": str(lease)}
        return await self._call(
            "keep_alive",
            "/v3/lease/keepalive",
            body,
            lambda reply: float(reply.get("result", {}).get("TTL", 0)),
            True,
        )

    async def revoke_lease(self, lease: int) -> Result[None, Failure]:
        body = {"ID": str(lease)}
        return await self._call(
            "revoke_lease", "/v3/lease/revoke", body, lambda reply: None, True, absent_ok=True
        )

    async def watch(self, prefix: str) -> AsyncIterator[WatchEvent]:
        try:
            async with await self._open_watch(prefix) as response:
                self._count("watch", "ok" if response.ok else "refused")
                if not response.ok:
                    raise FailureError(_unavailable(f"watch refused: HTTP {response.status}"))
                async for line in response.content:
                    for found in _watch_events(line):
                        yield found
        except (aiohttp.ClientError, OSError, ValueError) as error:
            raise FailureError(_unavailable(f"watch ended: {error!r}")) from error
        raise FailureError(_unavailable("watch was closed by the store"))

    async def _open_watch(self, prefix: str) -> aiohttp.ClientResponse:
        key, end = _to_base64(prefix.encode()), _range_end(prefix)
        # The time limit covers the response head; the event stream has none.
        async with asyncio.timeout(self._timeout_s):
            return await self._require_session().post(
                f"{self._address}/v3/watch",
                json={"create_request": {"key": key, "range_end": end}},
                timeout=aiohttp.ClientTimeout(total=None),
                read_bufsize=MAX_WATCH_LINE_BYTES,
            )

    def _require_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            raise FailureError(_unavailable("the store adapter is not started"))
        return self._session

    async def _call(
        self,
        name: str,
        path: str,
        body: Json,
        decode: Callable[[Json], T],
        writes: bool,
        absent_ok: bool = False,
    ) -> Result[T, Failure]:
        make_failure = _ambiguous if writes else _unavailable
        try:
            session = self._require_session()
            async with session.post(self._address + path, json=body) as response:
                data = await read_bounded(response, MAX_RESPONSE_BYTES)
                reply: Result[Json, Failure] = Success({})
                if response.status != HTTP_NOT_FOUND or not absent_ok:
                    reply = _parse_response(response.status, data, make_failure)
                with decoding("answer of the store"):
                    result: Result[T, Failure] = reply.map(decode)
        except FailureError as error:
            result = Failed(error.failure)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            # The request was not sent, so a write cannot have taken effect.
            result = Failed(_unavailable(f"store cannot be reached: {error}"))
        except TimeoutError:
            result = Failed(make_failure(f"no answer from the store in {self._timeout_s} s"))
        except (aiohttp.ClientError, OSError) as error:
            result = Failed(make_failure(f"answer of the store was lost: {error!r}"))
        except DecodingError as error:
            result = Failed(make_failure(str(error)))
        self._count(name, _outcome_label(result))
        return result

    def _count(self, name: str, outcome: str) -> None:
        metrics.STORE_CALLS.inc({"call": name, "outcome": outcome})


def _outcome_label(result: Result[Any, Failure]) -> str:
    if isinstance(result, Success):
        return "ok"
    return result.failure().kind.value


async def read_bounded(response: aiohttp.ClientResponse, limit_bytes: int) -> bytes:
    """Read the body of a response.

    :raises aiohttp.ClientPayloadError: the body exceeds the limit or is truncated.
    """
    data = bytearray()
    async for chunk in response.content.iter_chunked(65536):
        data += chunk
        if len(data) > limit_bytes:
            raise aiohttp.ClientPayloadError("answer exceeds the size limit")
    return bytes(data)


def _parse_response(status: int, data: bytes, make_failure: Any) -> Result[Json, Failure]:
    try:
        with decoding("answer of the store"):
            reply = load_json(data)
    except DecodingError:
        reply = None
    if status == HTTP_TOO_MANY_REQUESTS:
        return Failed(_unavailable("store refused the call: rate limit"))
    if status >= HTTP_SERVER_ERROR or not isinstance(reply, dict):
        return Failed(make_failure(f"store answered HTTP {status}"))
    if status >= HTTP_BAD_REQUEST:
        return Failed(_unavailable(f"store answered HTTP {status}: {reply.get('message', '')}"))
    return Success(reply)


def _watch_events(line: bytes) -> list[WatchEvent]:
    if not line.strip():
        return []
    with decoding("message of the watch"):
        message = read_object(load_json(line))
        result = read_object(message.get("result", {}))
        items = read_list(result.get("events", []))
    if "error" in message:
        raise FailureError(_unavailable(f"watch ended: {describe(message['error'])}"))
    if result.get("canceled"):
        raise FailureError(_unavailable("watch was cancelled by the store"))
    return decode_each("events of the watch", items, _decode_watch_event)


def _decode_watch_event(item: Json) -> WatchEvent:
    value = _decode_key_value(item["kv"])
    return WatchEvent(value.key, None if item.get("type") == "DELETE" else value)
