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
)
from coltsfootfront.placing.breaker import Breaker
from coltsfootfront.placing.policy import TargetEstimate, PlacementDecision, PlacementRequest, Policy, TargetLoad
from coltsfootfront.serving.responsewriters import CollectCaller
from coltsfootfront.serving.router import Router
from coltsfootfront_dev.fakeagent import SECRET, FakeAgent, answer_text, entries_of

TEXT = "one two three"


class ByName(Policy):
    """Tries targets in the order of their names, without probes."""

    def candidates(
        self, request: PlacementRequest, grants: list[Grant], loads: dict[str, TargetLoad]
    ) -> list[str]:
        return [grant.target for grant in grants]

    def choose(
        self, request: PlacementRequest, candidates: list[str], answers: list[TargetEstimate]
    ) -> PlacementDecision:
        return PlacementDecision(tuple(candidates))


class DispatcherHarness:
    """The dispatcher of a router that serves no address of its own."""

    def __init__(
        self,
        agents: list[FakeAgent],
        policy: Policy | None = None,
        breaker: Breaker | None = None,
        **changes: Any,
    ) -> None:
        options: dict[str, Any] = {
            "accept_timeout_s": 0.15,
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
                "coltsfootfront.serving.router._build_policy", return_value=policy or ByName()
            ),
            mock.patch(
                "coltsfootfront.serving.router.Breaker", return_value=breaker or Breaker(clock)
            ),
        ):
            self.router = Router(settings, clock)
        entries = split_document(entries_of(agents))
        assert self.router.configuration.install(1, entries, digest(entries))
        self.agents = agents
        self.dispatcher = self.router.dispatcher
        self.router.link.set_rate(1_000_000, 1)

    async def run(self, job: CallerRequest, caller: CollectCaller | None = None) -> tuple[str, Any]:
        """Execute a job; returns the text so far and the outcome."""
        used = caller or CollectCaller()
        outcome = await asyncio.wait_for(self.dispatcher.execute(job, used), 20)
        return used.text, outcome

    async def close(self) -> None:
        await self.router.close()
        for agent in self.agents:
            await agent.stop()


async def start_agents(*agents: FakeAgent) -> list[FakeAgent]:
    for agent in agents:
        await agent.start()
    return list(agents)


def model_job(number: int = 1, prompt: bytes = b"") -> CallerRequest:
    return CallerRequest(
        f"id-{number}", "c", KIND_COMPLETION, time.time() + 10, b"{}", model="m", prompt=prompt
    )


def service_job(method: str = "POST") -> CallerRequest:
    job = CallerRequest("id-1", "c", KIND_SERVICE, time.time() + 10, b"{}", service="desk", path="/file")
    job.method = method
    job.idempotent = method == "GET"
    return job


Step = Callable[[FakeAgent, Connection, Run], Coroutine[Any, Any, None]]
Frame = Callable[[int, int], Message]
Action = Callable[[FakeAgent], Coroutine[Any, Any, None]]


def chunk(seq: int, offset: int, data: bytes) -> Frame:
    return lambda stream, attempt: Chunk(stream, attempt, seq, offset, data, 1)


def end(chunks: int, total_bytes: int) -> Frame:
    return lambda stream, attempt: End(stream, attempt, chunks, total_bytes)


def fail(kind: str, run: str, retry_after_s: float = 0.0) -> Frame:
    return lambda stream, attempt: Fail(stream, attempt, kind, "", run, retry_after_s)


def crossed(frame: Frame, streams: int, attempts: int) -> Frame:
    """The frame with another stream or attempt number."""
    return lambda stream, attempt: frame(stream + streams, attempt + attempts)


def accepted(stream: int, attempt: int) -> Message:
    return Accepted(stream, attempt, "e1")


ONE, TWO, THREE = chunk(0, 0, b"one "), chunk(1, 4, b"two "), chunk(2, 8, b"three")
FRONT: tuple[Frame, ...] = (accepted, Head)


def raw(*frames: Frame, then: Action | None = None, resumes: bool = False, late: int = 0) -> Step:
    """Send frames as they are.

    :param then: what happens to the agent after them.
    :param resumes: whether the agent answers a resume with the rest of its answer.
    :param late: how many of the frames are sent again, for the old stream, before that.
    """

    async def script(agent: FakeAgent, connection: Connection, run: Run) -> None:
        async def resume(connection: Connection, message: Resume) -> None:
            stream, attempt = message.stream, message.attempt
            for frame in frames[len(frames) - late :]:
                await connection.send(frame(run.stream, run.attempt))
            for frame in FRONT:
                await connection.send(frame(stream, attempt))
            await agent.send_chunks(connection, stream, attempt, agent.pieces, message.next_seq)
            await agent.send_end(connection, stream, attempt, agent.pieces)

        if resumes:
            agent.on_resume = resume
        for frame in frames:
            await connection.send(frame(run.stream, run.attempt))
        if then is not None:
            await asyncio.sleep(0.02)
            agent.spawn(then(agent))

    return script


def sends(*frames: Frame, **options: Any) -> Step:
    """Accept, send the head and then frames as they are."""
    return raw(*FRONT, *frames, **options)


async def restart(agent: FakeAgent) -> None:
    await agent.stop()
    await agent.start()


async def freeze(agent: FakeAgent) -> None:
    async def ignore(connection: Connection, message: Resume) -> None:
        return None

    agent.answers_status = False
    agent.on_resume = ignore


class DispatchTest(unittest.IsolatedAsyncioTestCase):
    async def run_script(self, job: CallerRequest, *scripts: Step, **changes: Any) -> tuple[str, Any]:
        """Execute a job with one agent for each script; returns the text and the outcome."""
        prefix = "s" if job.service else "t"
        self.agents = [FakeAgent(f"{prefix}{n}", script) for n, script in enumerate(scripts)]
        harness = DispatcherHarness(await start_agents(*self.agents), **changes)
        try:
            return await harness.run(job)
        finally:
            await asyncio.sleep(0.02)
            await harness.close()

    def runs(self) -> tuple[int, ...]:
        """Runs that each agent has got."""
        return tuple(len(agent.runs) for agent in self.agents)


class ModelFaultsTest(DispatchTest):

    async def test_every_fault_ends_in_a_complete_answer(self) -> None:
        """Guards against lost, repeated or foreign text after a fault, and needless reruns."""
        cases: dict[str, tuple[Step, bool]] = {
            "connection cut before frames": (raw(then=FakeAgent.cut, resumes=True), False),
            "connection cut between frames": (sends(ONE, then=FakeAgent.cut, resumes=True), False),
            "connection cut after frames": (
                sends(ONE, TWO, THREE, then=FakeAgent.cut, resumes=True),
                False,
            ),
            "duplicated frames": (sends(ONE, ONE, TWO, ONE, TWO, THREE, end(3, 13)), False),
            "reordered frames": (sends(TWO, ONE, resumes=True), False),
            "frames of another attempt": (
                sends(crossed(ONE, 0, 1), crossed(end(0, 0), 0, 1), ONE, TWO, THREE, end(3, 13)),
                False,
            ),
            "frames of another stream": (
                sends(ONE, crossed(TWO, 999, 0), TWO, THREE, end(3, 13)),
                False,
            ),
            "late frames after a resume": (
                sends(ONE, end(2, 8), late=2, resumes=True),
                False,
            ),
            "end before its chunks": (sends(ONE, end(3, 13), resumes=True), False),
            "end without totals": (sends(ONE, TWO, end(0, 0)), True),
            "end with wrong bytes": (sends(ONE, TWO, end(2, 9)), True),
            "chunk with a wrong offset": (sends(ONE, chunk(1, 5, b"two ")), True),
            "chunk that is not UTF-8": (sends(chunk(0, 0, b"\xff")), True),
            "agent dies within the stream": (sends(ONE, then=FakeAgent.stop), True),
            "agent restarts within the stream": (sends(ONE, then=restart), True),
            "agent never accepts": (raw(then=freeze), True),
            "agent freezes within the stream": (sends(ONE, then=freeze), True),
            "engine fails within the stream": (
                sends(ONE, TWO, fail("engine_failed", "unknown")),
                True,
            ),
            "overloaded": (raw(fail("overloaded", "not_run")), True),
            "stale revision": (raw(fail("stale_revision", "not_run")), True),
            "wrong version": (raw(fail("wrong_version", "not_run")), True),
            "target leaving": (raw(fail("target_leaving", "not_run")), True),
        }
        for name, (script, elsewhere) in cases.items():
            with self.subTest(name):
                text, outcome = await self.run_script(model_job(), script, answer_text)
                self.assertEqual(TEXT, text, outcome)
                self.assertEqual("stop", outcome.unwrap().finish_reason)
                self.assertEqual((1, int(elsewhere)), self.runs())

    async def test_a_refusal_by_terms_is_final(self) -> None:
        """Guards against shopping for a target after the agent, the authority, said no."""
        _, outcome = await self.run_script(
            model_job(), raw(fail("forbidden", "not_run")), answer_text
        )
        self.assertEqual(ErrorKind.FORBIDDEN, outcome.failure().kind)
        self.assertEqual((1, 0), self.runs())

    async def test_other_weights_do_not_continue_an_answer(self) -> None:
        """Guards against one answer made of the texts of two weights versions."""
        agents = await start_agents(FakeAgent("t1", sends(ONE, then=FakeAgent.stop)), FakeAgent("t2"))
        harness = DispatcherHarness(agents)
        target = harness.router.configuration.document.targets["t2"]
        target.models[0].version = "v2"
        text, outcome = await harness.run(model_job())
        await harness.close()
        self.assertEqual(("one ", []), (text, agents[1].runs))
        self.assertEqual(ExecutionState.UNKNOWN, outcome.failure().run)

    async def test_the_earliest_time_to_come_back_is_given(self) -> None:
        """Guards against a refusal that keeps callers away for longer than the agents said."""
        scripts = [raw(fail("overloaded", "not_run", wait_s)) for wait_s in (7.0, 3.0, 5.0)]
        began = time.monotonic()
        _, outcome = await self.run_script(model_job(), *scripts)
        failure = outcome.failure()
        self.assertEqual((3.0, ExecutionState.NOT_RUN), (failure.wait_s, failure.run))
        self.assertLess(time.monotonic() - began, 1.0)

    async def test_a_long_queue_does_not_count_as_a_lost_agent(self) -> None:
        """Guards against a request that loses its place, or counts as unknown, while it waits."""

        async def queue(agent: FakeAgent, connection: Connection, run: Run) -> None:
            await raw(accepted, resumes=True)(agent, connection, run)
            answer = agent.on_resume

            async def wait(connection: Connection, message: Resume) -> None:
                await connection.send(accepted(message.stream, message.attempt))
                if len(agent.resumes) == 8:
                    await answer(connection, message)

            agent.on_resume = wait

        limits = {"accept_timeout_s": 0.05, "stream_idle_timeout_s": 0.1}
        text, _ = await self.run_script(service_job(), queue, answer_text, **limits)
        self.assertEqual((TEXT, (1, 0)), (text, self.runs()))

    async def test_a_slow_caller_holds_back_acknowledgements(self) -> None:
        """Guards against a window that opens although the caller has read nothing."""
        gate = asyncio.Event()

        class Slow(CollectCaller):
            async def write(self, data: bytes) -> None:
                await gate.wait()
                await super().write(data)

        agents = await start_agents(FakeAgent("t1"))
        agents[0].pieces = [b"x" * 3000, b"y" * 10]
        harness = DispatcherHarness(agents)
        task = asyncio.create_task(harness.run(model_job(), Slow()))
        await asyncio.sleep(0.1)
        before = list(agents[0].acknowledged)
        gate.set()
        text, _ = await task
        await asyncio.sleep(0.02)
        await harness.close()
        self.assertEqual(([], 3010), (before, len(text)))
        self.assertEqual([3000], [message.offset for message in agents[0].acknowledged])

    async def test_many_calls_on_one_connection_with_shuffled_replies(self) -> None:
        """Guards against an answer that reaches the caller of another request."""
        count = 60
        waiting: list[tuple[Connection, Run]] = []

        async def gather(agent: FakeAgent, connection: Connection, run: Run) -> None:
            waiting.append((connection, run))
            # At once, so that no call gives up while the others are still being sent.
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

        agents = await start_agents(FakeAgent("t1", gather))
        harness = DispatcherHarness(agents)
        results = await asyncio.gather(*(harness.run(model_job(n)) for n in range(count)))
        connections = len(agents[0].connections)
        await harness.close()
        self.assertEqual([f"text of id-{n}" for n in range(count)], [text for text, _ in results])
        self.assertEqual(1, connections)

    async def test_remote_targets_are_used_within_the_budget(self) -> None:
        """Guards against requests that leave the region needlessly or beyond the link's budget."""
        agents = await start_agents(FakeAgent("far1"))
        harness = DispatcherHarness(agents)
        text, _ = await harness.run(model_job())
        harness.router.link.charge(10_000_000, "away")
        _, outcome = await harness.run(model_job(2))
        await harness.close()
        self.assertEqual((TEXT, 1), (text, len(agents[0].runs)))
        self.assertEqual(ErrorKind.NO_TARGET, outcome.failure().kind)


class NotIdempotentTest(DispatchTest):
    async def test_a_call_runs_at_most_once(self) -> None:
        """Guards against a second execution, and against a refusal that wrongly says not run."""

        async def cancelled(agent: FakeAgent, connection: Connection, run: Run) -> None:
            async def confirm(connection: Connection, message: Cancel) -> None:
                stream, attempt = message.stream, message.attempt
                await connection.send(Fail(stream, attempt, "cancelled", "", "not_run"))

            agent.on_cancel = confirm

        lost = ExecutionState.UNKNOWN
        cases: dict[str, tuple[Step, int, ExecutionState | None]] = {
            "agent never got it": (raw(then=FakeAgent.cut), 1, None),
            "cancelled before it was forwarded": (cancelled, 1, None),
            "overloaded": (raw(fail("overloaded", "not_run")), 1, None),
            "no answer to run nor cancel": (raw(then=freeze), 0, lost),
            "agent dies": (sends(ONE, then=FakeAgent.stop), 0, lost),
            "agent restarts": (sends(ONE, then=restart), 0, lost),
            "agent freezes": (sends(ONE, then=freeze), 0, lost),
            "target fails": (raw(fail("target_failed", "unknown")), 0, lost),
            "claim in progress": (raw(fail("in_progress", "unknown")), 0, lost),
            "store is down": (raw(fail("store_unavailable", "not_run")), 0, ExecutionState.NOT_RUN),
            "end without totals": (sends(ONE, end(0, 0)), 0, lost),
            "failure that claims not run after an answer": (
                sends(ONE, fail("overloaded", "not_run")),
                0,
                lost,
            ),
        }
        for name, (script, second, state) in cases.items():
            with self.subTest(name):
                _, outcome = await self.run_script(service_job(), script, answer_text)
                self.assertEqual((1, second), self.runs())
                seen = outcome.failure().run if isinstance(outcome, Failed) else None
                self.assertEqual(state, seen)

    async def test_an_agent_that_cannot_be_reached_is_passed_over(self) -> None:
        """Guards against giving up although no byte of the request was written."""
        agents = await start_agents(FakeAgent("s1"), FakeAgent("s2"))
        harness = DispatcherHarness(agents)
        await agents[0].stop()
        text, _ = await harness.run(service_job())
        await harness.close()
        self.assertEqual((TEXT, 1), (text, len(agents[1].runs)))

    async def test_an_idempotent_call_goes_elsewhere_at_once(self) -> None:
        """Guards against an unknown outcome for a call that may simply be repeated."""
        script = raw(fail("target_failed", "unknown"))
        text, _ = await self.run_script(service_job("GET"), script, answer_text)
        self.assertEqual(TEXT, text)


class RetryAmplificationTest(unittest.IsolatedAsyncioTestCase):
    async def amplification(self, dead: int, breaks: bool) -> tuple[float, float]:
        """Attempts for each request, and the share of requests that were answered."""
        failing = raw(fail("engine_failed", "unknown"))
        agents = await start_agents(
            *(FakeAgent(f"t{n}", failing if n < dead else answer_text) for n in range(8))
        )
        shuffled = _Shuffled(random.Random(3))
        breaker = None if breaks else _AlwaysClosed(SystemClock())
        harness = DispatcherHarness(agents, shuffled, breaker, retry_ratio=0.2)
        answered = 0
        for number in range(300):
            text, _ = await harness.run(model_job(number))
            answered += text == TEXT
        attempts = sum(len(agent.runs) for agent in agents)
        await harness.close()
        return attempts / 300, answered / 300

    async def test_retries_stay_within_the_budget(self) -> None:
        """Guards against retries that multiply the load while targets are dead.

        Measured for 300 requests with a budget of 0.2 and a floor of 1/s: 0.08 attempts for each
        request with all of 8 targets dead and 1.05 with half of them dead; with breakers that
        never open 1.23 in both cases, which is 1 + 0.2 and the floor of 10 retries.
        """
        cases = (
            ("all dead", 8, True, 0.0),
            ("half dead", 4, True, 0.9),
            ("all dead, no breaker", 8, False, 0.0),
            ("half dead, no breaker", 4, False, 0.5),
        )
        for name, dead, breaks, least in cases:
            with self.subTest(name):
                attempts, answered = await self.amplification(dead, breaks)
                self.assertLess(attempts, 1.25)
                self.assertGreaterEqual(answered, least)


class _AlwaysClosed(Breaker):
    """Lets every request through, so that the budget alone limits retries."""

    def is_available(self, target: str) -> bool:
        return True


class _Shuffled(ByName):
    """Tries targets in random order."""

    def __init__(self, generator: random.Random) -> None:
        self._generator = generator

    def candidates(
        self, request: PlacementRequest, grants: list[Grant], loads: dict[str, TargetLoad]
    ) -> list[str]:
        names = super().candidates(request, grants, loads)
        self._generator.shuffle(names)
        return names
