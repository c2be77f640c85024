"""Tests of the attempts of one request against scripted agents."""

import asyncio
import random
import time
import unittest
from collections.abc import Callable, Coroutine
from typing import Any
from unittest import mock

from returns.result import Failure as Failed

from coltsfootfront.calls.callerrequest import KIND_COMPLETION, KIND_SERVICE, CallerRequest
from coltsfootfront.common.clock import SystemClock
from coltsfootfront.common.errors import ErrorKind, ExecutionState
from coltsfootfront.common.settings import RouterSettings
from coltsfootfront.configuration.document import Grant
from coltsfootfront.configuration.entries import digest, split_document
from coltsfootfront.peers.connection import Connection
from coltsfootfront.peers.messages import (
    Accepted,
    Cancel,
    Chunk,
    End,
    Fail,
    Head,
    Message,
    Resume,
    Run,
    Status,
)
from coltsfootfront.placing.breaker import Breaker
from coltsfootfront.placing.policy import (
    PlacementDecision,
    PlacementRequest,
    Policy,
    TargetEstimate,
    TargetLoad,
)
from coltsfootfront.serving.responsewriters import BufferedResponseWriter
from coltsfootfront.serving.router import Router
from coltsfootfront_dev.fakeagent import SECRET, FakeAgent, document_for_agents, send_text_response

TEXT = "one two three"
ACCEPT_TIMEOUT_S = 0.15


class NameOrderPolicy(Policy):
    """Tries targets in the order of the configuration, by name, without probes."""

    def candidates(
        self, request: PlacementRequest, grants: list[Grant], loads: dict[str, TargetLoad]
    ) -> list[str]:
        return [grant.target for grant in grants]

    def choose(
        self, request: PlacementRequest, candidates: list[str], estimates: list[TargetEstimate]
    ) -> PlacementDecision:
        return PlacementDecision(tuple(candidates))


class DispatcherHarness:
    """The dispatcher of a router that is not started and listens on no address."""

    def __init__(
        self,
        agents: list[FakeAgent],
        policy: Policy | None = None,
        breaker: Breaker | None = None,
        **changes: Any,
    ) -> None:
        options: dict[str, Any] = {
            "accept_timeout_s": ACCEPT_TIMEOUT_S,
            "stream_idle_timeout_s": 0.5,
            "probe_timeout_s": 0.1,
            "connect_timeout_s": 0.3,
            "retry_ratio": 1.0,
            **changes,
        }
        settings = RouterSettings("r1", "dc-1", SECRET, "http://127.0.0.1:1", **options)
        clock = SystemClock()
        with (
            mock.patch(
                "coltsfootfront.serving.router._build_policy",
                return_value=policy or NameOrderPolicy(),
            ),
            mock.patch(
                "coltsfootfront.serving.router.Breaker", return_value=breaker or Breaker(clock)
            ),
        ):
            self.router = Router(settings, clock)
        entries = split_document(document_for_agents(agents))
        assert self.router.configuration.install(1, entries, digest(entries))
        self.agents = agents
        self.dispatcher = self.router.dispatcher
        self.router.link_budget.set_rate(1_000_000, 1)

    async def run(
        self, caller_request: CallerRequest, writer: BufferedResponseWriter | None = None
    ) -> tuple[str, Any]:
        """Execute a request; returns the text received and the outcome."""
        used = writer or BufferedResponseWriter()
        outcome = await asyncio.wait_for(self.dispatcher.execute(caller_request, used), 20)
        return used.text, outcome

    async def close(self) -> None:
        await self.router.close()
        for agent in self.agents:
            await agent.stop()


async def start_agents(*agents: FakeAgent) -> list[FakeAgent]:
    for agent in agents:
        await agent.start()
    return list(agents)


def make_model_request(number: int = 1, prompt: bytes = b"") -> CallerRequest:
    return CallerRequest(
        f"id-{number}", "c", KIND_COMPLETION, time.time() + 10, b"{}", model="m", prompt=prompt
    )


def make_service_request(method: str = "POST") -> CallerRequest:
    caller_request = CallerRequest(
        "id-1", "c", KIND_SERVICE, time.time() + 10, b"{}", service="desk", path="/file"
    )
    caller_request.method = method
    caller_request.idempotent = method == "GET"
    return caller_request


Script = Callable[[FakeAgent, Connection, Run], Coroutine[Any, Any, None]]
Frame = Callable[[int, int], Message]
Action = Callable[[FakeAgent], Coroutine[Any, Any, None]]


def chunk(seq: int, offset: int, data: bytes) -> Frame:
    return lambda stream, attempt: Chunk(stream, attempt, seq, offset, data, 1)


def end(chunks: int, total_bytes: int) -> Frame:
    return lambda stream, attempt: End(stream, attempt, chunks, total_bytes)


def fail(kind: str, run: str, retry_after_s: float = 0.0) -> Frame:
    return lambda stream, attempt: Fail(stream, attempt, kind, "", run, retry_after_s)


def misdirected(frame: Frame, streams: int, attempts: int) -> Frame:
    """The frame with its stream and attempt numbers shifted."""
    return lambda stream, attempt: frame(stream + streams, attempt + attempts)


def accepted(stream: int, attempt: int) -> Message:
    return Accepted(stream, attempt, "e1")


ONE, TWO, THREE = chunk(0, 0, b"one "), chunk(1, 4, b"two "), chunk(2, 8, b"three")
ACCEPTED_AND_HEAD: tuple[Frame, ...] = (accepted, Head)


def send_frames(
    *frames: Frame, then: Action | None = None, can_resume: bool = False, resent: int = 0
) -> Script:
    """Send frames without checks.

    :param then: action on the agent after the frames are sent.
    :param can_resume: whether the agent answers a resume with the rest of its response.
    :param resent: how many of the last frames are sent again, for the old stream, on a resume.
    """

    async def script(agent: FakeAgent, connection: Connection, run: Run) -> None:
        async def resume(connection: Connection, message: Resume) -> None:
            stream, attempt = message.stream, message.attempt
            for frame in frames[len(frames) - resent :]:
                await connection.send(frame(run.stream, run.attempt))
            for frame in ACCEPTED_AND_HEAD:
                await connection.send(frame(stream, attempt))
            await agent.send_chunks(connection, stream, attempt, agent.pieces, message.next_seq)
            await agent.send_end(connection, stream, attempt, agent.pieces)

        if can_resume:
            agent.on_resume = resume
        for frame in frames:
            await connection.send(frame(run.stream, run.attempt))
        if then is not None:
            await asyncio.sleep(0.02)
            agent.spawn(then(agent))

    return script


def accept_and_send(*frames: Frame, **options: Any) -> Script:
    """Accept, send the head and then frames without checks."""
    return send_frames(*ACCEPTED_AND_HEAD, *frames, **options)


async def restart(agent: FakeAgent) -> None:
    await agent.stop()
    await agent.start()


async def freeze(agent: FakeAgent) -> None:
    async def ignore(connection: Connection, message: Resume) -> None:
        return None

    agent.answers_status = False
    agent.on_resume = ignore


class DispatchTest(unittest.IsolatedAsyncioTestCase):
    async def run_script(
        self, caller_request: CallerRequest, *scripts: Script, **changes: Any
    ) -> tuple[str, Any]:
        """Execute a request with one agent per script; returns the text and the outcome."""
        prefix = "s" if caller_request.service else "t"
        self.agents = [FakeAgent(f"{prefix}{n}", script) for n, script in enumerate(scripts)]
        harness = DispatcherHarness(await start_agents(*self.agents), **changes)
        try:
            return await harness.run(caller_request)
        finally:
            await asyncio.sleep(0.02)
            await harness.close()

    def runs(self) -> tuple[int, ...]:
        """Number of runs that each agent has received."""
        return tuple(len(agent.runs) for agent in self.agents)


class ModelFaultsTest(DispatchTest):

    async def test_every_fault_ends_in_a_complete_response(self) -> None:
        """Guards against lost, repeated or misdirected text after a fault, and needless reruns."""
        cases: dict[str, tuple[Script, bool]] = {
            "connection cut before frames": (
                send_frames(then=FakeAgent.close_connections, can_resume=True),
                False,
            ),
            "connection cut between frames": (
                accept_and_send(ONE, then=FakeAgent.close_connections, can_resume=True),
                False,
            ),
            "connection cut after frames": (
                accept_and_send(ONE, TWO, THREE, then=FakeAgent.close_connections, can_resume=True),
                False,
            ),
            "duplicated frames": (
                accept_and_send(ONE, ONE, TWO, ONE, TWO, THREE, end(3, 13)),
                False,
            ),
            "reordered frames": (accept_and_send(TWO, ONE, can_resume=True), False),
            "frames of another attempt": (
                accept_and_send(
                    misdirected(ONE, 0, 1),
                    misdirected(end(0, 0), 0, 1),
                    ONE,
                    TWO,
                    THREE,
                    end(3, 13),
                ),
                False,
            ),
            "frames of another stream": (
                accept_and_send(ONE, misdirected(TWO, 999, 0), TWO, THREE, end(3, 13)),
                False,
            ),
            "late frames after a resume": (
                accept_and_send(ONE, end(2, 8), resent=2, can_resume=True),
                False,
            ),
            "end before its chunks": (accept_and_send(ONE, end(3, 13), can_resume=True), False),
            "end without totals": (accept_and_send(ONE, TWO, end(0, 0)), True),
            "end with wrong bytes": (accept_and_send(ONE, TWO, end(2, 9)), True),
            "chunk with a wrong offset": (accept_and_send(ONE, chunk(1, 5, b"two ")), True),
            "chunk that is not UTF-8": (accept_and_send(chunk(0, 0, b"\xff")), True),
            "agent dies within the stream": (accept_and_send(ONE, then=FakeAgent.stop), True),
            "agent restarts within the stream": (accept_and_send(ONE, then=restart), True),
            "agent never accepts": (send_frames(then=freeze), True),
            "agent freezes within the stream": (accept_and_send(ONE, then=freeze), True),
            "engine fails within the stream": (
                accept_and_send(ONE, TWO, fail("engine_failed", "unknown")),
                True,
            ),
            "overloaded": (send_frames(fail("overloaded", "not_run")), True),
            "stale revision": (send_frames(fail("stale_revision", "not_run")), True),
            "wrong version": (send_frames(fail("wrong_version", "not_run")), True),
            "target leaving": (send_frames(fail("target_leaving", "not_run")), True),
        }
        for name, (script, runs_elsewhere) in cases.items():
            with self.subTest(name):
                text, outcome = await self.run_script(
                    make_model_request(), script, send_text_response
                )
                self.assertEqual(TEXT, text, outcome)
                self.assertEqual("stop", outcome.unwrap().finish_reason)
                self.assertEqual((1, int(runs_elsewhere)), self.runs())

    async def test_a_refusal_by_terms_is_final(self) -> None:
        """Guards against a retry elsewhere after an agent has refused by the customer's terms."""
        _, outcome = await self.run_script(
            make_model_request(), send_frames(fail("forbidden", "not_run")), send_text_response
        )
        self.assertEqual(ErrorKind.FORBIDDEN, outcome.failure().kind)
        self.assertEqual((1, 0), self.runs())

    async def test_other_weights_do_not_continue_a_response(self) -> None:
        """Guards against a response that joins the texts of two weights versions."""
        agents = await start_agents(
            FakeAgent("t1", accept_and_send(ONE, then=FakeAgent.stop)), FakeAgent("t2")
        )
        harness = DispatcherHarness(agents)
        target = harness.router.configuration.document.targets["t2"]
        target.models[0].version = "v2"
        text, outcome = await harness.run(make_model_request())
        await harness.close()
        self.assertEqual(("one ", []), (text, agents[1].runs))
        self.assertEqual(ExecutionState.UNKNOWN, outcome.failure().execution_state)

    async def test_the_earliest_retry_time_is_reported(self) -> None:
        """Guards against a ``Retry-After`` that is longer than the shortest one from the agents."""
        scripts = [send_frames(fail("overloaded", "not_run", wait_s)) for wait_s in (7.0, 3.0, 5.0)]
        began = time.monotonic()
        _, outcome = await self.run_script(make_model_request(), *scripts)
        failure = outcome.failure()
        self.assertEqual(
            (3.0, ExecutionState.NOT_RUN),
            (failure.effective_retry_after_s, failure.execution_state),
        )
        self.assertLess(time.monotonic() - began, 1.0)

    async def test_a_long_queue_does_not_count_as_a_lost_agent(self) -> None:
        """Guards against a queued request that is cancelled or counted as lost while it waits."""

        async def queue(agent: FakeAgent, connection: Connection, run: Run) -> None:
            await send_frames(accepted, can_resume=True)(agent, connection, run)
            answer = agent.on_resume

            async def wait(connection: Connection, message: Resume) -> None:
                await connection.send(accepted(message.stream, message.attempt))
                if len(agent.resumes) == 8:
                    await answer(connection, message)

            agent.on_resume = wait

        timeouts = {"accept_timeout_s": 0.05, "stream_idle_timeout_s": 0.1}
        text, _ = await self.run_script(
            make_service_request(), queue, send_text_response, **timeouts
        )
        self.assertEqual((TEXT, (1, 0)), (text, self.runs()))

    async def test_stall_of_the_event_loop_is_not_taken_for_silence_of_the_agent(self) -> None:
        """Guards against a timeout that ends before messages which have arrived are read."""

        def stall_after(*frames: Frame) -> Script:
            async def script(agent: FakeAgent, connection: Connection, run: Run) -> None:
                for frame in frames:
                    await connection.send(frame(run.stream, run.attempt))
                time.sleep(2 * ACCEPT_TIMEOUT_S)  # noqa: ASYNC251 - stalls the event loop
                if frames[-1] is accepted:
                    await send_text_response(agent, connection, run)

            return script

        with self.subTest("accepted"):
            text, _ = await self.run_script(make_service_request(), stall_after(accepted))
            self.assertEqual((TEXT, (1,)), (text, self.runs()))
        with self.subTest("refused"):
            refused = stall_after(fail("overloaded", "not_run", 3.0))
            _, outcome = await self.run_script(make_service_request(), refused)
            self.assertEqual(ExecutionState.NOT_RUN, outcome.failure().execution_state)

    async def test_stall_during_a_status_query_does_not_lose_the_agent(self) -> None:
        """Guards against a stream that is given up though its agent has answered."""

        async def wait_in_queue(agent: FakeAgent, connection: Connection, run: Run) -> None:
            await connection.send(accepted(run.stream, run.attempt))
            handle = agent._handle_peer

            async def stall_after_reply(connection: Connection, message: Message) -> None:
                await handle(connection, message)
                if isinstance(message, Status):
                    time.sleep(2 * ACCEPT_TIMEOUT_S)  # noqa: ASYNC251 - stalls the event loop

            with mock.patch.object(agent, "_handle_peer", stall_after_reply):
                await asyncio.sleep(4 * ACCEPT_TIMEOUT_S)
            await send_text_response(agent, connection, run)

        text, _ = await self.run_script(make_service_request(), wait_in_queue)
        self.assertEqual((TEXT, 0), (text, len(self.agents[0].resumes)))

    async def test_a_slow_caller_delays_acknowledgements(self) -> None:
        """Guards against a send window that opens although the caller has read nothing."""
        gate = asyncio.Event()

        class SlowWriter(BufferedResponseWriter):
            async def write(self, data: bytes) -> None:
                await gate.wait()
                await super().write(data)

        agents = await start_agents(FakeAgent("t1"))
        agents[0].pieces = [b"x" * 3000, b"y" * 10]
        harness = DispatcherHarness(agents)
        task = asyncio.create_task(harness.run(make_model_request(), SlowWriter()))
        await asyncio.sleep(0.1)
        before = list(agents[0].acknowledgements)
        gate.set()
        text, _ = await task
        await asyncio.sleep(0.02)
        await harness.close()
        self.assertEqual(([], 3010), (before, len(text)))
        self.assertEqual([3000], [message.offset for message in agents[0].acknowledgements])

    async def test_many_requests_on_one_connection_with_interleaved_responses(self) -> None:
        """Guards against a response that reaches the caller of another request."""
        count = 60
        waiting: list[tuple[Connection, Run]] = []

        async def answer_interleaved(agent: FakeAgent, connection: Connection, run: Run) -> None:
            waiting.append((connection, run))
            # Accepted at once, so that no run times out while the others are still being sent.
            await connection.send(Accepted(run.stream, run.attempt, "e1"))
            if len(waiting) < count:
                return
            frames = []
            for peer, item in waiting:
                data = f"text of {item.request_id}".encode()
                frames.append(
                    [
                        (peer, Accepted(item.stream, item.attempt, "e1")),
                        (peer, Head(item.stream, item.attempt)),
                        (peer, Chunk(item.stream, item.attempt, 0, 0, data, 1)),
                        (peer, End(item.stream, item.attempt, 1, len(data))),
                    ]
                )
            generator = random.Random(5)
            while frames:
                chosen = generator.choice(frames)
                peer, message = chosen.pop(0)
                await peer.send(message)
                if not chosen:
                    frames.remove(chosen)

        agents = await start_agents(FakeAgent("t1", answer_interleaved))
        harness = DispatcherHarness(agents)
        results = await asyncio.gather(*(harness.run(make_model_request(n)) for n in range(count)))
        connections = len(agents[0].connections)
        await harness.close()
        self.assertEqual([f"text of id-{n}" for n in range(count)], [text for text, _ in results])
        self.assertEqual(1, connections)

    async def test_remote_targets_are_used_within_the_budget(self) -> None:
        """Guards against requests to another region without need or beyond the link's budget."""
        agents = await start_agents(FakeAgent("far1"))
        harness = DispatcherHarness(agents)
        text, _ = await harness.run(make_model_request())
        harness.router.link_budget.charge(10_000_000, "away")
        _, outcome = await harness.run(make_model_request(2))
        await harness.close()
        self.assertEqual((TEXT, 1), (text, len(agents[0].runs)))
        self.assertEqual(ErrorKind.NO_TARGET, outcome.failure().kind)


class NonIdempotentTest(DispatchTest):
    async def test_a_request_runs_at_most_once(self) -> None:
        """Guards against a second execution, and a failure that wrongly reports ``not_run``."""

        async def cancelled(agent: FakeAgent, connection: Connection, run: Run) -> None:
            async def confirm(connection: Connection, message: Cancel) -> None:
                stream, attempt = message.stream, message.attempt
                await connection.send(Fail(stream, attempt, "cancelled", "", "not_run"))

            agent.on_cancel = confirm

        unknown = ExecutionState.UNKNOWN
        cases: dict[str, tuple[Script, int, ExecutionState | None]] = {
            "agent never received the request": (
                send_frames(then=FakeAgent.close_connections),
                1,
                None,
            ),
            "cancelled before it was forwarded": (cancelled, 1, None),
            "overloaded": (send_frames(fail("overloaded", "not_run")), 1, None),
            "no reply to run or cancel": (send_frames(then=freeze), 0, unknown),
            "agent dies": (accept_and_send(ONE, then=FakeAgent.stop), 0, unknown),
            "agent restarts": (accept_and_send(ONE, then=restart), 0, unknown),
            "agent freezes": (accept_and_send(ONE, then=freeze), 0, unknown),
            "target fails": (send_frames(fail("target_failed", "unknown")), 0, unknown),
            "claim in progress": (send_frames(fail("in_progress", "unknown")), 0, unknown),
            "store is down": (
                send_frames(fail("store_unavailable", "not_run")),
                0,
                ExecutionState.NOT_RUN,
            ),
            "end without totals": (accept_and_send(ONE, end(0, 0)), 0, unknown),
            "failure that reports not_run after a response": (
                accept_and_send(ONE, fail("overloaded", "not_run")),
                0,
                unknown,
            ),
        }
        for name, (script, second, state) in cases.items():
            with self.subTest(name):
                _, outcome = await self.run_script(
                    make_service_request(), script, send_text_response
                )
                self.assertEqual((1, second), self.runs())
                seen = outcome.failure().execution_state if isinstance(outcome, Failed) else None
                self.assertEqual(state, seen)

    async def test_an_unreachable_agent_is_skipped(self) -> None:
        """Guards against a failure although no byte of the request was sent to the agent."""
        agents = await start_agents(FakeAgent("s1"), FakeAgent("s2"))
        harness = DispatcherHarness(agents)
        await agents[0].stop()
        text, _ = await harness.run(make_service_request())
        await harness.close()
        self.assertEqual((TEXT, 1), (text, len(agents[1].runs)))

    async def test_an_idempotent_request_is_retried_at_another_target(self) -> None:
        """Guards against reporting an unknown outcome for a call that is safe to retry."""
        script = send_frames(fail("target_failed", "unknown"))
        text, _ = await self.run_script(make_service_request("GET"), script, send_text_response)
        self.assertEqual(TEXT, text)


class RetryAmplificationTest(unittest.IsolatedAsyncioTestCase):
    async def amplification(self, dead: int, with_breaker: bool) -> tuple[float, float]:
        """Attempts per request, and the share of requests with a complete response."""
        failing = send_frames(fail("engine_failed", "unknown"))
        agents = await start_agents(
            *(FakeAgent(f"t{n}", failing if n < dead else send_text_response) for n in range(8))
        )
        shuffled = _RandomOrderPolicy(random.Random(3))
        breaker = None if with_breaker else _AlwaysClosedBreaker(SystemClock())
        harness = DispatcherHarness(agents, shuffled, breaker, retry_ratio=0.2)
        answered = 0
        for number in range(300):
            text, _ = await harness.run(make_model_request(number))
            answered += text == TEXT
        attempts = sum(len(agent.runs) for agent in agents)
        await harness.close()
        return attempts / 300, answered / 300

    async def test_retries_stay_within_the_budget(self) -> None:
        """Guards against retries that multiply the load while targets are dead.

        300 requests with a budget of 0.2 and a floor of 1/s take 0.08 attempts per request with
        all of 8 targets dead and 1.05 with half of them dead. With breakers that never open they
        take 1.23 in both cases: 1 + 0.2, plus the floor of 10 retries.
        """
        cases = (
            ("all dead", 8, True, 0.0),
            ("half dead", 4, True, 0.9),
            ("all dead, no breaker", 8, False, 0.0),
            ("half dead, no breaker", 4, False, 0.5),
        )
        for name, dead, with_breaker, min_answered in cases:
            with self.subTest(name):
                attempts, answered = await self.amplification(dead, with_breaker)
                self.assertLess(attempts, 1.25)
                self.assertGreaterEqual(answered, min_answered)


class _AlwaysClosedBreaker(Breaker):
    """Never opens, so that only the retry budget limits retries."""

    def is_available(self, target: str) -> bool:
        return True


class _RandomOrderPolicy(NameOrderPolicy):
    """Tries targets in random order."""

    def __init__(self, generator: random.Random) -> None:
        self._generator = generator

    def candidates(
        self, request: PlacementRequest, grants: list[Grant], loads: dict[str, TargetLoad]
    ) -> list[str]:
        names = super().candidates(request, grants, loads)
        self._generator.shuffle(names)
        return names
