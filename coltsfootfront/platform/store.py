"""Client of the platform's key-value service, behind the :class:`Store` interface."""

import asyncio
import base64
import json
import re
from collections.abc import AsyncIterator, Callable, Mapping
from typing import Any, TypeVar

import aiohttp
import logbook
from returns.result import Failure as Failed
from returns.result import Result, Success

from coltsfootfront.common import metrics
from coltsfootfront.common.decoding import (
    DecodingError,
    decode_each,
    decoding,
    describe,
    load_json,
    read_digits,
    read_integer,
    read_list,
    read_number,
    read_object,
    read_text,
)
from coltsfootfront.common.errors import ErrorKind, ExecutionState, Failure, FailureError
from coltsfootfront.common.logs import event
from coltsfootfront.direct.storefollower import Changes, Item, Snapshot, WatchableStore
from coltsfootfront.direct.transfers import (
    BodyTooLargeError,
    OnProgress,
    Transfer,
    TransferLimits,
    create_session,
    receive,
)
from coltsfootfront.keyvalue.store import KeyValue, Transaction, TransactionResult, WatchEvent
from coltsfootfront.platform import headers

log = logbook.Logger(__name__)

Json = dict[str, Any]
JSON_TYPE = {"Content-Type": "application/json"}
T = TypeVar("T")

# The store usually begins to answer within milliseconds, and within about a second when it is slow.
CALL_TIMEOUT_S = 1.5
CONNECT_TIMEOUT_S = 0.6
TIMEOUTS = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S)
# Time until a watch begins to be answered, beyond the wait that it asks for.
WATCH_TIMEOUT_MARGIN_S = 2.0
# A store that sends nothing for this long in the middle of a response is given up.
SILENCE_S = 1.0
# Longest transfer of one response. A page of 1 MB takes two seconds on half of a link of 10 Mbit/s.
MAX_TRANSFER_S = 8.0
# Bound on what a response may occupy: several values of the largest size, as base64.
MAX_RESPONSE_BYTES = 8 * 1024 * 1024
# Reads of at least this size are logged.
LARGE_READ_BYTES = 65_536
OK = 200
NOT_FOUND = 404
GONE = 410
PRECONDITION_FAILED = 412
TOO_MANY_REQUESTS = 429
SERVICE_UNAVAILABLE = 503
# Code points that no text in a URL can have.
_SURROGATES = re.compile("[\ud800-\udfff]")


class PlatformStore(WatchableStore):
    """HTTP client of the key-value service.

    :param address: host and port.
    """

    def __init__(self, address: str) -> None:
        self._base_url = f"http://{address}"
        self._session: aiohttp.ClientSession | None = None
        self._era = 0

    @property
    def era(self) -> int:
        return self._era

    async def start(self) -> None:
        self._session = create_session(TIMEOUTS)

    async def close(self) -> None:
        session, self._session = self._session, None
        if session is not None:
            await session.close()

    async def get(self, key: str) -> Result[KeyValue | None, Failure]:
        return await self._read(
            "get",
            "/v1/kv-key",
            {"key": key},
            lambda body: _decode_requested_key(key, body),
            allow_not_found=True,
        )

    async def list_prefix(self, prefix: str) -> Result[list[KeyValue], Failure]:
        result = await self.snapshot(prefix)
        return result.map(lambda snapshot: snapshot.items)

    async def snapshot(self, prefix: str) -> Result[Snapshot, Failure]:
        items: list[KeyValue] = []
        revision = 0
        era: int | None = None
        query = {"prefix": prefix}
        while True:
            read = await self._read(
                "range", "/v1/kv-range", query, lambda body: _decode_page(prefix, body)
            )
            if not isinstance(read, Success):
                return Failed(read.failure())
            page, next_after = read.unwrap()
            if era is not None and page.era != era:
                return Failed(_unavailable("the store was restored while its keys were read"))
            era = page.era
            items += page.items
            # Each page has a revision of its own. The snapshot takes the first page's, so that no
            # change is missed when the changes after it are read.
            revision = revision or page.revision
            if next_after is None:
                return Success(Snapshot(items, revision, era))
            query = {"prefix": prefix, "after": next_after}

    async def changes(
        self, prefix: str, after: int, wait_s: float, on_progress: OnProgress | None = None
    ) -> Result[Changes, Failure]:
        query = {"prefix": prefix, "after": str(after), "wait-ms": str(int(wait_s * 1000))}
        timeout_s = wait_s + WATCH_TIMEOUT_MARGIN_S
        return await self._read(
            "watch", "/v1/kv-watch", query, _decode_changes, False, timeout_s, on_progress
        )

    async def commit(self, transaction: Transaction) -> Result[TransactionResult, Failure]:
        body = {
            "expected": [
                {"key": compare.key, "revision": compare.mod_revision}
                for compare in transaction.compares
            ],
            "puts": [
                {"key": put.key, "value": _to_base64(put.value), "lease": put.lease}
                for put in transaction.puts
            ],
            "deletes": transaction.deletes,
        }
        return await self._write("txn", "POST", "/v1/kv-txn", body, _decode_transaction_result)

    async def grant_lease(self, ttl_s: float) -> Result[int, Failure]:
        body = {"ttl-ms": int(ttl_s * 1000)}
        return await self._write(
            "lease",
            "POST",
            "/v1/kv-lease",
            body,
            lambda response: _read_number_of(response, "lease"),
        )

    async def keep_alive(self, lease: int) -> Result[float, Failure]:
        return await self._write(
            "keep",
            "POST",
            f"/v1/kv-keep/{lease}",
            None,
            lambda response: read_number(response.get("ttl-ms", 0)) / 1000,
            allow_not_found=True,
        )

    async def revoke_lease(self, lease: int) -> Result[None, Failure]:
        path = f"/v1/kv-lease-end/{lease}"
        return await self._write(
            "lease_end", "DELETE", path, None, lambda response: None, allow_not_found=True
        )

    async def watch(self, prefix: str) -> AsyncIterator[WatchEvent]:
        start = await self.snapshot(prefix)
        if not isinstance(start, Success):
            raise FailureError(start.failure())
        revision = start.unwrap().revision
        while True:
            result = await self.changes(prefix, revision, WATCH_TIMEOUT_MARGIN_S)
            if not isinstance(result, Success):
                raise FailureError(result.failure())
            revision = result.unwrap().revision
            for item in result.unwrap().items:
                value = None
                if item.value is not None:
                    value = KeyValue(item.key, item.value, 0, item.revision)
                yield WatchEvent(item.key, value)

    def _record_era(self, text: str, call: str) -> int:
        """Record the era of one response, and return it."""
        era = read_digits(text) if text else 0
        if era > self._era:
            log.info(event("store_era", era=era, before=self._era, call=call))
            metrics.STORE_ERA.set({}, era)
            self._era = era
        return era

    async def _read(
        self,
        name: str,
        path: str,
        query: Mapping[str, str],
        decode: Callable[[Json], T],
        allow_not_found: bool = False,
        timeout_s: float = CALL_TIMEOUT_S,
        on_progress: OnProgress | None = None,
    ) -> Result[T, Failure]:
        return await self._call(
            name, "GET", path, query, None, decode, False, allow_not_found, timeout_s, on_progress
        )

    async def _write(
        self,
        name: str,
        method: str,
        path: str,
        body: Json | None,
        decode: Callable[[Json], T],
        allow_not_found: bool = False,
    ) -> Result[T, Failure]:
        return await self._call(
            name, method, path, {}, body, decode, True, allow_not_found, CALL_TIMEOUT_S
        )

    async def _call(
        self,
        name: str,
        method: str,
        path: str,
        query: Mapping[str, str],
        body: Json | None,
        decode: Callable[[Json], T],
        is_write: bool,
        allow_not_found: bool,
        timeout_s: float,
        on_progress: OnProgress | None = None,
    ) -> Result[T, Failure]:
        build_failure = _ambiguous if is_write else _unavailable
        limits = TransferLimits(timeout_s, SILENCE_S, MAX_TRANSFER_S, MAX_RESPONSE_BYTES)
        result: Result[T, Failure]
        encoded = json.dumps(body).encode() if body is not None else b""
        try:
            session = self._session
            if session is None:
                raise FailureError(_unavailable("the store's client is not started"))
            url = self._base_url + path
            metrics.count_sent(metrics.STORE, len(encoded))
            received = await receive(
                lambda: session.request(
                    method,
                    url,
                    params=query,
                    data=encoded or None,
                    headers=JSON_TYPE if encoded else None,
                ),
                limits,
                on_progress,
            )
            _record_transfer(name, received)
            with decoding("the store's answer"):
                era = self._record_era(received.headers.get(headers.STORE_ERA, ""), name)
                result = _decode_response(
                    name, received.status, received.body, build_failure, allow_not_found
                ).map(lambda body: decode(body | {"era": era, "age": received.duration_s}))
        except FailureError as error:
            result = Failed(error.failure)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            # No connection was made, so the request was not sent and a write had no effect.
            result = Failed(_unavailable(f"{name}: the store cannot be reached: {error!r}"))
        except BodyTooLargeError as error:
            result = Failed(_too_large(name, error, build_failure))
        except (aiohttp.ClientError, OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            result = Failed(build_failure(f"{name}: the store's answer was lost: {error!r}"))
        except DecodingError as error:
            result = Failed(build_failure(f"{name}: {error}"))
        outcome = "ok" if isinstance(result, Success) else result.failure().kind.value
        metrics.STORE_CALLS.inc({"call": name, "outcome": outcome})
        return result


def _record_transfer(name: str, received: Transfer) -> None:
    metrics.count_received(metrics.STORE, received.wire_bytes)
    if received.wire_bytes >= LARGE_READ_BYTES:
        log.info(
            event(
                "store_transfer",
                call=name,
                wire_bytes=received.wire_bytes,
                transfer_s=received.duration_s,
            )
        )


def _unavailable(message: str) -> Failure:
    return Failure(ErrorKind.STORE_UNAVAILABLE, message)


def _too_large(
    name: str, error: BodyTooLargeError, build_failure: Callable[[str], Failure]
) -> Failure:
    message = f"{name}: the store's answer is too large: {error}"
    # The pages of a snapshot are small, whatever the history holds.
    return Failure(ErrorKind.STALE_REVISION, message) if name == "watch" else build_failure(message)


def _ambiguous(message: str) -> Failure:
    return Failure(ErrorKind.STORE_AMBIGUOUS, message, ExecutionState.UNKNOWN)


def _decode_response(
    name: str, status: int, data: bytes, build_failure: Any, allow_not_found: bool
) -> Result[Json, Failure]:
    if status == OK or (name == "txn" and status == PRECONDITION_FAILED):
        body = read_object(load_json(data)) if data else {}
        if status == PRECONDITION_FAILED:
            body["has-failed"] = True
        return Success(body)
    if status == NOT_FOUND and allow_not_found:
        return Success({"is-missing": True})
    if status == GONE:
        return Failed(Failure(ErrorKind.STALE_REVISION, "the store dropped its history"))
    if status in (SERVICE_UNAVAILABLE, TOO_MANY_REQUESTS) or status < 500:
        return Failed(_unavailable(f"{name}: the store answered {status}"))
    return Failed(build_failure(f"{name}: the store answered {status}"))


def _to_base64(value: bytes) -> str:
    return base64.b64encode(value).decode()


def _read_number_of(item: Json, name: str) -> int:
    return read_integer(int(item[name]))


def _decode_value(key: str, value: Any) -> bytes:
    """Decode a value; an unreadable one is empty, so that its key is not taken for removed."""
    try:
        with decoding("value"):
            return base64.b64decode(value)
    except DecodingError as error:
        log.warning(event("value_unreadable", key=key, reason=str(error)))
        return b""


def _decode_key_value(item: Json) -> KeyValue:
    key = read_text(item["key"])
    return KeyValue(
        key=key,
        value=_decode_value(key, item["value"]),
        create_revision=_read_number_of(item, "create-rev"),
        mod_revision=_read_number_of(item, "revision"),
        lease=_read_number_of(item, "lease") if "lease" in item else 0,
    )


def _decode_requested_key(key: str, body: Json) -> KeyValue | None:
    """Decode the response to a read of one key.

    :raises ValueError: when it is the response to another call.
    """
    if body.get("is-missing"):
        return None
    found = _decode_key_value(body)
    if found.key != key:
        raise DecodingError(f"the key {describe(found.key)} was not asked for")
    return found


def _decode_page(prefix: str, body: Json) -> tuple[Snapshot, str | None]:
    """Decode one page of keys, and the key after which the next page begins, None for the last.

    :raises DecodingError: when it is the response to another call, or has no key to go on from.
    """
    rows = read_list(body["items"])
    items = decode_each("keys", rows, _decode_key_value)
    for found in items:
        if not found.key.startswith(prefix):
            raise DecodingError(f"the key {describe(found.key)} was not asked for")
    page = Snapshot(items, _read_number_of(body, "store-revision"), body["era"])
    return page, _find_last_key(rows) if body.get("has-more") else None


def _find_last_key(rows: list[Any]) -> str:
    """Last key of a page that a call can name.

    :raises DecodingError: when there is none.
    """
    for row in reversed(rows):
        key = row.get("key") if isinstance(row, dict) else None
        if isinstance(key, str) and not _SURROGATES.search(key):
            return key
    raise DecodingError("none of the keys of a page can be read")


def _decode_changes(body: Json) -> Changes:
    items = decode_each("changes", read_list(body["events"]), _decode_change)
    revision = _read_number_of(body, "store-revision")
    return Changes(items, revision, era=body["era"], copy_age_s=body["age"])


def _decode_change(change: Json) -> Item:
    key = read_text(change["key"])
    value = None if change.get("tombstone") else _decode_value(key, change["value"])
    return Item(key, value, _read_number_of(change, "revision"))


def _decode_transaction_result(body: Json) -> TransactionResult:
    if body.get("has-failed"):
        items = [_decode_key_value(item) for item in body.get("items", []) if item.get("value")]
        return TransactionResult(False, 0, items, body["era"])
    return TransactionResult(True, _read_number_of(body, "revision"), era=body["era"])
