"""Tests of attempts at the agent, from the router's message to the end of the answer."""

import asyncio
import unittest
from typing import Any, cast

from coltsfootfront.common.errors import ErrorKind, Failure, ExecutionState
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
from coltsfootfront.targets.engine import GenerationEnd, TextChunk
from coltsfootfront.targets.execution import Backend, EngineBackend, ServiceBackend
from coltsfootfront.targets.cacheindex import CacheIndex
from coltsfootfront.targets.requestserver import RequestServer
from coltsfootfront.targets.service import ServiceResponseHead
from coltsfootfront.targets.attempts import Streams
from coltsfootfront.tests.support import (
    FakeEngine,
    FakeService,
    ManualClock,
    InMemoryStore,
    make_configuration,
    single_target_document,
    install_document,
    run_ready_tasks,
)
from coltsfootfront.tests.test_admission import make_admission_controller

UNREACHABLE = Failure(ErrorKind.TARGET_UNREACHABLE, "", ExecutionState.NOT_RUN)
BROKEN = Failure(ErrorKind.TARGET_FAILED, "", ExecutionState.UNKNOWN)
ENGINE_DIED = Failure(ErrorKind.ENGINE_FAILED, "", ExecutionState.UNKNOWN)
FINISH = GenerationEnd("stop", 3000, 2, 1000)
KEYS = [number.to_bytes(8, "big") for number in range(3)]


class Router:
    """A router's connection to the agent, without a network."""

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

    async def say(self, *messages: Message) -> None:
        """Send messages and let the agent act on them."""
        for message in messages:
            self._incoming.put_nowait(message)
        await run_ready_tasks()

    async def cut(self) -> None:
        """Break the connection."""
        self._incoming.put_nowait(None)
        await asyncio.gather(self._task, return_exceptions=True)

    def outcome(self, stream: int = 1) -> str:
        """Text of a stream's answer, and how it ended."""
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
        self.engine = FakeEngine([TextChunk("one", 1), TextChunk("two", 1), FINISH])
        self.server = self._engine_agent()

    def _router(self, server: RequestServer, revision: int = 1) -> Router:
        router = Router(server, revision)
        self.addAsyncCleanup(router.cut)
        return router

    def _agent(self, sections: dict[str, dict[str, Any]]) -> RequestServer:
        self.revision = make_configuration(sections)
        identity = Identity("agent", "a", "d", "x", lambda: self.revision.number)
        self.identity = identity
        gate = make_admission_controller(self.revision, self.clock)
        self.gate = gate
        settings = AgentSettings("a", "d", "x", "http://127.0.0.1:1", "t", "http://127.0.0.1:1")
        self.claims = Claims(self.store, self.clock, "a", 3600.0)
        server = RequestServer(
            settings,
            identity,
            self.clock,
            self.revision,
            self._spread(identity, self.revision),
            gate,
            gate._queue,
            Streams(self.clock, 15.0, 1000, 10_000),
            self.claims,
            PauseDetector(self.clock, 1000.0, lambda gap_s: None),
        )
        self.addAsyncCleanup(server.close)
        return server

    def _spread(self, identity: Identity, revision: ActiveConfiguration) -> ConfigurationGossip:
        def no_channel(address: str) -> Any:
            raise AssertionError(address)

        return ConfigurationGossip(identity, revision, ChannelPool(no_channel), self.clock, [], "", 2.0)

    def _engine_agent(self, slots: int = 1) -> RequestServer:
        server = self._agent(single_target_document(target={"slots": slots}))
        index = CacheIndex(self.clock)
        index.observe_incarnation("e1")
        server.backend = backend = EngineBackend(self.engine, index, self.clock)
        backend.prefills.on_change = self.gate._queue.look_again
        self.addAsyncCleanup(backend.prefills.close)
        return server

    def _service_agent(self, service: FakeService) -> RequestServer:
        server = self._agent(single_target_document("service"))
        backend: Backend = ServiceBackend(service, 100)
        server.backend = backend
        return server

    def _run(self, request_id: str = "r", stream: int = 1, deadline_s: float = 60) -> Run:
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

    def _call(self, request_id: str = "r", key: str = "k", body: bytes = b"b") -> Run:
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
        router = self._router(server)
        await router.say(run)
        return router.outcome(run.stream)

    async def test_a_generation(self) -> None:
        """Guards against a request that reaches the engine with another salt or version."""
        self.assertEqual("onetwo.", await self._outcome_of(self.server, self._run()))
        request = self.engine.requests[0]
        self.assertEqual(("m", "v1", 5), (request.model, request.version, request.priority))
        self.assertEqual(32, len(request.cache_salt))
        self.assertEqual(1, self.engine.closed_streams)

    async def test_probes(self) -> None:
        """Guards against a probe that knows nothing of cache, queue, holds and refusals."""
        router = self._router(self.server)
        await router.say(self._run())
        probe = Probe(1, "small", "m", "", "v1", [1, 3], [KEYS[0], KEYS[2]], 3)
        await router.say(probe)
        reply = router.sent[-1]
        assert isinstance(reply, ProbeReply)
        self.assertEqual(
            (3, "", "e1", 0.0), (reply.matched, reply.refusal, reply.engine, reply.load)
        )
        await router.say(probe)
        second = router.sent[-1]
        assert isinstance(second, ProbeReply)
        self.assertGreater(second.wait_s, 0, "the first probe has reserved the slot")
        await router.say(Probe(2, "stranger", "m", "", "v1", [], [], 0))
        refused = router.sent[-1]
        assert isinstance(refused, ProbeReply)
        self.assertEqual("forbidden", refused.refusal)

    async def test_failures_of_the_engine(self) -> None:
        """Guards against a clean end without the engine's end mark, and a false run state."""
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
                run = self._run(f"r{number}")
                self.assertEqual(expected, await self._outcome_of(self.server, run))
                self.assertEqual(0, self.gate._queue.running, "the slot is free again")

    async def test_a_frozen_agent_runs_nothing_past_its_deadline(self) -> None:
        """Guards against running what the router has answered while the agent stood still."""
        gate = asyncio.Event()
        self.engine.items = [gate, TextChunk("one", 1), FINISH]
        router = self._router(self.server)
        await router.say(self._run("first"), self._run("second", 2, deadline_s=10))
        self.clock.advance(20)
        gate.set()
        await run_ready_tasks()
        self.assertEqual("one.", router.outcome(1))
        self.assertEqual("deadline_exceeded/not_run", router.outcome(2))
        await router.say(self._run("third", 3, deadline_s=-1))
        self.assertEqual("deadline_exceeded/not_run", router.outcome(3))
        self.assertEqual(1, len(self.engine.requests))

    async def test_terms_are_judged_again_after_the_wait(self) -> None:
        """Guards against serving a customer whose terms ended while it waited."""
        gate = asyncio.Event()
        self.engine.items = [gate, TextChunk("one", 1), FINISH]
        router = self._router(self.server)
        await router.say(self._run("first"), self._run("second", 2))
        install_document(self.revision, 2, single_target_document(customers=["large"], target={"slots": 1}))
        gate.set()
        await run_ready_tasks()
        self.assertEqual(("one.", "forbidden/not_run"), (router.outcome(1), router.outcome(2)))

    async def test_a_shared_prompt_is_computed_once(self) -> None:
        """Guards against two requests that compute the same blocks side by side."""
        self.server = self._engine_agent(slots=4)
        go_on = asyncio.Event()
        self.engine.items = [go_on, TextChunk("one", 1), FINISH]
        router = self._router(self.server)
        other = self._run("other", 3)
        other.keys = [b"another-"]
        await router.say(self._run("first"), self._run("second", 2), other)
        forwarded = [request.request_id for request in self.engine.requests]
        self.assertEqual(["first-1", "other-1"], forwarded, "the second is held, without a slot")
        probe = Probe(1, "small", "m", "", "v1", [3], [KEYS[2]], 3, hold=False)
        await router.say(probe)
        reply = router.sent[-1]
        assert isinstance(reply, ProbeReply)
        self.assertEqual(3, reply.matched, "it will be cached")
        self.assertAlmostEqual(0.2, reply.wait_s, delta=0.01)
        go_on.set()
        await run_ready_tasks()
        self.assertEqual(("one.", "one.", "one."), tuple(map(router.outcome, (1, 2, 3))))

    async def test_a_held_request_does_not_wait_for_ever(self) -> None:
        """Guards against a hold behind a prompt that the engine does not get done."""
        self.server = self._engine_agent(slots=4)
        self.engine.items = [asyncio.Event()]
        router = self._router(self.server)
        await router.say(self._run("first"), self._run("second", 2))
        for _ in range(40):
            self.clock.advance(0.02)
            await run_ready_tasks(5)
        self.assertEqual(2, len(self.engine.requests))

    async def test_cancel(self) -> None:
        """Guards against work for a caller that has gone, and a false ``not_run``."""
        gate = asyncio.Event()
        self.engine.items = [TextChunk("one", 1), gate]
        router = self._router(self.server)
        await router.say(self._run("first"), self._run("second", 2))
        await router.say(Cancel(2, "second", 1), Cancel(1, "first", 1))
        self.assertEqual("cancelled/not_run", router.outcome(2))
        self.assertEqual("onecancelled/unknown", router.outcome(1))
        self.assertEqual((1, 1), (len(self.engine.requests), self.engine.closed_streams))
        self.assertFalse(self.server.is_busy)

    async def test_a_run_behind_its_cancel_or_resume(self) -> None:
        """Guards against running an attempt that was reported as not run."""
        router = self._router(self.server)
        incarnation = self.identity.incarnation
        asked = {1: Cancel(1, "a", 1), 2: Resume(2, "b", 1, 0, incarnation)}
        for stream, message in asked.items():
            await router.say(message)
            self.assertTrue(router.outcome(stream).endswith("/not_run"), router.outcome(stream))
        await router.say(self._run("a", 1), self._run("b", 2))
        self.assertEqual("unknown_stream/not_run", router.outcome(1))
        self.assertEqual("unknown_stream/not_run", router.outcome(2))
        await router.say(Resume(3, "c", 1, 0, "another incarnation"))
        self.assertEqual("unknown_stream/unknown", router.outcome(3))
        self.assertEqual([], self.engine.requests)

    async def test_a_repeated_run_is_executed_once(self) -> None:
        """Guards against two executions of one attempt, also after its answer has expired."""
        first, second = self._router(self.server), self._router(self.server)
        run = self._run()
        await first.say(run, run)
        await second.say(run)
        self.assertEqual(("onetwo.", "onetwo."), (first.outcome(), second.outcome()))
        self.assertEqual(1, len(self.engine.requests))
        service = FakeService([ServiceResponseHead(200), b"ok"])
        server = self._service_agent(service)
        call = self._call(key="")
        third = self._router(server)
        await third.say(call)
        self.clock.advance(16)
        server._streams.expire()
        await third.say(call)
        self.assertEqual("okunknown_stream/unknown", third.outcome())
        self.assertEqual(1, len(service.calls))

    async def test_resume_on_another_connection(self) -> None:
        """Guards against text that is lost or doubled when a connection breaks."""
        gate = asyncio.Event()
        self.engine.items = [TextChunk("one", 1), gate, TextChunk("two", 1), FINISH]
        first, second = self._router(self.server), self._router(self.server)
        await first.say(self._run())
        await first.cut()
        await second.say(Resume(7, "r", 1, 1, self.identity.incarnation), Acknowledge(7, 1, 3))
        gate.set()
        await run_ready_tasks()
        self.assertEqual(("one...", "two."), (first.outcome(), second.outcome(7)))

    async def test_a_router_that_never_returns(self) -> None:
        """Guards against generating for nobody, and against breaking a call off."""
        self.engine.items = [TextChunk("one", 1), asyncio.Event()]
        router = self._router(self.server)
        await router.say(self._run())
        await router.cut()
        expiry = asyncio.create_task(self.server.expire())
        await run_ready_tasks()
        self.clock.advance(20)
        await run_ready_tasks()
        self.assertEqual(1, self.engine.closed_streams)
        expiry.cancel()

    async def test_requests_after_a_pause_wait_for_the_check(self) -> None:
        """Guards against serving on a revision that passed while the agent stood still."""
        self.gate.settled = False
        router = self._router(self.server)
        await router.say(self._run())
        self.assertEqual([], self.engine.requests)
        install_document(self.revision, 2, single_target_document(customers=["large"]))
        self.gate.settled = True
        await run_ready_tasks()
        self.assertEqual("forbidden/not_run", router.outcome())

    async def test_a_request_ahead_of_the_agents_revision(self) -> None:
        """Guards against judging a request by a document older than its router's."""
        router = self._router(self.server, revision=2)
        await router.say(self._run("first"))
        self.assertEqual("pull", router.sent[-1].TYPE)
        self.assertEqual([], self.engine.requests)
        install_document(self.revision, 2, single_target_document(target={"slots": 1}))
        await run_ready_tasks()
        self.assertEqual("onetwo.", router.outcome())
        late = self._router(self.server, revision=3)
        await late.say(self._run("second"))
        await asyncio.sleep(1.2)
        self.assertEqual("stale_revision/not_run", late.outcome())

    async def test_claimed_calls(self) -> None:
        """Guards against two executions of a call with a key, whatever fails around it."""
        created = ServiceResponseHead(201, (("Location", "/1"),))
        cases: list[tuple[str, list[Any], str, list[str], str, str, int]] = [
            ("completed", [created, b"ok"], "ok", [], "ok.", "ok.", 1),
            ("store down before", [created], "ok", ["down"], "store_unavailable/not_run", ".", 1),
            ("claim's answer lost", [created, b"ok"], "ok", ["ok", "lost"], "ok.", "ok.", 1),
            ("store down after", [created, b"ok"], "down", [], "ok.", "in_progress/unknown", 1),
            ("broken", [BROKEN], "ok", [], "target_failed/unknown", "target_failed/unknown", 1),
            (
                "broken in the answer",
                [created, b"o", BROKEN],
                "ok",
                [],
                "otarget_failed/unknown",
                "target_failed/unknown",
                1,
            ),
            ("not sent", [UNREACHABLE], "ok", [], "target_unreachable/not_run", "ok.", 2),
            (
                "large answer",
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
                first, claims = self._service_agent(service), self.claims
                self.store.faults = list(faults)
                started = asyncio.Event()
                service.items = [started, *parts]
                router = self._router(first)
                await router.say(self._call())
                self.store.mode = mode
                started.set()
                await run_ready_tasks()
                self.assertEqual(expected, router.outcome())
                await claims.flush()
                self.store.mode = "ok"
                if name == "not sent":
                    service.items = [created, b"ok"]
                second = self._service_agent(service)
                self.assertEqual(repeated, await self._outcome_of(second, self._call("r2")))
                if name != "store down before":
                    other = await self._outcome_of(second, self._call("r3", body=b"other"))
                    self.assertEqual("key_reused/not_run", other)
                self.assertEqual(calls, len(service.calls))
                await claims.flush()
                if name == "store down after":
                    self.assertEqual("ok.", await self._outcome_of(second, self._call("r4")))

    async def test_a_call_is_not_broken_off(self) -> None:
        """Guards against a call whose outcome is lost because its caller went away."""
        done = asyncio.Event()
        service = FakeService([ServiceResponseHead(200), done, b"ok"])
        server = self._service_agent(service)
        router = self._router(server)
        await router.say(self._call("r0"), Cancel(1, "r0", 1))
        self.assertEqual("cancelled/not_run", router.outcome(), "it still waited for its claim")
        await router.say(self._call())
        await router.say(Cancel(1, "r", 1))
        self.assertEqual("cancelled/unknown", router.outcome())
        repeat = await self._outcome_of(server, self._call("r2"))
        self.assertEqual("in_progress/unknown", repeat)
        done.set()
        await run_ready_tasks()
        self.assertEqual("ok.", await self._outcome_of(server, self._call("r3")))
        self.assertEqual(1, len(service.calls))

    async def test_heads_of_services_pass(self) -> None:
        """Guards against an answer whose status or headers are lost."""
        service = FakeService([ServiceResponseHead(404, (("X-A", "b"),)), b"no"])
        router = self._router(self._service_agent(service))
        await router.say(self._call(key=""))
        heads = [item for item in router.sent if isinstance(item, Head)]
        self.assertEqual([(404, [["X-A", "b"]])], [(item.status, item.headers) for item in heads])
