"""Tests of which prompt parts are found to crash targets, and when they are tried again."""

import asyncio
import random
import unittest
from unittest import mock

from coltsfootfront.common.timeouts import ReadTimeout
from coltsfootfront.direct import gossip
from coltsfootfront.direct.crashevidence import (
    EPISODE_S,
    MAX_CRASHES,
    RETENTION_S,
    SETTLE_S,
    Conviction,
    CrashEvidence,
    Parts,
    Suspect,
)
from coltsfootfront.direct.crashobserver import CONFIRMATION_S, CrashObserver
from coltsfootfront.direct.directory import Directory, Target
from coltsfootfront.direct.quarantine import (
    FIRST_HOLD_S,
    IDLE_RELEASE_S,
    MAX_HOLD_S,
    MAX_RECORDS,
    RELEASE_PREVAILS_S,
    Quarantine,
    QuarantineRecord,
)
from coltsfootfront.direct.quarantinekeeper import QUARANTINE_PREFIX, QuarantineKeeper
from coltsfootfront.tests.direct_support import REGIONS, make_entry
from coltsfootfront.tests.support import InMemoryStore, ManualClock

DEADLY: Parts = ("shared", "document", "deadly")


class CrashEvidenceTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.evidence = CrashEvidence(self.clock)
        self.crashes = 0

    def _crash(self, *prompts: Parts, answering: Parts | None = None, after_s: float = 1.0) -> None:
        self.clock.advance(after_s)
        self.crashes += 1
        suspects = [Suspect(parts, parts == answering) for parts in prompts]
        self.evidence.record_crash(f"t{self.crashes}", 1, suspects)

    def _convict(self, *convicted: frozenset[str]) -> Conviction | None:
        self.clock.advance(SETTLE_S)
        return self.evidence.convict(list(convicted))

    def _convicted_parts(self, *convicted: frozenset[str]) -> frozenset[str]:
        conviction = self._convict(*convicted)
        return conviction.parts if conviction is not None else frozenset()

    def test_part_of_every_crash_is_convicted_alone(self) -> None:
        """Guards against sound requests that are held back for the parts they share."""
        for number in range(3):
            self.assertIsNone(self._convict())
            self._crash(DEADLY, ("shared", f"other{number}"))
            self.evidence.record_answer(("shared", "document"))
        self.assertEqual({"deadly"}, self._convicted_parts())
        self.assertIsNone(self._convict(frozenset(("deadly",))))

    def test_crashes_at_one_moment_convict_nothing(self) -> None:
        """Guards against a power failure of many targets that convicts what they were doing."""
        for _ in range(8):
            self._crash(("shared", "a"), ("shared", "b"), after_s=EPISODE_S / 10)
        self.assertIsNone(self._convict())

    def test_part_that_is_answered_between_crashes_is_not_convicted(self) -> None:
        """Guards against parts that are held back since other requests crash targets."""
        for _ in range(6):
            self._crash(("shared", "a"))
            self.evidence.record_answer(("shared", "a"))
            self.assertIsNone(self._convict())

    def test_rare_part_beside_a_deadly_one_is_not_convicted(self) -> None:
        """Guards against a sound part that happens to be unanswered at the same crashes."""
        for _ in range(3):
            self._crash(DEADLY, ("shared", "rare"))
            self.evidence.record_answer(("shared", "document"))
        self.assertIsNone(self._convict())
        self._crash(DEADLY)
        self.assertEqual({"deadly"}, self._convicted_parts())
        self.assertIsNone(self._convict(frozenset(("deadly",))))

    def test_begun_answer_decides_between_parts(self) -> None:
        """Guards against a further crash where the answer that had begun shows the cause."""
        for _ in range(3):
            self._crash(DEADLY, ("shared", "rare"), answering=DEADLY)
            self.evidence.record_answer(("shared", "document"))
        self.assertEqual({"deadly"}, self._convicted_parts())

    def test_parts_seen_only_together_are_convicted_together(self) -> None:
        """Guards against a sound document that is held back, as it was seen with a deadly part."""
        for _ in range(3):
            self._crash(DEADLY)
            self.evidence.record_answer(("shared",))
        together = self._convicted_parts()
        self.assertEqual({"document", "deadly"}, together)
        # With another document, the same part crashes targets again.
        for number in range(3):
            self._crash(("shared", f"document{number}", "deadly"))
            self.evidence.record_answer(("shared",))
        self.assertEqual({"deadly"}, self._convicted_parts(together))

    def test_two_deadly_parts_at_once(self) -> None:
        """Guards against one part that hides another."""
        convicted: list[frozenset[str]] = []
        for number in range(8):
            name = f"deadly{number % 2}"
            self._crash(("shared", name))
            self.evidence.record_answer(("shared",))
            found = self._convicted_parts(*convicted)
            if found:
                convicted.append(found)
        self.assertEqual([frozenset(("deadly0",)), frozenset(("deadly1",))], convicted)

    def test_reports_of_several_routers_are_one_crash(self) -> None:
        """Guards against a part that is convicted since many routers report the same crash."""
        for _ in range(5):
            self.clock.advance(1.0)
            self.evidence.record_crash("t1", 1, [Suspect(DEADLY, True)])
        self.assertIsNone(self._convict())

    def test_evidence_is_bounded_and_forgotten(self) -> None:
        """Guards against evidence that grows, or that convicts by crashes of long ago."""
        self._crash(DEADLY)
        self._crash(DEADLY)
        self._crash(DEADLY, after_s=RETENTION_S)
        self.assertIsNone(self._convict())
        for number in range(2 * MAX_CRASHES):
            self._crash(("shared", f"d{number}"), after_s=EPISODE_S / 100)
        self.assertLessEqual(len(self.evidence._crashes), MAX_CRASHES)


class QuarantineTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.quarantine = Quarantine(self.clock)

    def _record(self, *parts: str) -> QuarantineRecord:
        return QuarantineRecord(frozenset(parts), 3, FIRST_HOLD_S, 0, 0, "router")

    def test_only_prompts_with_all_parts_are_held_back(self) -> None:
        """Guards against sound requests that are held back."""
        self.quarantine.put(self._record("a", "b"))
        self.assertIsNone(self.quarantine.find(("a",)))
        self.assertIsNone(self.quarantine.find(("b", "c")))
        self.assertIsNotNone(self.quarantine.find(("x", "b", "a")))

    def test_time_doubles_with_each_trial_and_is_bounded(self) -> None:
        """Guards against trials that crash a target every few seconds, or never come."""
        record = self._record("a")
        self.quarantine.put(record)
        held_s = []
        for _ in range(8):
            held_s.append(record.left_s(self.clock.monotonic_s()))
            self.clock.advance(record.hold_s)
            self.assertEqual(0.0, record.left_s(self.clock.monotonic_s()))
            record = self.quarantine.begin_trial(record)
            self.assertTrue(self.quarantine.put(record))
        self.assertEqual(FIRST_HOLD_S, held_s[0])
        self.assertEqual(2 * FIRST_HOLD_S, held_s[1])
        self.assertEqual(MAX_HOLD_S, held_s[-1])

    def test_release_prevails_over_a_peer_that_has_not_heard_of_it(self) -> None:
        """Guards against a released part that is held back again."""
        record = self._record("a")
        self.quarantine.put(record)
        self.quarantine.release(record.id)
        self.assertFalse(self.quarantine.put(self._record("a")))
        self.assertTrue(self.quarantine.put(self._record("a"), is_own=True))
        self.quarantine.release(record.id)
        self.clock.advance(RELEASE_PREVAILS_S)
        self.assertTrue(self.quarantine.put(self._record("a")))

    def test_records_are_bounded_and_end(self) -> None:
        """Guards against records that stay for ever."""
        for number in range(2 * MAX_RECORDS):
            self.quarantine.put(self._record(f"p{number}"))
        self.assertEqual(MAX_RECORDS, len(self.quarantine.records()))
        self.assertEqual([], self.quarantine.idle())
        self.clock.advance(FIRST_HOLD_S + IDLE_RELEASE_S)
        self.assertEqual(MAX_RECORDS, len(self.quarantine.idle()))


class CrashObserverTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.clock = ManualClock()
        self.directory = Directory(self.clock, REGIONS)
        self.crashes: list[tuple[str, list[Suspect]]] = []
        self.probed: list[str] = []
        self.observer = CrashObserver(
            self.clock,
            lambda target, suspects: self.crashes.append((target.name, suspects)),
            lambda target: self.probed.append(target.name),
        )

    def _add(self, name: str) -> Target:
        self.directory.put(make_entry(name))
        target = self.directory.get(name)
        assert target is not None
        return target

    def _lose(self, target: Target, is_answered: bool = False) -> None:
        exchange = self.observer.begin(DEADLY, ReadTimeout(1.0), False)
        exchange.is_answered = is_answered
        self.observer.record_loss(target, exchange)
        self.observer.end(exchange)

    async def test_lost_request_is_a_crash_only_if_the_target_is_down(self) -> None:
        """Guards against a cut connection, or one lost request, that convicts its prompt."""
        target = self._add("t1")
        self._lose(target)
        self.assertEqual(["t1"], self.probed)
        self.clock.advance(2 * CONFIRMATION_S)
        self.observer.record_down(target)
        self.assertEqual([], self.crashes)
        self._lose(target)
        self.observer.record_down(target)
        self.assertEqual(1, len(self.crashes))
        self._lose(target)
        self.assertEqual(2, len(self.crashes))

    async def test_draining_target_and_answered_requests_convict_nothing(self) -> None:
        """Guards against a release, or a request that was being answered, as evidence."""
        target = self._add("t1")
        self._lose(target, is_answered=True)
        self.observer.record_down(target)
        self.assertEqual([], self.crashes)
        self._lose(target)
        self.directory.mark_draining("t1", 1, "a test")
        self.observer.record_down(target)
        self._lose(target)
        self.assertEqual([], self.crashes)

    async def test_unanswered_exchanges_are_withdrawn(self) -> None:
        """Guards against queued requests that crash targets after the conviction."""
        with self.assertRaises(TimeoutError):
            async with ReadTimeout(5.0) as timeout:
                exchange = self.observer.begin(DEADLY, timeout, False)
                self.assertEqual(0, self.observer.withdraw(frozenset(("other",))))
                self.assertEqual(1, self.observer.withdraw(frozenset(("deadly",))))
                await asyncio.sleep(1.0)
        self.assertTrue(exchange.is_withdrawn)

    async def test_exchange_whose_answer_the_caller_reads_is_not_withdrawn(self) -> None:
        """Guards against an answer that ends because of crashes on which others were lost."""
        async with ReadTimeout(5.0) as timeout:
            exchange = self.observer.begin(DEADLY, timeout, False)
            exchange.is_relayed = True
            self.assertEqual(0, self.observer.withdraw(frozenset(("deadly",))))
            await asyncio.sleep(0)
        self.assertFalse(exchange.is_withdrawn)


class QuarantineKeeperTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.clock = ManualClock()
        self.store = InMemoryStore(self.clock)
        self.revisions: dict[str, int] = {}
        self.sent: list[tuple[str, list[object]]] = []

    def _keeper(self, name: str) -> QuarantineKeeper:
        channel = mock.Mock(spec=gossip.Gossip)
        channel.broadcast.side_effect = lambda kind, fields: self.sent.append((kind, fields))
        return QuarantineKeeper(
            self.clock,
            name,
            channel,
            self.store,
            lambda key: self.revisions.get(key, 0),
            lambda parts: 0,
            random.Random(1),
        )

    def _convict(self, keeper: QuarantineKeeper) -> None:
        for number in range(3):
            self.clock.advance(1.0)
            keeper.handle_crash([f"t{number}", 1, [[True, ["shared", "deadly"]]]])
            keeper.handle_answered(["shared"])
        self.clock.advance(SETTLE_S)
        keeper._convict()

    async def test_one_router_of_all_sends_a_trial(self) -> None:
        """Guards against every router that tries the same deadly part at the same moment."""
        first, second = self._keeper("r1"), self._keeper("r2")
        self._convict(first)
        for kind, fields in self.sent:
            if kind == gossip.QUARANTINED:
                second.handle_quarantined(fields)
        parts = ("shared", "deadly")
        self.assertIsNotNone(first.held_for_s(parts))
        self.assertIsNotNone(second.held_for_s(parts))
        self.assertFalse(await first.may_try(parts))
        self.clock.advance(FIRST_HOLD_S)
        self.assertEqual([True, False], [await k.may_try(parts) for k in (first, second)])
        self.assertFalse(await first.may_try(parts))

    async def test_answer_releases_the_parts_at_all_routers(self) -> None:
        """Guards against parts that are held back although a target has answered them."""
        first, second = self._keeper("r1"), self._keeper("r2")
        self._convict(first)
        record_id = first._quarantine.records()[0].id
        second.handle_stored(record_id, None)
        for kind, fields in self.sent:
            if kind == gossip.QUARANTINED:
                second.handle_quarantined(fields)
        self.assertIsNotNone(second.held_for_s(("deadly",)))
        first.record_answer(("shared", "deadly"))
        kind, fields = self.sent[-1]
        self.assertEqual(gossip.RELEASED, kind)
        second.handle_released(list(fields))
        self.assertIsNone(first.held_for_s(("deadly",)))
        self.assertIsNone(second.held_for_s(("deadly",)))

    async def test_record_that_the_store_has_lost_is_written_again(self) -> None:
        """Guards against a quarantine that ends since its record has disappeared."""
        keeper = self._keeper("r1")
        self._convict(keeper)
        record_id = keeper._quarantine.records()[0].id
        keeper._writes.clear()
        keeper.handle_stored(record_id, None)
        self.assertIsNotNone(keeper.held_for_s(("deadly",)))
        await keeper._write(record_id, keeper._writes[record_id])
        stored = await self.store.get(QUARANTINE_PREFIX + record_id)
        value = stored.unwrap()
        assert value is not None
        self.assertEqual({}, keeper._writes)
        later = self._keeper("r2")
        later.handle_stored(record_id, value.value)
        self.assertIsNotNone(later.held_for_s(("deadly",)))

    async def test_unreadable_messages_and_records_are_ignored(self) -> None:
        """Guards against a malformed record that ends the following of the store."""
        keeper = self._keeper("r1")
        for value in (b"", b"[]", b"{}", b'{"id": "x", "is_released": false, "parts": 3}'):
            keeper.handle_stored("x", value)
        self.assertEqual([], keeper._quarantine.records())


if __name__ == "__main__":
    unittest.main()
