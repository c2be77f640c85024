"""Administration API: the program ``coltsfootfront-admin``.

Instances are stateless and independent of each other; any number may run. Every change is a
compare-and-swap in the store.
"""

import asyncio
import json
import secrets
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Annotated, Any, cast

import cappa
import logbook
from aiohttp import web
from returns.result import Result, Success

from coltsfootfront import __version__
from coltsfootfront.common import metrics, runtime
from coltsfootfront.common.clock import Clock, SystemClock
from coltsfootfront.common.errors import ErrorKind, ExecutionState, Failure, FailureError
from coltsfootfront.common.logs import event
from coltsfootfront.common.settings import AdminSettings, load_or_exit
from coltsfootfront.common.supervisor import Supervisor
from coltsfootfront.configuration import schema
from coltsfootfront.configuration.activeconfiguration import ActiveConfiguration
from coltsfootfront.configuration.entries import (
    Entries,
    canonical_json,
    digest,
    join_document,
    split_document,
)
from coltsfootfront.configuration.gossip import ConfigurationGossip
from coltsfootfront.configuration.publisher import Publisher
from coltsfootfront.configuration.records import (
    ChangeRequest,
    Difference,
    Head,
    PublishedRevision,
    Rejection,
)
from coltsfootfront.keyvalue.etcd import EtcdStore
from coltsfootfront.keyvalue.store import Store
from coltsfootfront.operation.operatorauth import AuthenticatedOperator, authenticate
from coltsfootfront.peers.channel import Channel, ChannelPool
from coltsfootfront.peers.connection import Identity
from coltsfootfront.peers.peerqueries import PeerQueryClient
from coltsfootfront.serving.httpserver import CallerServer

log = logbook.Logger(__name__)

BODY_TIMEOUT_S = 10.0
REQUEST_TIMEOUT_S = 60.0
SHUTDOWN_TIMEOUT_S = 30.0
MAX_CONNECTIONS = 256
MAX_HEADER_BYTES = 8192
# Bounds memory: each request in progress may hold a body of max_body_bytes.
MAX_REQUESTS = 16
# Maximum age of the document that authenticates operators; limits a flood of unknown keys to one
# read of the store a second.
AUTHENTICATION_CACHE_S = 1.0
GOSSIP_INTERVAL_S = 2.0
IDLE_CHECK_S = 20.0
IDLE_CLOSE_S = 30.0
DRAIN_ATTEMPTS = 5
DEFAULT_HISTORY_LIMIT = 20
MAX_OPERATION_ID_CHARACTERS = 128

Json = dict[str, Any]


class ApiError(FailureError):
    """A failure with additional fields for the error object of the response."""

    def __init__(self, failure: Failure, details: Json | None = None) -> None:
        super().__init__(failure)
        self.details = details or {}


@dataclass(frozen=True, slots=True)
class Call:
    """One authenticated API request.

    :param body: decoded JSON object, empty for ``GET``.
    """

    request: web.BaseRequest
    operator: AuthenticatedOperator
    body: Json


Handler = Callable[[Call], Awaitable[Json]]


def _bad_request(message: str) -> ApiError:
    return ApiError(Failure(ErrorKind.BAD_REQUEST, message))


def _unwrap(result: Result[Any, Failure]) -> Any:
    if isinstance(result, Success):
        return result.unwrap()
    raise ApiError(result.failure())


def _error_response(failure: Failure, request_id: str, details: Json) -> web.Response:
    metrics.count_refusal(failure.kind.value)
    reason = failure.message
    log.info(event("call_refused", request=request_id, kind=failure.kind.value, reason=reason))
    error = {
        "kind": failure.kind.value,
        "message": failure.message,
        "run": failure.execution_state.value,
        "request_id": request_id,
        **details,
    }
    headers = {}
    if failure.effective_retry_after_s is not None:
        headers["Retry-After"] = str(max(1, round(failure.effective_retry_after_s)))
    return web.json_response(
        {"error": error}, status=failure.error_response.status, headers=headers
    )


class Admin(runtime.Program):
    """The administration API.

    :param settings: validated settings.
    :param clock: time source.
    :param store: key-value store; None creates a client for the address in the settings.
    """

    def __init__(self, settings: AdminSettings, clock: Clock, store: Store | None = None) -> None:
        self._settings = settings
        self._clock = clock
        self._store = store or EtcdStore(settings.store_address, settings.store_timeout_s)
        self._publisher = Publisher(self._store, clock)
        self._configuration = ActiveConfiguration()
        self._identity = Identity(
            "admin",
            settings.name,
            settings.data_centre,
            settings.peer_secret,
            lambda: self._configuration.number,
        )
        self._pool = ChannelPool(self._make_channel)
        self._gossip = ConfigurationGossip(
            self._identity,
            self._configuration,
            self._pool,
            clock,
            settings.seed_addresses,
            "",
            GOSSIP_INTERVAL_S,
        )
        self._peer_queries = PeerQueryClient(self._pool)
        self._supervisor = Supervisor("admin", clock)
        self._tasks: set[asyncio.Task[Any]] = set()
        self._runner: web.ServerRunner | None = None
        self._refresh_lock = asyncio.Lock()
        self._refreshed_s: float | None = None
        self._requests = 0
        self._is_draining = False
        self._routes = self._build_routes()
        self.address = ""

    async def start(self) -> None:
        """Start serving; the store need not be available."""
        await self._store.start()
        await self._gossip.start()
        self._supervisor.add("idle_channels", self._close_idle_channels)
        await self._supervisor.start()
        server = CallerServer(
            self._serve, MAX_CONNECTIONS, MAX_HEADER_BYTES, self._settings.max_body_bytes
        )
        self._runner = web.ServerRunner(server, shutdown_timeout=SHUTDOWN_TIMEOUT_S)
        await self._runner.setup()
        host, _, port = self._settings.http_address.rpartition(":")
        await web.TCPSite(self._runner, host, int(port)).start()
        bound_address = self._runner.addresses[0]
        self.address = f"{bound_address[0]}:{bound_address[1]}"
        log.info(event("admin_started", address=self.address))

    async def drain(self) -> None:
        """Drain this process: report not ready, then wait for load balancers to detect it.

        The wait takes ``drain_wait_s``. Withdrawing a target is the request ``/v1/drain``.
        """
        self._is_draining = True
        await self._clock.sleep(self._settings.drain_wait_s)

    async def close(self) -> None:
        """Finish requests in progress and release all resources."""
        if self._runner is not None:
            await self._runner.cleanup()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._supervisor.close()
        await self._gossip.close()
        await self._pool.close()
        await self._store.close()

    def _make_channel(self, address: str) -> Channel:
        return Channel(
            address,
            self._identity,
            self._clock,
            on_revision=self._gossip.on_peer_revision,
            on_request=self._gossip.on_server_message,
            idle_close_s=IDLE_CLOSE_S,
        )

    async def _close_idle_channels(self) -> None:
        while True:
            await self._clock.sleep(IDLE_CHECK_S)
            await self._pool.close_idle()

    def _build_routes(self) -> dict[str, dict[str, Handler]]:
        return {
            "/v1/schema": {"GET": self._get_schema},
            "/v1/document": {"GET": self._get_document},
            "/v1/validate": {"POST": self._validate},
            "/v1/diff": {"POST": self._diff},
            "/v1/apply": {"POST": self._apply},
            "/v1/history": {"GET": self._history},
            "/v1/rollback": {"POST": self._rollback},
            "/v1/status": {"GET": self._status},
            "/v1/drain": {"POST": self._drain_target},
            "/v1/explain": {"POST": self._explain},
        }

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        request_id = secrets.token_hex(8)
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT_S):
                return await self._dispatch(request)
        except ApiError as error:
            return _error_response(error.failure, request_id, error.details)
        except FailureError as error:
            return _error_response(error.failure, request_id, {})
        except TimeoutError:
            message = f"not finished within {REQUEST_TIMEOUT_S:.0f} s"
            failure = Failure(ErrorKind.DEADLINE_EXCEEDED, message, ExecutionState.UNKNOWN)
            return _error_response(failure, request_id, {})
        except Exception as error:
            log.error(event("request_failed", request=request_id, reason=repr(error)))
            failure = Failure(ErrorKind.INTERNAL, "internal error", ExecutionState.UNKNOWN)
            return _error_response(failure, request_id, {})

    async def _dispatch(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path == "/healthz":
            return web.json_response({"ok": True})
        if request.path == "/readyz":
            ready = not self._is_draining
            return web.json_response({"ready": ready}, status=200 if ready else 503)
        if request.path == "/metrics":
            return await metrics.handle_metrics(cast(web.Request, request))
        methods = self._routes.get(request.path)
        if methods is None:
            raise ApiError(Failure(ErrorKind.NOT_FOUND, "no such path"))
        handler = methods.get(request.method)
        if handler is None:
            message = f"allowed: {', '.join(methods)}"
            raise ApiError(Failure(ErrorKind.METHOD_NOT_ALLOWED, message))
        return await self._call(request, handler)

    async def _call(self, request: web.BaseRequest, handler: Handler) -> web.StreamResponse:
        if self._requests >= MAX_REQUESTS:
            raise ApiError(Failure(ErrorKind.OVERLOADED, "too many requests in progress"))
        self._requests += 1
        try:
            operator = await self._find_operator(request)
            body = await _read_body(request) if request.method == "POST" else {}
            return web.json_response(await handler(Call(request, operator, body)))
        finally:
            self._requests -= 1

    async def _find_operator(self, request: web.BaseRequest) -> AuthenticatedOperator:
        now_s = self._clock.monotonic_s()
        last_s = self._refreshed_s
        expired = last_s is None or now_s - last_s > AUTHENTICATION_CACHE_S
        if expired or self._configuration.number == 0:
            result = await self._refresh()
            # Without a document, it is unknown whether the bootstrap key is still valid.
            if not isinstance(result, Success) and self._configuration.number == 0:
                raise ApiError(result.failure())
        return self._authenticate(request)

    def _authenticate(self, request: web.BaseRequest) -> AuthenticatedOperator:
        operator: AuthenticatedOperator = _unwrap(
            authenticate(
                request.headers.get("Authorization", ""),
                self._configuration.document,
                self._settings.bootstrap_key_hash,
            )
        )
        return operator

    async def _authorize_change(self, call: Call) -> None:
        """Authorize against the newest document instead of the cached one."""
        _unwrap(await self._refresh())
        operator = self._authenticate(call.request)
        if not operator.may_apply:
            message = f"operator {operator.name} may not change the document"
            raise ApiError(Failure(ErrorKind.FORBIDDEN, message))

    async def _refresh(self) -> Result[Head, Failure]:
        """Update the active configuration to the newest revision in the store."""
        async with self._refresh_lock:
            # Also set on failure, so that not every request waits for an unavailable store.
            self._refreshed_s = self._clock.monotonic_s()
            result = await self._publisher.read_head()
            if not isinstance(result, Success):
                return result
            head = result.unwrap()
            if head.record is not None and head.revision > self._configuration.number:
                entries = await self._publisher.read_entries(
                    head.record, self._configuration.entries
                )
                if not isinstance(entries, Success):
                    return entries.map(lambda _: head)
                self._configuration.install(head.revision, entries.unwrap(), head.record.digest)
            return result

    async def _refresh_if_possible(self) -> None:
        result = await self._refresh()
        if not isinstance(result, Success) and self._configuration.number == 0:
            raise ApiError(result.failure())

    async def _get_schema(self, call: Call) -> Json:
        return schema.SCHEMA

    async def _get_document(self, call: Call) -> Json:
        await self._refresh_if_possible()
        return {
            "revision": self._configuration.number,
            "digest": self._configuration.digest,
            "document": join_document(self._configuration.entries),
        }

    async def _validate(self, call: Call) -> Json:
        entries = await _parse_entries(call.body)
        return {"valid": True, "digest": digest(entries)}

    async def _diff(self, call: Call) -> Json:
        entries = await _parse_entries(call.body)
        await self._refresh_if_possible()
        old = self._configuration.entries
        difference = Difference.between(old, entries)
        details = {
            key: {"old": _decode_entry(old.get(key)), "new": _decode_entry(entries.get(key))}
            for key in [*difference.added, *difference.changed, *difference.removed]
        }
        return {
            "revision": self._configuration.number,
            "difference": difference.as_json(),
            "entries": details,
        }

    async def _apply(self, call: Call) -> Json:
        await self._authorize_change(call)
        change = _parse_change(call)
        entries = await _parse_entries(call.body)
        return self._complete_change(await self._publisher.apply(entries, change), call)

    async def _history(self, call: Call) -> Json:
        limit = call.request.query.get("limit", str(DEFAULT_HISTORY_LIMIT))
        if not limit.isdigit() or int(limit) < 1:
            raise _bad_request("limit: allowed: an integer from 1")
        records = _unwrap(await self._publisher.read_history(int(limit)))
        revisions = [asdict(record) for record in records]
        for revision in revisions:
            del revision["chunks"]
        return {"revisions": revisions}

    async def _rollback(self, call: Call) -> Json:
        await self._authorize_change(call)
        change = _parse_change(call)
        revision = _parse_integer(call.body, "revision", 1)
        old: PublishedRevision = _unwrap(
            await self._publisher.read_revision(revision, self._configuration.entries)
        )
        await _require_valid(join_document(old.entries))
        result = await self._publisher.apply(old.entries, change, restored=revision)
        return self._complete_change(result, call)

    async def _drain_target(self, call: Call) -> Json:
        """Withdraw a target or take its withdrawal back; this process is not drained."""
        await self._authorize_change(call)
        target = call.body.get("target")
        withdrawn = call.body.get("withdrawn", True)
        if not isinstance(target, str) or not isinstance(withdrawn, bool):
            raise _bad_request("target: allowed: a name; withdrawn: allowed: true or false")
        operation_id = _parse_operation_id(call.body)
        for _ in range(DRAIN_ATTEMPTS):
            _unwrap(await self._refresh())
            if self._is_withdrawn(target) is withdrawn:
                return {
                    "revision": self._configuration.number,
                    "digest": self._configuration.digest,
                }
            result = await self._set_withdrawn(call, target, withdrawn, operation_id)
            if isinstance(result, Success):
                return self._complete_change(result, call)
            # The change affects a single entry, so it can be reapplied to a newer document.
            if result.failure().failure.kind is not ErrorKind.CONFLICT:
                break
            metrics.count_retry(ErrorKind.CONFLICT.value)
        return self._complete_change(result, call)

    def _is_withdrawn(self, target: str) -> bool:
        entry = self._configuration.document.targets.get(target)
        if entry is None:
            raise ApiError(Failure(ErrorKind.NOT_FOUND, f"target {target!r} does not exist"))
        return entry.withdrawn

    async def _set_withdrawn(
        self, call: Call, target: str, withdrawn: bool, operation_id: str
    ) -> Result[PublishedRevision, Rejection]:
        key = f"targets/{target}"
        entry = {**json.loads(self._configuration.entries[key]), "withdrawn": withdrawn}
        entries = {**self._configuration.entries, key: canonical_json(entry)}
        change = ChangeRequest(operation_id, call.operator.name, self._configuration.number)
        return await self._publisher.apply(entries, change)

    def _complete_change(self, result: Result[PublishedRevision, Rejection], call: Call) -> Json:
        if not isinstance(result, Success):
            raise _rejection_error(result.failure())
        published = result.unwrap()
        record = published.record
        base = self._configuration.number
        if self._configuration.install(record.revision, published.entries, record.digest):
            self._spawn(self._push_to_seeds(base))
            self._spawn(self._prune(record.revision))
        log.info(event("change_applied", revision=record.revision, operator=call.operator.name))
        return {
            "revision": record.revision,
            "digest": record.digest,
            "operation_id": record.operation_id,
        }

    async def _push_to_seeds(self, base: int) -> None:
        seeds = self._settings.seed_addresses
        await asyncio.gather(*(self._gossip.send_delta(address, base) for address in seeds))

    async def _prune(self, newest: int) -> None:
        result = await self._publisher.prune(newest)
        if not isinstance(result, Success):
            log.warning(event("prune_failed", revision=newest, reason=result.failure().message))

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _status(self, call: Call) -> Json:
        await self._refresh_if_possible()
        names_by_address = {address: "" for address in self._settings.seed_addresses}
        for name, target in self._configuration.document.targets.items():
            names_by_address[target.agent_address] = name
        rows = await self._peer_queries.fetch_states(names_by_address)
        return {"revision": self._configuration.number, "processes": rows}

    async def _explain(self, call: Call) -> Json:
        explain_request = {key: call.body.get(key, "") for key in ("customer", "model", "prompt")}
        if not all(isinstance(value, str) for value in explain_request.values()):
            raise _bad_request("customer, model and prompt: allowed: text")
        reply = await self._peer_queries.explain(
            self._settings.seed_addresses, canonical_json(explain_request)
        )
        if reply is None:
            raise ApiError(Failure(ErrorKind.TARGET_UNREACHABLE, "no router answered"))
        return reply


def _decode_entry(value: bytes | None) -> Any:
    return None if value is None else json.loads(value)


async def _read_body(request: web.BaseRequest) -> Json:
    try:
        async with asyncio.timeout(BODY_TIMEOUT_S):
            data = await request.read()
    except web.HTTPRequestEntityTooLarge as error:
        message = "body exceeds max_body_bytes of the settings"
        raise ApiError(Failure(ErrorKind.BODY_TOO_LARGE, message)) from error
    except TimeoutError as error:
        raise _bad_request(f"body was not received within {BODY_TIMEOUT_S:.0f} s") from error
    try:
        body = schema.parse(data)
    except (ValueError, RecursionError) as error:
        raise _bad_request(f"body: {error}: allowed: a JSON object") from error
    if not isinstance(body, dict):
        raise _bad_request("body: allowed: a JSON object")
    return body


async def _parse_entries(body: Json) -> Entries:
    document = body.get("document")
    if not isinstance(document, dict):
        raise _bad_request("document: allowed: a JSON object")
    await _require_valid(document)
    return split_document(document)


async def _require_valid(document: Json) -> None:
    # Runs in a thread, because validating a full-size document would block the event loop.
    faults = await asyncio.to_thread(schema.validate, document)
    if faults:
        details = {"faults": [fault.as_json() for fault in faults]}
        raise ApiError(Failure(ErrorKind.INVALID_DOCUMENT, str(faults[0])), details)


def _parse_integer(body: Json, key: str, minimum: int) -> int:
    value = body.get(key)
    if not isinstance(value, int) or isinstance(value, bool) or value < minimum:
        raise _bad_request(f"{key}: allowed: an integer from {minimum}")
    return value


def _parse_operation_id(body: Json) -> str:
    value = body.get("operation_id", "")
    if not isinstance(value, str) or len(value) > MAX_OPERATION_ID_CHARACTERS:
        limit = MAX_OPERATION_ID_CHARACTERS
        raise _bad_request(f"operation_id: allowed: text of at most {limit} characters")
    return value or secrets.token_hex(16)


def _parse_change(call: Call) -> ChangeRequest:
    expected = _parse_integer(call.body, "expected_revision", 0)
    return ChangeRequest(_parse_operation_id(call.body), call.operator.name, expected)


def _rejection_error(rejection: Rejection) -> ApiError:
    details: Json = {}
    if rejection.failure.kind is ErrorKind.CONFLICT:
        details["revision"] = rejection.revision
        if rejection.difference is not None:
            details["difference"] = rejection.difference.as_json()
    return ApiError(rejection.failure, details)


@cappa.command(name="coltsfootfront-admin")
@dataclass
class Arguments:
    """Administration API of coltsfootfront."""

    config: Annotated[Path, cappa.Arg(long=True, help="TOML settings file.")]


def main() -> None:
    """Run the program until SIGTERM."""
    arguments = cappa.parse(Arguments, version=__version__)
    settings = load_or_exit(arguments.config, AdminSettings)
    runtime.serve(Admin(settings, SystemClock()), settings.name, settings.log_level)


if __name__ == "__main__":
    main()
