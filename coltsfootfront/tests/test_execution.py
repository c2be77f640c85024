"""Tests of attempts on the agent, from the router's message to the end of the response."""

import asyncio
import unittest
from typing import Any, cast

from coltsfootfront.common.errors import ErrorKind, ExecutionState, Failure
from coltsfootfront.common.pause import PauseDetector
from coltsfootfront.common.settings import AgentSettings
from coltsfootfront.configuration.activeconfiguration import ActiveConfiguration
from coltsfootfront.configuration.gossip import ConfigurationGossip
from coltsfootfront.keyvalue.claims import Claims
from coltsfootfront.peers.channel import ChannelPool
from coltsfootfront.peers.connection import Connection, ConnectionLostError, Identity
from coltsfootfront.peers.messages import (
    Acknowledge,
    Cancel,
    Chunk,
    End,
    Fail,
    Head,
    Message,
    Probe,
    ProbeReply,
    Resume,
    Run,
)
from coltsfootfront.targets.attempts import AttemptRegistry
from coltsfootfront.targets.cacheindex import CacheIndex
from coltsfootfront.targets.engine import GenerationEnd, TextChunk
from coltsfootfront.targets.execution import Backend, EngineBackend, ServiceBackend
from coltsfootfront.targets.requestserver import RequestServer
from coltsfootfront.targets.service import ServiceResponseHead
from coltsfootfront.tests.support import (
    FakeEngine,
    FakeService,
    InMemoryStore,
    ManualClock,
    install_document,
    make_configuration,
    run_ready_tasks,
    single_target_document,
)
from coltsfootfront.tests.test_admission import make_admission_controller

UNREACHABLE = Failure(ErrorKind.TARGET_UNREACHABLE, "", ExecutionState.NOT_RUN)
BROKEN = Failure(ErrorKind.TARGET_FAILED, "", ExecutionState.UNKNOWN)
ENGINE_DIED = Failure(ErrorKind.ENGINE_FAILED, "", ExecutionState.UNKNOWN)
GENERATION_END = GenerationEnd("stop", 3000, 2, 1000)
KEYS = [number.to_bytes(8, "big") for number in range(3)]


class RouterStub:
    """In-memory connection of a router to the agent."""

    peer = "router-1"
    peer_incarnation = ""

    def __init__(self, server: RequestServer, revision: int = 1) -> None:
        self._incoming: asyncio.Queue[Message | None] = asyncio.Queue()
        self._revision = revision
        self.sent: list[Message] = []
        self._task = asyncio.create_task(server.serve(cast(Connection, self)))

    async def receive(self) -> tuple[Message, int]:
        message = await self._incoming.get()
        if message is None:
            raise ConnectionLostError("cut")
        return message, self._revision

    async def send(self, message: Message) -> int:
        self.sent.append(message)
        return 0

    async def deliver(self, *messages: Message) -> None:
        """Pass messages to the agent and let it handle them."""
        for message in messages:
            self._incoming.put_nowait(message)
        await run_ready_tasks()

    async def disconnect(self) -> None:
        """Break the connection."""
        self._incoming.put_nowait(None)
        await asyncio.gather(self._task, return_exceptions=True)

    def outcome(self, stream: int = 1) -> str:
        """Text received on a stream, followed by how the stream ended.

        ``.`` stands for a complete response and ``...`` for a stream that has not ended; a failure
        is shown as ``kind/execution state``.
        """
        messages = [item for item in self.sent if getattr(item, "stream", 0) == stream]
        text = b"".join(item.data for item in messages if isinstance(item, Chunk)).decode()
        last = messages[-1] if messages else None
        if isinstance(last, End):
            return f"{text}."
        return f"{text}{last.kind}/{last.run}" if isinstance(last, Fail) else f"{text}..."


class ExecutionTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.clock = ManualClock()
        self.store = InMemoryStore(self.clock)
        self.engine = FakeEngine([TextChunk("one", 1), TextChunk("two", 1), GENERATION_END])
        self.server = self._make_engine_server()

    def _connect_router(self, server: RequestServer, revision: int = 1) -> RouterStub:
        router = RouterStub(server, revision)
        self.addAsyncCleanup(router.disconnect)
        return router

    def _make_server(self, sections: dict[str, dict[str, Any]]) -> RequestServer:
        self.configuration = make_configuration(sections)
        identity = Identity("agent", "a", "d", "x", lambda: self.configuration.number)
        self.identity = identity
        admission = make_admission_controller(self.configuration, self.clock)
        self.admission = admission
        settings = AgentSettings("a", "d", "x", "http://127.0.0.1:1", "t", "http://127.0.0.1:1")
        self.claims = Claims(self.store, self.clock, "a", 3600.0)
        server = RequestServer(
            settings,
            identity,
            self.clock,
            self.configuration,
            self._make_gossip(identity, self.configuration),
            admission,
            admission._queue,
            AttemptRegistry(self.clock, 15.0, 1000, 10_000),
            self.claims,
            PauseDetector(self.clock, 1000.0, lambda gap_s: None),
        )
        self.addAsyncCleanup(server.close)
        return server

    def _make_gossip(
        self, identity: Identity, configuration: ActiveConfiguration
    ) -> ConfigurationGossip:
        def no_channel(address: str) -> Any:
            raise AssertionError(address)

        return ConfigurationGossip(
            identity, configuration, ChannelPool(no_channel), self.clock, [], "", 2.0
        )

    def _make_engine_server(self, slots: int = 1) -> RequestServer:
        server = self._make_server(single_target_document(target={"slots": slots}))
        index = CacheIndex(self.clock)
        index.observe_incarnation("e1")
        server.backend = backend = EngineBackend(self.engine, index, self.clock)
        backend.prefills.on_change = self.admission._queue.start_ready
        self.addAsyncCleanup(backend.prefills.close)
        return server

    def _make_service_server(self, service: FakeService) -> RequestServer:
        server = self._make_server(single_target_document("service"))
        backend: Backend = ServiceBackend(service, 100)
        server.backend = backend
        return server

    def _make_run(self, request_id: str = "r", stream: int = 1, deadline_s: float = 60) -> Run:
        return Run(
            stream,
            request_id,
            1,
            "small",
            "",
            "completion",
            self.clock.unix_s() + deadline_s,
            b"{}",
            "m",
            "",
            "v1",
            keys=KEYS,
        )

    def _make_call(self, request_id: str = "r", key: str = "k", body: bytes = b"b") -> Run:
        return Run(
            1,
            request_id,
            1,
            "small",
            "s",
            "service",
            self.clock.unix_s() + 60,
            body,
            path="/file",
            idempotent=False,
            idempotency_key=key,
        )

    async def _outcome_of(self, server: RequestServer, run: Run) -> str:
        router = self._connect_router(server)
        await router.deliver(run)
        return router.outcome(run.stream)

    async def test_generation(self) -> None:
        """Guards against an engine request with a wrong salt, version or priority."""
        self.assertEqual("onetwo.", await self._outcome_of(self.server, self._make_run()))
        request = self.engine.requests[0]
        self.assertEqual(("m", "v1", 5), (request.model, request.version, request.priority))
        self.assertEqual(32, len(request.cache_salt))
        self.assertEqual(1, self.engine.closed_streams)

    async def test_probes(self) -> None:
        """Guards against probe replies that ignore cache, queue, reservations or refusals."""
        router = self._connect_router(self.server)
        await router.deliver(self._make_run())
        probe = Probe(1, "small", "m", "", "v1", [1, 3], [KEYS[0], KEYS[2]], 3)
        await router.deliver(probe)
        reply = router.sent[-1]
        assert isinstance(reply, ProbeReply)
        self.assertEqual(
            (3, "", "e1", 0.0), (reply.matched, reply.refusal, reply.engine, reply.load)
        )
        await router.deliver(probe)
        second = router.sent[-1]
        assert isinstance(second, ProbeReply)
        self.assertGreater(second.wait_s, 0, "the first probe reserved the slot")
        await router.deliver(Probe(2, "stranger", "m", "", "v1", [], [], 0))
        refused = router.sent[-1]
        assert isinstance(refused, ProbeReply)
        self.assertEqual("forbidden", refused.refusal)

    async def test_failures_of_the_engine(self) -> None:
        """Guards against success without the engine's end marker, and a wrong execution state."""
        cases: list[tuple[list[Any], str]] = [
            ([TextChunk("one", 1), ENGINE_DIED], "oneengine_failed/unknown"),
            ([TextChunk("one", 1)], "oneengine_failed/unknown"),
            ([], "engine_failed/unknown"),
            ([UNREACHABLE], "target_unreachable/not_run"),
            ([Failure(ErrorKind.WRONG_VERSION)], "wrong_version/not_run"),
        ]
        for number, (parts, expected) in enumerate(cases):
            with self.subTest(expected=expected, parts=len(parts)):
                self.engine.items = parts
                run = self._make_run(f"r{number}")
                self.assertEqual(expected, await self._outcome_of(self.server, run))
                self.assertEqual(0, self.admission._queue.running, "the slot is free again")

    async def test_paused_agent_runs_nothing_past_the_deadline(self) -> None:
        """Guards against running a request whose deadline passed during a pause of the agent."""
        proceed = asyncio.Event()
        self.engine.items = [proceed, TextChunk("one", 1), GENERATION_END]
        router = self._connect_router(self.server)
        await router.deliver(self._make_run("first"), self._make_run("second", 2, deadline_s=10))
        self.clock.advance(20)
        proceed.set()
        await run_ready_tasks()
        self.assertEqual("one.", router.outcome(1))
        self.assertEqual("deadline_exceeded/not_run", router.outcome(2))
        await router.deliver(self._make_run("third", 3, deadline_s=-1))
        self.assertEqual("deadline_exceeded/not_run", router.outcome(3))
        self.assertEqual(1, len(self.engine.requests))

    async def test_terms_are_rechecked_after_the_wait(self) -> None:
        """Guards against serving a customer whose terms ended while it waited."""
        proceed = asyncio.Event()
        self.engine.items = [proceed, TextChunk("one", 1), GENERATION_END]
        router = self._connect_router(self.server)
        await router.deliver(self._make_run("first"), self._make_run("second", 2))
        install_document(
            self.configuration, 2, single_target_document(customers=["large"], target={"slots": 1})
        )
        proceed.set()
        await run_ready_tasks()
        self.assertEqual(("one.", "forbidden/not_run"), (router.outcome(1), router.outcome(2)))

    async def test_a_shared_prompt_is_computed_once(self) -> None:
        """Guards against concurrent requests that compute the same blocks."""
        self.server = self._make_engine_server(slots=4)
        proceed = asyncio.Event()
        self.engine.items = [proceed, TextChunk("one", 1), GENERATION_END]
        router = self._connect_router(self.server)
        other = self._make_run("other", 3)
        other.keys = [b"another-"]
        await router.deliver(self._make_run("first"), self._make_run("second", 2), other)
        forwarded = [request.request_id for request in self.engine.requests]
        self.assertEqual(["first-1", "other-1"], forwarded, "the second waits without a slot")
        probe = Probe(1, "small", "m", "", "v1", [3], [KEYS[2]], 3, hold=False)
        await router.deliver(probe)
        reply = router.sent[-1]
        assert isinstance(reply, ProbeReply)
        self.assertEqual(3, reply.matched, "the blocks will be cached")
        self.assertAlmostEqual(0.2, reply.wait_s, delta=0.01)
        proceed.set()
        await run_ready_tasks()
        self.assertEqual(("one.", "one.", "one."), tuple(map(router.outcome, (1, 2, 3))))

    async def test_wait_for_shared_blocks_is_bounded(self) -> None:
        """Guards against an endless wait for a prompt that the engine does not complete."""
        self.server = self._make_engine_server(slots=4)
        self.engine.items = [asyncio.Event()]
        router = self._connect_router(self.server)
        await router.deliver(self._make_run("first"), self._make_run("second", 2))
        for _ in range(40):
            self.clock.advance(0.02)
            await run_ready_tasks(5)
        self.assertEqual(2, len(self.engine.requests))

    async def test_cancel(self) -> None:
        """Guards against work for a caller that has gone, and a wrong ``not_run``."""
        proceed = asyncio.Event()
        self.engine.items = [TextChunk("one", 1), proceed]
        router = self._connect_router(self.server)
        await router.deliver(self._make_run("first"), self._make_run("second", 2))
        await router.deliver(Cancel(2, "second", 1), Cancel(1, "first", 1))
        self.assertEqual("cancelled/not_run", router.outcome(2))
        self.assertEqual("onecancelled/unknown", router.outcome(1))
        self.assertEqual((1, 1), (len(self.engine.requests), self.engine.closed_streams))
        self.assertFalse(self.server.is_busy)

    async def test_run_after_its_cancel_or_resume(self) -> None:
        """Guards against running an attempt that was reported as not run."""
        router = self._connect_router(self.server)
        incarnation = self.identity.incarnation
        messages = {1: Cancel(1, "a", 1), 2: Resume(2, "b", 1, 0, incarnation)}
        for stream, message in messages.items():
            await router.deliver(message)
            self.assertTrue(router.outcome(stream).endswith("/not_run"), router.outcome(stream))
        await router.deliver(self._make_run("a", 1), self._make_run("b", 2))
        self.assertEqual("unknown_stream/not_run", router.outcome(1))
        self.assertEqual("unknown_stream/not_run", router.outcome(2))
        await router.deliver(Resume(3, "c", 1, 0, "another incarnation"))
        self.assertEqual("unknown_stream/unknown", router.outcome(3))
        self.assertEqual([], self.engine.requests)

    async def test_a_repeated_run_is_executed_once(self) -> None:
        """Guards against two executions of one attempt, also after its response has expired."""
        first, second = self._connect_router(self.server), self._connect_router(self.server)
        run = self._make_run()
        await first.deliver(run, run)
        await second.deliver(run)
        self.assertEqual(("onetwo.", "onetwo."), (first.outcome(), second.outcome()))
        self.assertEqual(1, len(self.engine.requests))
        service = FakeService([ServiceResponseHead(200), b"ok"])
        server = self._make_service_server(service)
        call = self._make_call(key="")
        third = self._connect_router(server)
        await third.deliver(call)
        self.clock.advance(16)
        server._attempts.expire()
        await third.deliver(call)
        self.assertEqual("okunknown_stream/unknown", third.outcome())
        self.assertEqual(1, len(service.calls))

    async def test_resume_on_another_connection(self) -> None:
        """Guards against lost or duplicated text when a connection breaks."""
        proceed = asyncio.Event()
        self.engine.items = [TextChunk("one", 1), proceed, TextChunk("two", 1), GENERATION_END]
        first, second = self._connect_router(self.server), self._connect_router(self.server)
        await first.deliver(self._make_run())
        await first.disconnect()
        await second.deliver(Resume(7, "r", 1, 1, self.identity.incarnation), Acknowledge(7, 1, 3))
        proceed.set()
        await run_ready_tasks()
        self.assertEqual(("one...", "two."), (first.outcome(), second.outcome(7)))

    async def test_a_generation_is_cancelled_if_its_router_does_not_reconnect(self) -> None:
        """Guards against a generation that runs on without a router to receive it."""
        self.engine.items = [TextChunk("one", 1), asyncio.Event()]
        router = self._connect_router(self.server)
        await router.deliver(self._make_run())
        await router.disconnect()
        expiry = asyncio.create_task(self.server.run_expiry())
        await run_ready_tasks()
        self.clock.advance(20)
        await run_ready_tasks()
        self.assertEqual(1, self.engine.closed_streams)
        expiry.cancel()

    async def test_requests_after_a_pause_wait_for_the_check(self) -> None:
        """Guards against serving at a revision that was replaced during a pause of the agent."""
        self.admission.revision_checked = False
        router = self._connect_router(self.server)
        await router.deliver(self._make_run())
        self.assertEqual([], self.engine.requests)
        install_document(self.configuration, 2, single_target_document(customers=["large"]))
        self.admission.revision_checked = True
        await run_ready_tasks()
        self.assertEqual("forbidden/not_run", router.outcome())

    async def test_request_from_a_newer_revision(self) -> None:
        """Guards against admission by an older document than the router's."""
        router = self._connect_router(self.server, revision=2)
        await router.deliver(self._make_run("first"))
        self.assertEqual("pull", router.sent[-1].TYPE)
        self.assertEqual([], self.engine.requests)
        install_document(self.configuration, 2, single_target_document(target={"slots": 1}))
        await run_ready_tasks()
        self.assertEqual("onetwo.", router.outcome())
        newer = self._connect_router(self.server, revision=3)
        await newer.deliver(self._make_run("second"))
        await asyncio.sleep(1.2)
        self.assertEqual("stale_revision/not_run", newer.outcome())

    async def test_claimed_calls(self) -> None:
        """Guards against two executions of a call with an idempotency key under faults."""
        created = ServiceResponseHead(201, (("Location", "/1"),))
        cases: list[tuple[str, list[Any], str, list[str], str, str, int]] = [
            ("completed", [created, b"ok"], "ok", [], "ok.", "ok.", 1),
            ("store down before", [created], "ok", ["down"], "store_unavailable/not_run", ".", 1),
            (
                "store's reply to the claim lost",
                [created, b"ok"],
                "ok",
                ["ok", "lost"],
                "ok.",
                "ok.",
                1,
            ),
            ("store down after", [created, b"ok"], "down", [], "ok.", "in_progress/unknown", 1),
            ("broken", [BROKEN], "ok", [], "target_failed/unknown", "target_failed/unknown", 1),
            (
                "broken in the response",
                [created, b"o", BROKEN],
                "ok",
                [],
                "otarget_failed/unknown",
                "target_failed/unknown",
                1,
            ),
            ("not sent", [UNREACHABLE], "ok", [], "target_unreachable/not_run", "ok.", 2),
            (
                "large response",
                [created, b"x" * 101],
                "ok",
                [],
                "x" * 101 + ".",
                "conflict/completed",
                1,
            ),
        ]
        for name, parts, mode, faults, expected, repeated, calls in cases:
            with self.subTest(name):
                self.store = InMemoryStore(self.clock)
                service = FakeService(parts)
                first, claims = self._make_service_server(service), self.claims
                self.store.faults = list(faults)
                started = asyncio.Event()
                service.items = [started, *parts]
                router = self._connect_router(first)
                await router.deliver(self._make_call())
                self.store.mode = mode
                started.set()
                await run_ready_tasks()
                self.assertEqual(expected, router.outcome())
                await claims.flush()
                self.store.mode = "ok"
                if name == "not sent":
                    service.items = [created, b"ok"]
                second = self._make_service_server(service)
                self.assertEqual(repeated, await self._outcome_of(second, self._make_call("r2")))
                if name != "store down before":
                    other = await self._outcome_of(second, self._make_call("r3", body=b"other"))
                    self.assertEqual("key_reused/not_run", other)
                self.assertEqual(calls, len(service.calls))
                await claims.flush()
                if name == "store down after":
                    self.assertEqual("ok.", await self._outcome_of(second, self._make_call("r4")))

    async def test_forwarded_call_is_not_interrupted(self) -> None:
        """Guards against losing the outcome of a call whose caller has gone."""
        done = asyncio.Event()
        service = FakeService([ServiceResponseHead(200), done, b"ok"])
        server = self._make_service_server(service)
        router = self._connect_router(server)
        await router.deliver(self._make_call("r0"), Cancel(1, "r0", 1))
        self.assertEqual(
            "cancelled/not_run", router.outcome(), "the call was still waiting for its claim"
        )
        await router.deliver(self._make_call())
        await router.deliver(Cancel(1, "r", 1))
        self.assertEqual("cancelled/unknown", router.outcome())
        repeat = await self._outcome_of(server, self._make_call("r2"))
        self.assertEqual("in_progress/unknown", repeat)
        done.set()
        await run_ready_tasks()
        self.assertEqual("ok.", await self._outcome_of(server, self._make_call("r3")))
        self.assertEqual(1, len(service.calls))

    async def test_status_and_headers_of_services_are_forwarded(self) -> None:
        """Guards against a response that loses its status or headers."""
        service = FakeService([ServiceResponseHead(404, (("X-A", "b"),)), b"no"])
        router = self._connect_router(self._make_service_server(service))
        await router.deliver(self._make_call(key=""))
        heads = [item for item in router.sent if isinstance(item, Head)]
        self.assertEqual([(404, [["X-A", "b"]])], [(item.status, item.headers) for item in heads])
