"""Tests of prefix-aware placement, rendezvous hashing and probes."""

import asyncio
import random
import time
import unittest
from collections import Counter
from typing import Any
from unittest import mock

from coltsfootfront.common.clock import SystemClock
from coltsfootfront.common.rendezvous import rank
from coltsfootfront.configuration.document import Grant, PolicySettings
from coltsfootfront.peers.connection import Connection
from coltsfootfront.peers.messages import Message, Probe, ProbeReply, encode
from coltsfootfront.placing.policy import PlacementRequest, TargetEstimate, TargetLoad
from coltsfootfront.placing.prefixaffinity import PrefixAffinityPolicy
from coltsfootfront.placing.probes import LoadTable, ProbeQuery, Prober, ProbeTarget
from coltsfootfront.tests.support import ManualClock
from coltsfootfront.tests.test_dispatch import DispatcherHarness, make_model_request, start_agents
from coltsfootfront_dev.fakeagent import FakeAgent, channel_pool

GRANTS = [Grant(f"t{n:02}", "lend", 5, "v1") for n in range(40)]


def make_request(*levels: tuple[str, int]) -> PlacementRequest:
    """A request whose prompt has nested parts, each given by a name and a number of blocks."""
    keys: list[bytes] = []
    for name, blocks in levels:
        keys += [f"{name}-{n}".encode().ljust(8)[:8] for n in range(blocks)]
    return PlacementRequest("c", "m", "", "salt", tuple(keys))


def make_estimate(
    target: str,
    matched: int = 0,
    wait_s: float = 0.0,
    is_home: bool = False,
    latency_s: float = 0.0,
) -> TargetEstimate:
    return TargetEstimate(target, matched, wait_s, 0.1, 0.0, latency_s, is_home)


class RendezvousTest(unittest.TestCase):
    def test_removal_moves_only_the_removed_name(self) -> None:
        """Guards against a lost target that remaps every prefix."""
        names = [f"t{n}" for n in range(20)]
        for number in range(200):
            key = str(number).encode()
            before = rank(key, names)
            self.assertEqual(before[1:], rank(key, [n for n in names if n != before[0]]))
            self.assertEqual(before[:3], rank(key, reversed(names), 3))

    def test_keys_are_spread_evenly(self) -> None:
        """Guards against a hash that prefers some targets."""
        names = [f"t{n}" for n in range(10)]
        counts = Counter(rank(str(n).encode(), names, 1)[0] for n in range(5000))
        self.assertGreater(min(counts.values()), 400)
        self.assertLess(max(counts.values()), 600)


class PrefixAffinityPolicyTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.policy = self.make()

    def make(self, probe_count: int = 5, seed: int = 1) -> PrefixAffinityPolicy:
        return PrefixAffinityPolicy(probe_count, self.clock, random.Random(seed))

    def test_routers_agree_on_the_home(self) -> None:
        """Guards against routers that spread one prefix over many targets."""
        homes = set()
        for seed in range(20):
            placement_request = make_request(("standard", 8), ("dossier", 12), (f"tail{seed}", 2))
            homes.add(self.make(seed=seed).candidates(placement_request, GRANTS, {})[0])
        self.assertEqual(1, len(homes))

    def test_nested_prefixes_share_candidates(self) -> None:
        """Guards against prompts with a common prefix but no common candidate."""
        first = make_request(("standard", 8), ("dossier-a", 20))
        second = make_request(("standard", 8), ("dossier-b", 20))
        common = rank(first.block_keys[7], [grant.target for grant in GRANTS], 1)[0]
        for placement_request in (first, second):
            self.assertIn(common, self.make(8).candidates(placement_request, GRANTS, {}))

    def test_a_prefix_seen_before_has_a_candidate_of_its_own(self) -> None:
        """Guards against ignoring a shared prefix whose length lies between two powers of two."""
        first = make_request(("dossier", 21), ("tail-a", 9))
        second = make_request(("dossier", 21), ("tail-b", 9))
        self.policy.record_placement(first)
        self.assertIn(21, self.policy.depths(second))
        expected = rank(second.block_keys[20], [grant.target for grant in GRANTS], 1)[0]
        self.assertIn(expected, self.policy.candidates(second, GRANTS, {}))

    def test_candidates_are_bounded_and_distinct(self) -> None:
        """Guards against probes that exceed the budget for control traffic."""
        for count in (1, 2, 5, 6):
            for blocks in (0, 1, 3, 30, 500):
                with self.subTest(count=count, blocks=blocks):
                    placement_request = make_request(("p", blocks))
                    found = self.make(count).candidates(placement_request, GRANTS, {})
                    self.assertEqual((count, count), (len(found), len(set(found))))
                    self.assertLessEqual(len(self.policy.depths(placement_request)), 11)

    def test_an_overloaded_home_adds_the_next_target(self) -> None:
        """Guards against a hot prefix that overloads one target."""
        placement_request = make_request(("hot", 1))
        ranked = rank(placement_request.block_keys[0], [grant.target for grant in GRANTS], 3)
        now_s = self.clock.monotonic_s()
        cases = ((0.5, now_s, 1), (1.0, now_s, 2), (1.0, now_s - 10, 1), (1.0, None, 1))
        for load, seen_s, width in cases:
            with self.subTest(load=load, seen_s=seen_s):
                loads = {ranked[0]: TargetLoad(load=load, updated_s=seen_s)}
                found = self.make(4).candidates(placement_request, GRANTS, loads)
                self.assertEqual(ranked[:width], found[:width])

    def test_the_least_loaded_target_is_probed_too(self) -> None:
        """Guards against idle targets that get no requests."""
        now_s = self.clock.monotonic_s()
        loads = {
            grant.target: TargetLoad(load=0.8 if grant.target != "t07" else 0.1, updated_s=now_s)
            for grant in GRANTS
        }
        for blocks in (0, 30):
            found = self.policy.candidates(make_request(("p", blocks)), GRANTS, loads)
            self.assertIn("t07", found)

    def test_choice_by_estimated_time(self) -> None:
        """Guards against needless recomputation of a prefix and needless waits in a long queue."""
        cases = {
            "cached beats idle": ([make_estimate("a", 4, 0.2), make_estimate("b")], "a"),
            "a long queue loses": ([make_estimate("a", 4, 0.9), make_estimate("b")], "b"),
            "latency counts both ways": (
                [make_estimate("a", latency_s=0.02), make_estimate("b")],
                "b",
            ),
            "home wins a near tie": ([make_estimate("a"), make_estimate("b", 0, 0.01, True)], "b"),
            "home loses beyond the hysteresis": (
                [make_estimate("a"), make_estimate("b", 0, 0.03, True)],
                "a",
            ),
            "rank order decides a tie": ([make_estimate("b"), make_estimate("a")], "a"),
            "no answers": ([], "a"),
        }
        self.policy.policy_settings = PolicySettings(0.02, recompute_weight=0.0)
        for name, (estimates, first) in cases.items():
            with self.subTest(name):
                decision = self.policy.choose(make_request(("p", 8)), ["a", "b", "c"], estimates)
                self.assertEqual(first, decision.targets[0])
                self.assertEqual({"a", "b", "c"}, set(decision.targets))

    def test_weights_account_for_costs_to_other_requests(self) -> None:
        """Guards against replicating a prefix where it saves little time."""
        cases = {
            "a copy must save more than its time": (
                [make_estimate("a", 0), make_estimate("b", 4, 0.7)],
                "b",
            ),
            "a copy that saves much is made": (
                [make_estimate("a", 0), make_estimate("b", 4, 1.3)],
                "a",
            ),
        }
        self.policy.policy_settings = PolicySettings(0.0, recompute_weight=1.0)
        for name, (estimates, first) in cases.items():
            with self.subTest(name):
                decision = self.policy.choose(make_request(("p", 8)), ["a", "b"], estimates)
                self.assertEqual(first, decision.targets[0])


class ProbesTest(unittest.IsolatedAsyncioTestCase):
    def test_a_probe_stays_small(self) -> None:
        """Guards against probes that exceed the control traffic budget of a node.

        The budget is 9 KB/s, of which gossip and deltas need a part; 17 probes a second with
        their replies get 6.3 KB/s.
        """
        depths = [1, 2, 4, 8, 16, 21, 30]
        keys = [bytes(range(8))] * len(depths)
        probe = Probe(123456, "agency-lab", "assessor-large", "", "2026-11", depths, keys, 30)
        reply = ProbeReply(123456, 24, 0.0123, 0.2, "", "a3f4b5c6d7e8f901", 0.5, 0.0)
        sizes = [len(encode(message, 1234)) + 4 for message in (probe, reply)]
        self.assertLessEqual(sizes[0], 220)
        self.assertLessEqual(sum(sizes) * 17, 6300)

    async def test_a_late_reply_only_updates_the_load_table(self) -> None:
        """Guards against a hung agent that delays placement, and against lost load reports."""
        agents = await start_agents(FakeAgent("t1"), FakeAgent("t2"))
        agents[1].answers_probes = False
        channels = channel_pool()
        clock = SystemClock()
        load_table = LoadTable(clock)
        prober = Prober(channels, load_table, clock, 0.1, 0.5)
        query = ProbeQuery("c", "m", "", "", 0, 5, True)
        targets = [ProbeTarget(agent.name, agent.address, "v1", (), ()) for agent in agents]
        started_s = time.monotonic()
        result = await prober.probe(query, targets)
        elapsed_s = time.monotonic() - started_s
        for _ in range(2):
            started_s = time.monotonic()
            await prober.probe(query, targets)
        self.assertLess(time.monotonic() - started_s, 0.09)
        agents[1].probe_reply_fields = {"load": 0.7}
        connection, probe = agents[1].connections[0], agents[1].probes[0]
        await connection.send(agents[1]._probe_reply(probe.call))
        await asyncio.sleep(0.05)
        await prober.close()
        await channels.close()
        for agent in agents:
            await agent.stop()
        self.assertEqual(["t1"], [found.target for found in result.answers])
        self.assertLess(elapsed_s, 0.3)
        self.assertEqual(0.7, load_table.get("t2").load)

    async def test_stall_of_the_event_loop_hides_no_reply(self) -> None:
        """Guards against an agent whose reply has arrived and that is passed over as silent."""
        (agent,) = await start_agents(FakeAgent("t1"))
        channels = channel_pool()
        clock = SystemClock()
        prober = Prober(channels, LoadTable(clock), clock, 0.1, 0.5)
        query = ProbeQuery("c", "m", "", "", 0, 5, True)
        targets = [ProbeTarget(agent.name, agent.address, "v1", (), ())]
        await prober.probe(query, targets)
        handle = agent._handle

        async def stall_after_reply(connection: Connection, message: Message) -> None:
            await handle(connection, message)
            time.sleep(0.2)  # noqa: ASYNC251 - stalls the event loop

        with mock.patch.object(agent, "_handle", stall_after_reply):
            result = await prober.probe(query, targets)
        await prober.close()
        await channels.close()
        await agent.stop()
        self.assertEqual(["t1"], [found.target for found in result.answers])

    async def test_placement_with_probes(self) -> None:
        """Guards against probe answers that do not influence placement."""
        agents = await start_agents(*(FakeAgent(f"t{n}") for n in range(4)), FakeAgent("far1"))
        policy = PrefixAffinityPolicy(5, SystemClock(), random.Random(1))
        harness = DispatcherHarness(agents, policy)
        cases: dict[str, tuple[dict[str, dict[str, Any]], str]] = {
            "cached": ({"t2": {"matched": 8}}, "t2"),
            "refusing targets are skipped": (
                {f"t{n}": {"refusal": "overloaded"} for n in (0, 1, 2)},
                "t3",
            ),
            "another region is used when it saves enough": (
                {f"t{n}": {"wait_s": 3.0} for n in range(4)},
                "far1",
            ),
            "all local targets refuse": (
                {f"t{n}": {"refusal": "overloaded"} for n in range(4)},
                "far1",
            ),
        }
        for number, (name, (replies, first)) in enumerate(cases.items()):
            with self.subTest(name):
                for agent in agents:
                    agent.probe_reply_fields = replies.get(agent.name, {})
                caller_request = make_model_request(number, b"x" * 64)
                plan = (await harness.dispatcher.explain(caller_request)).unwrap()
                self.assertEqual(first, plan.destinations[0].target)
        await harness.close()
