"""Process-level tests: a response arrives complete and in order, or ends with an explicit error.

The text of the engine stand-ins is a function of the prompt, so every byte is checked.
"""

import asyncio
import unittest
from collections.abc import Awaitable, Callable, Iterable

import aiohttp

from coltsfootfront_dev.checkingclient import CheckingClient, Reply
from coltsfootfront_dev.deployment import FleetOptions
from coltsfootfront_dev.launcher import Fleet

CUSTOMER = "dossier-desk"
MODEL = "dossier-large"
TOKENS = 60
# Silence of an engine after which its agent gives up the request.
TARGET_TIMEOUT_S = 1.0
OPTIONS = FleetOptions(
    target_kinds=("engine",),
    engine_arguments=("--step-ms=5",),
    use_forwarders=True,
    # Cases follow each other within seconds, so the retry budget must allow for all of them.
    router_settings={"retry_floor_per_s": 50.0, "retry_ratio": 1.0, "accept_timeout_s": 0.3},
    agent_settings={"target_timeout_s": TARGET_TIMEOUT_S},
)


async def wait_until(condition: Callable[[], Awaitable[bool]], limit_s: float = 15.0) -> None:
    """Wait until a condition holds."""
    async with asyncio.timeout(limit_s):
        while not await condition():  # noqa: ASYNC110
            await asyncio.sleep(0.02)


class FaultCase:
    """One case: a fleet and the model calls that are in progress when the fault is injected."""

    def __init__(self, fleet: Fleet, name: str) -> None:
        self.fleet = fleet
        self.caller = CheckingClient(fleet)
        self.name = name
        self.tokens_before: dict[str, int] = {}

    async def call(self, number: int = 0, tokens: int = TOKENS) -> Reply:
        """Send one model call; the number decides on streaming and the chat or completions API."""
        prompt = f"dossier of {self.name}, part {number}; "
        stream, chat = number % 3 != 2, number % 2 == 1
        call = self.caller.build_model_call(
            "router-1", CUSTOMER, MODEL, prompt, tokens, stream, chat
        )
        return await self.caller.call_model(call)

    async def start_calls(
        self, count: int = 9, tokens: int = TOKENS
    ) -> "asyncio.Future[list[Reply]]":
        """Start calls and wait until the engines have generated 8 tokens per call."""
        self.tokens_before = await self.generated_tokens()
        replies = asyncio.gather(*(self.call(number, tokens) for number in range(count)))
        await wait_until(lambda: self.is_generating(8 * count))
        return replies

    async def is_generating(self, tokens: int = 1) -> bool:
        """Whether at least this many tokens were generated since the calls started."""
        return sum((await self.tokens_since_start()).values()) >= tokens

    async def generated_tokens(self) -> dict[str, int]:
        """Total of generated tokens, by target."""
        rows = await asyncio.gather(
            *(self.fleet.stand_in_counters(process.name) for process in self.fleet.engines)
        )
        names = [process.target for process in self.fleet.engines]
        return {name: int(row["tokens_generated"]) for name, row in zip(names, rows, strict=True)}

    async def tokens_since_start(self) -> dict[str, int]:
        """Tokens generated since the calls started, by target."""
        now = await self.generated_tokens()
        return {name: now[name] - self.tokens_before[name] for name in now}

    async def busiest_targets(self, count: int = 2) -> list[str]:
        """Targets that generated most tokens since the calls started."""
        tokens_since_start = await self.tokens_since_start()
        return sorted(tokens_since_start, key=lambda name: -tokens_since_start[name])[:count]

    def cut(self, names: Iterable[str]) -> None:
        """Abort the connections to some processes."""
        for name in names:
            self.fleet.forwarders[name].abort_connections()

    async def control(self, targets: Iterable[str], **values: object) -> None:
        """Set faults of some engine stand-ins."""
        for name in targets:
            await self.fleet.control_stand_in(self.fleet.stand_in_of(name).name, dict(values))

    @property
    def engine_targets(self) -> list[str]:
        """Names of all engine targets."""
        return [process.target for process in self.fleet.engines]

    @property
    def agents(self) -> list[str]:
        """Names of the agents of all engines."""
        return [f"agent-{name}" for name in self.engine_targets]

    async def wait_recovered(self) -> None:
        """Wait until every process is ready again and a call succeeds."""
        await self.fleet.wait_ready()
        await wait_until(self._is_serving)

    async def _is_serving(self) -> bool:
        try:
            await self.generated_tokens()
        except aiohttp.ClientError:
            # A crashed engine refuses connections for some time.
            return False
        return (await self.call(tokens=2)).is_correct


Fault = Callable[[FaultCase], Awaitable[list[Reply]]]


async def _no_fault(case: FaultCase) -> list[Reply]:
    return await (await case.start_calls())


async def _cut_agents(case: FaultCase) -> list[Reply]:
    replies = await case.start_calls()
    for _ in range(4):
        case.cut(case.agents)
        await asyncio.sleep(0.08)
    return await replies


async def _cut_engines(case: FaultCase) -> list[Reply]:
    replies = await case.start_calls()
    case.cut(f"standin-{name}" for name in await case.busiest_targets())
    return await replies


async def _hold_agents(case: FaultCase) -> list[Reply]:
    """Holds connections until the router has given up the silent agents."""
    replies = await case.start_calls()
    held_forwarders = [
        case.fleet.forwarders[f"agent-{name}"] for name in await case.busiest_targets()
    ]
    for forwarder in held_forwarders:
        forwarder.pause()
    result = await replies
    for forwarder in held_forwarders:
        forwarder.resume()
    return result


async def _hold_agents_briefly(case: FaultCase) -> list[Reply]:
    replies = await case.start_calls()
    held_forwarders = [case.fleet.forwarders[name] for name in case.agents]
    for forwarder in held_forwarders:
        forwarder.pause()
    await asyncio.sleep(0.3)
    for forwarder in held_forwarders:
        forwarder.resume()
    return await replies


async def _hold_engines(case: FaultCase) -> list[Reply]:
    replies = await case.start_calls()
    held_forwarders = [
        case.fleet.forwarders[f"standin-{name}"] for name in await case.busiest_targets()
    ]
    for forwarder in held_forwarders:
        forwarder.pause()
    result = await replies
    for forwarder in held_forwarders:
        forwarder.resume()
    return result


async def _restart_agents(case: FaultCase) -> list[Reply]:
    replies = await case.start_calls()
    names = [f"agent-{name}" for name in await case.busiest_targets()]
    await asyncio.gather(*(case.fleet.restart(name) for name in names))
    return await replies


async def _pause_agents(case: FaultCase) -> list[Reply]:
    replies = await case.start_calls()
    names = [f"agent-{name}" for name in await case.busiest_targets()]
    for name in names:
        case.fleet.pause(name)
    result = await replies
    for name in names:
        case.fleet.resume(name)
    return result


async def _pause_router(case: FaultCase) -> list[Reply]:
    replies = await case.start_calls()
    case.fleet.pause("router-1")
    await asyncio.sleep(1.0)
    case.fleet.resume("router-1")
    return await replies


async def _crash_engines(case: FaultCase) -> list[Reply]:
    replies = await case.start_calls()
    await case.control(await case.busiest_targets(), crash={"refuse_s": 0.5})
    return await replies


async def _engines_die(case: FaultCase) -> list[Reply]:
    replies = await case.start_calls()
    await case.control(await case.busiest_targets(), die_after_tokens=5)
    result = await replies
    await case.wait_recovered()
    await case.control(case.engine_targets, die_after_tokens=0)
    return result


async def _truncate_some_streams(case: FaultCase) -> list[Reply]:
    replies = await case.start_calls()
    targets = await case.busiest_targets()
    await case.control(targets, cut_after_tokens=20)
    result = await replies
    await case.control(targets, cut_after_tokens=0)
    return result


async def _truncate_streams(case: FaultCase) -> list[Reply]:
    """Each stream needs three engines in turn to complete."""
    await case.control(case.engine_targets, cut_after_tokens=22)
    result = await (await case.start_calls())
    await case.control(case.engine_targets, cut_after_tokens=0)
    return result


async def _truncate_streams_early(case: FaultCase) -> list[Reply]:
    """Every engine truncates its streams so early that no response can complete."""
    await case.control(case.engine_targets, cut_after_tokens=8)
    result = await asyncio.gather(*(case.call(number) for number in range(6)))
    await case.control(case.engine_targets, cut_after_tokens=0)
    return result


async def _stall_engine(case: FaultCase) -> list[Reply]:
    replies = await case.start_calls()
    await case.control(await case.busiest_targets(1), stall_s=TARGET_TIMEOUT_S / 2)
    return await replies


async def _stall_engine_past_timeout(case: FaultCase) -> list[Reply]:
    replies = await case.start_calls()
    await case.control(await case.busiest_targets(1), stall_s=TARGET_TIMEOUT_S * 2)
    return await replies


async def _cut_agents_and_crash(case: FaultCase) -> list[Reply]:
    replies = await case.start_calls()
    case.cut(case.agents)
    await case.control(await case.busiest_targets(1), crash={"refuse_s": 0.5})
    await asyncio.sleep(0.1)
    case.cut(case.agents)
    return await replies


async def _restart_agent_and_cut_engine(case: FaultCase) -> list[Reply]:
    replies = await case.start_calls()
    first, second = await case.busiest_targets()
    await case.fleet.restart(f"agent-{first}", wait=False)
    case.cut([f"standin-{second}"])
    return await replies


async def _hold_agent_and_crash(case: FaultCase) -> list[Reply]:
    replies = await case.start_calls()
    first, second = await case.busiest_targets()
    case.fleet.forwarders[f"agent-{first}"].pause()
    await case.control([second], crash={"refuse_s": 0.5})
    result = await replies
    case.fleet.forwarders[f"agent-{first}"].resume()
    return result


async def _crash_all(case: FaultCase) -> list[Reply]:
    replies = await case.start_calls()
    await case.control(case.engine_targets, crash={"refuse_s": 1.0})
    return await replies


async def _restart_all_agents(case: FaultCase) -> list[Reply]:
    replies = await case.start_calls()
    await asyncio.gather(*(case.fleet.restart(name, wait=False) for name in case.agents))
    return await replies


# After these every response must be complete: another target, or the agent's buffer, resumes it.
COMPLETE_RESPONSE_FAULTS: dict[str, Fault] = {
    "no fault": _no_fault,
    "connections to the agents cut four times": _cut_agents,
    "connections to engines cut": _cut_engines,
    "connections to agents held": _hold_agents,
    "connections to agents held for a moment": _hold_agents_briefly,
    "connections to engines held": _hold_engines,
    "agents killed and started": _restart_agents,
    "agents frozen and thawed": _pause_agents,
    "router frozen and thawed": _pause_router,
    "engines crashed": _crash_engines,
    "engines die while they generate": _engines_die,
    "streams of some engines without end mark": _truncate_some_streams,
    "streams without end mark": _truncate_streams,
    "engine stalled": _stall_engine,
    "engine stalled for too long": _stall_engine_past_timeout,
    "agents cut and engine crashed": _cut_agents_and_crash,
    "agent killed and another engine cut": _restart_agent_and_cut_engine,
    "agent held and another engine crashed": _hold_agent_and_crash,
}
# After these an explicit error is accepted as well.
ERROR_ALLOWED_FAULTS: dict[str, Fault] = {
    "never an end mark": _truncate_streams_early,
    "all engines crashed": _crash_all,
    "all agents killed and started": _restart_all_agents,
}


def _is_explicit_error(reply: Reply) -> bool:
    """Whether a failed model call ended with an error that a client recognizes."""
    if reply.status >= 400:
        return bool(reply.error_kind and reply.execution_state)
    return reply.status == 200 and reply.problem.startswith("error in the stream")


class ModelStreamTest(unittest.IsolatedAsyncioTestCase):
    """Model responses while faults are injected."""

    async def test_answers_are_whole_or_fail(self) -> None:
        """Guards against responses that are truncated, duplicated, reordered or mixed."""
        async with Fleet(OPTIONS) as fleet:
            for name, fault in {**COMPLETE_RESPONSE_FAULTS, **ERROR_ALLOWED_FAULTS}.items():
                with self.subTest(name):
                    case = FaultCase(fleet, name)
                    replies = await fault(case)
                    for reply in replies:
                        is_acceptable = reply.is_correct or (
                            name in ERROR_ALLOWED_FAULTS and _is_explicit_error(reply)
                        )
                        self.assertTrue(is_acceptable, f"{name}: {reply}")
                    await case.wait_recovered()
            await self._check_cut_offsets(FaultCase(fleet, "cuts"))

    async def _check_cut_offsets(self, case: FaultCase) -> None:
        """Guards against frames or stream ends lost or repeated after a cut at some offset."""
        for prefix in ("agent", "standin"):
            reply, sent = await self._call_and_cut(case, prefix, 0, 10**9)
            self.assertTrue(reply.is_correct, reply)
            # Spread over the stream, and denser close to its end.
            offsets = [*range(1, sent, sent // 5 + 1), *range(sent - 300, sent, 100)]
            for number, offset in enumerate(offsets):
                with self.subTest(prefix, offset=offset, sent=sent):
                    reply, _ = await self._call_and_cut(case, prefix, number, offset)
                    self.assertTrue(reply.is_correct, reply)

    async def _call_and_cut(
        self, case: FaultCase, prefix: str, number: int, offset: int
    ) -> tuple[Reply, int]:
        """Make a call and cut its connection after a number of bytes.

        :returns: the reply, and the number of bytes that its connection carried.
        """
        case.tokens_before = await case.generated_tokens()
        call = asyncio.create_task(case.call(number, tokens=60))
        await wait_until(case.is_generating)
        # Cutting other connections too would take their engines out of service.
        forwarder = case.fleet.forwarders[f"{prefix}-{(await case.busiest_targets(1))[0]}"]
        forwarder.abort_after_bytes = offset
        reply = await call
        sent = offset - forwarder.abort_after_bytes
        forwarder.abort_after_bytes = 0
        return reply, sent


if __name__ == "__main__":
    unittest.main()
