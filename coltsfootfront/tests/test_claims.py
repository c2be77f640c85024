"""Tests of idempotency claims."""

import unittest

from returns.result import Success

from coltsfootfront.keyvalue.claims import Claim, Claims, StoredOutcome
from coltsfootfront.tests.support import ManualClock, InMemoryStore

OUTCOME = StoredOutcome(201, [["Location", "/1"]], b"done")
KEY = "claims/c/s/k"


class ClaimsTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.store = InMemoryStore(self.clock)
        self.claims = self._agent("agent-1")

    def _agent(self, name: str) -> Claims:
        return Claims(self.store, self.clock, name, 3600.0)

    async def _claim(self, claims: Claims, digest: str = "d") -> Claim | StoredOutcome | str:
        """Claim the key; failures are returned as ``kind/run``."""
        claimed = await claims.claim("c", "s", "k", digest)
        if isinstance(claimed, Success):
            found: Claim | StoredOutcome = claimed.unwrap()
            return found
        failure = claimed.failure()
        return f"{failure.kind.value}/{failure.execution_state.value}"

    async def _held(self, claims: Claims) -> Claim:
        claimed = await self._claim(claims)
        assert isinstance(claimed, Claim), claimed
        return claimed

    async def test_a_repeat_gets_the_stored_outcome(self) -> None:
        """Guards against a second execution by the same, a restarted or another agent."""
        claim = await self._held(self.claims)
        agents = self.claims, self._agent("agent-1"), self._agent("agent-2")
        for agent in agents:
            self.assertEqual("in_progress/unknown", await self._claim(agent))
        self.claims.record(claim, OUTCOME)
        self.assertEqual(OUTCOME, await self._claim(self.claims), "also before it is written")
        await self.claims.flush()
        for agent in agents:
            self.assertEqual(OUTCOME, await self._claim(agent))
            self.assertEqual("key_reused/not_run", await self._claim(agent, "other"))

    async def test_an_unknown_outcome_is_not_run_again(self) -> None:
        """Guards against a repeat of a call whose connection broke."""
        self.claims.record_unknown(await self._held(self.claims))
        await self.claims.flush()
        self.assertEqual("target_failed/unknown", await self._claim(self._agent("agent-2")))

    async def test_an_agent_that_disappears_blocks_its_key(self) -> None:
        """Guards against a repeat after a crash between forwarding and the outcome."""
        await self._held(self.claims)
        self.assertEqual("in_progress/unknown", await self._claim(self._agent("agent-1")))
        self.clock.advance(3600 * 2)
        self.assertIsInstance(await self._claim(self._agent("agent-2")), Claim)

    async def test_faults_of_the_claims_write(self) -> None:
        """Guards against two executions, and false refusals, when the write's answer is lost."""
        cases = {
            "answer lost": (["ok", "lost"], "held"),
            "write dropped": (["ok", "dropped"], "held"),
            "answer lost, read fails": (["ok", "lost", "down"], "held"),
            "answers lost for long": (["ok", "lost", "down"] * 3, "held"),
            "store down at the lease": (["down"], "store_unavailable/not_run"),
            "store down at the write": (["ok", "down"], "store_unavailable/not_run"),
            "never an answer": (
                ["ok", "lost", "down", "lost", "down", "lost", "down"],
                "store_unavailable/not_run",
            ),
        }
        for name, (faults, expected) in cases.items():
            with self.subTest(name):
                self.setUp()
                self.store.faults = list(faults)
                claimed = await self._claim(self.claims)
                self.assertEqual(expected, "held" if isinstance(claimed, Claim) else claimed)
                self.store.faults = []
                second = await self._claim(self._agent("agent-2"))
                if isinstance(claimed, Claim):
                    self.assertEqual("in_progress/unknown", second)
                    continue
                # Refused as not run, so nobody may be told that it is under way for ever.
                await self.claims.flush()
                if isinstance(second, str):
                    self.assertEqual("in_progress/unknown", second)
                    self.assertIsInstance(await self._claim(self._agent("agent-2")), Claim)

    async def test_a_refused_call_may_be_repeated_here_at_once(self) -> None:
        """Guards against a key that is blocked by a claim whose call never ran."""
        self.store.faults = ["ok", "lost", "down", "lost", "down", "lost", "down"]
        self.assertEqual("store_unavailable/not_run", await self._claim(self.claims))
        self.assertIn(KEY, self.store.values)
        claim = await self._held(self.claims)
        await self.claims.flush()
        self.assertIn(KEY, self.store.values, "the late removal must spare the new claim")
        self.claims.record(claim, OUTCOME)
        await self.claims.flush()
        self.assertEqual(OUTCOME, await self._claim(self._agent("agent-2")))

    async def test_release(self) -> None:
        """Guards against a claim that stays after a true refusal."""
        await self.claims.release(await self._held(self.claims))
        claim = await self._held(self._agent("agent-2"))
        self.store.mode = "down"
        agent = self._agent("agent-2")
        await agent.release(claim)
        self.store.mode = "ok"
        self.assertEqual("in_progress/unknown", await self._claim(self._agent("agent-3")))
        await agent.flush()
        self.assertIsInstance(await self._claim(self._agent("agent-3")), Claim)

    async def test_a_late_release_spares_a_later_claim(self) -> None:
        """Guards against a delayed removal that frees the key of a running call."""
        claim = await self._held(self.claims)
        self.store.faults = ["lost"]
        await self.claims.release(claim)
        await self._held(self._agent("agent-2"))
        await self.claims.flush()
        self.assertEqual("in_progress/unknown", await self._claim(self._agent("agent-3")))
        self.assertEqual(0, self.claims.pending)

    async def test_outcomes_survive_an_outage(self) -> None:
        """Guards against outcomes lost because the store was down after the call."""
        for fault in ("down", "lost", "dropped"):
            with self.subTest(fault):
                self.setUp()
                claim = await self._held(self.claims)
                self.store.mode = fault
                self.claims.record(claim, OUTCOME)
                await self.claims.flush()
                self.assertEqual(1, self.claims.pending)
                self.store.mode = "ok"
                await self.claims.flush()
                self.assertEqual(0, self.claims.pending)
                self.assertEqual(OUTCOME, await self._claim(self._agent("agent-2")))
