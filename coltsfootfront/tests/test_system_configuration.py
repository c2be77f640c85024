"""Process-level tests: an accepted configuration is in force everywhere and never reverts."""

import asyncio
import contextlib
import time
import unittest
from collections.abc import AsyncIterator, Awaitable, Callable

from coltsfootfront_dev.checkingclient import CheckingClient
from coltsfootfront_dev.launcher import Fleet
from coltsfootfront_dev.adminclient import AdminClient
from coltsfootfront_dev.deployment import FleetOptions

# The bound of the target: 12 s from acceptance to in force on every process.
IN_FORCE_LIMIT_S = 12.0
OPTIONS = FleetOptions(routers=4, target_kinds=("service",), use_forwarders=True)
SERVICE = "trials-registry"
CUSTOMER = "sleep-panel"


class Watchdog:
    """Reads every process's revision again and again and notes each step back.

    A process that was started again counts as another one.
    """

    def __init__(self, fleet: Fleet, operator: AdminClient) -> None:
        self._fleet = fleet
        self._operator = operator
        self._highest: dict[tuple[str, int], int] = {}
        self.steps_back: list[str] = []

    @contextlib.asynccontextmanager
    async def watching(self) -> AsyncIterator[None]:
        """Watch while the body runs."""
        task = asyncio.create_task(self._watch())
        try:
            yield
        finally:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

    async def _watch(self) -> None:
        while True:
            starts = {name: process.starts for name, process in self._fleet.processes.items()}
            for name, number in (await self._operator.revisions()).items():
                key = (name, starts[name])
                if number < self._highest.get(key, 0) and starts[name] == self._starts(name):
                    self.steps_back.append(f"{name}: {self._highest[key]} to {number}")
                self._highest[key] = max(number, self._highest.get(key, 0))
            await asyncio.sleep(0.02)

    def _starts(self, name: str) -> int:
        return self._fleet.processes[name].starts


class FaultCase:
    """A fleet, its operator and its watchdog."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.operator = AdminClient(fleet)
        self.watchdog = Watchdog(fleet, self.operator)

    async def change(self, contact: str) -> int:
        """Apply a small change, repeated with its operation id until it is accepted.

        :returns: its revision.
        """
        document = self.operator.document_with_contact(contact)
        for _ in range(20):
            reply = await self.operator.apply(document, self.fleet.revision, contact)
            if reply.status == 200:
                self.fleet.revision = reply.revision
                self.fleet.document = document
                return reply.revision
            await asyncio.sleep(0.2)
        raise AssertionError(f"not accepted: {reply}")

    async def ready_revision(self, name: str) -> None:
        """Wait until a restarted process says it is ready; it must have the newest revision."""
        process = self.fleet.processes[name]
        await self.fleet.wait_reports_ready(process)
        running = await self.fleet.revision_of(process)
        if running < self.fleet.revision:
            raise AssertionError(f"{name} serves revision {running} of {self.fleet.revision}")


Fault = Callable[[FaultCase], Awaitable[int]]


async def _plain(case: FaultCase) -> int:
    return await case.change("plain")


async def _answer_lost(case: FaultCase) -> int:
    await case.fleet.control_stand_in("store", {"lose_answers": 1})
    return await case.change("answer lost")


async def _several_answers_lost(case: FaultCase) -> int:
    await case.fleet.control_stand_in("store", {"lose_answers": 4})
    return await case.change("answers lost")


async def _slow_store(case: FaultCase) -> int:
    await case.fleet.control_stand_in("store", {"delay_s": 0.5})
    revision = await case.change("slow store")
    await case.fleet.control_stand_in("store", {"delay_s": 0.0})
    return revision


async def _silent_watches(case: FaultCase) -> int:
    await case.fleet.control_stand_in("store", {"silent_watches": True})
    revision = await case.change("silent watches")
    await case.operator.wait_until_active(revision, IN_FORCE_LIMIT_S)
    await case.fleet.control_stand_in("store", {"silent_watches": False})
    return revision


async def _older_reads(case: FaultCase) -> int:
    await case.change("before older reads")
    await case.fleet.control_stand_in("store", {"stale_reads": True})
    await case.fleet.restart("router-1", wait=False)
    await case.ready_revision("router-1")
    await case.fleet.control_stand_in("store", {"stale_reads": False})
    return await case.change("after older reads")


async def _outage_after_acceptance(case: FaultCase) -> int:
    revision = await case.change("then an outage")
    await case.fleet.control_stand_in("store", {"outage": True})
    await case.operator.wait_until_active(revision, IN_FORCE_LIMIT_S)
    await case.fleet.control_stand_in("store", {"outage": False})
    return revision


async def _admin_killed_after_acceptance(case: FaultCase) -> int:
    document = case.operator.document_with_contact("admin killed")
    before = case.fleet.revision
    task = asyncio.create_task(case.operator.apply(document, before, "admin killed"))
    await asyncio.sleep(0.01)
    await case.fleet.restart("admin-1")
    await task
    return await case.change("admin killed")


async def _frozen_across_two(case: FaultCase) -> int:
    frozen = ["router-2", case.fleet.agents[0].name]
    for name in frozen:
        case.fleet.pause(name)
    await case.change("frozen, first")
    revision = await case.change("frozen, second")
    await asyncio.sleep(1.0)
    for name in frozen:
        case.fleet.resume(name)
    return revision


async def _all_routers_restarted(case: FaultCase) -> int:
    revision = await case.change("herd")
    await case.operator.wait_until_active(revision, IN_FORCE_LIMIT_S)
    names = [process.name for process in case.fleet.routers]
    await asyncio.gather(*(case.fleet.restart(name, wait=False) for name in names))
    await asyncio.gather(*(case.ready_revision(name) for name in names))
    return revision


async def _store_cut_off_from_routers(case: FaultCase) -> int:
    """The routers lose the store; the admin's own push and the gossip carry the change."""
    revision = await case.change("before the cut")
    case.fleet.forwarders["store"].cut()
    return max(revision, await case.change("after the cut"))


FAULTS: dict[str, Fault] = {
    "plain change": _plain,
    "answer to the write lost": _answer_lost,
    "several answers lost": _several_answers_lost,
    "slow store": _slow_store,
    "silent watches": _silent_watches,
    "older values read after a restart": _older_reads,
    "outage right after acceptance": _outage_after_acceptance,
    "admin killed during the change": _admin_killed_after_acceptance,
    "router and agent frozen across two revisions": _frozen_across_two,
    "all routers restarted": _all_routers_restarted,
    "connections to the store cut": _store_cut_off_from_routers,
}


class InForceTest(unittest.IsolatedAsyncioTestCase):
    async def test_accepted_changes_come_into_force_and_never_revert(self) -> None:
        """Guards against a change that is accepted and lost, late, or undone by an older one."""
        async with Fleet(OPTIONS) as fleet:
            case = FaultCase(fleet)
            async with case.watchdog.watching():
                for name, fault in FAULTS.items():
                    with self.subTest(name):
                        revision = await fault(case)
                        waited_s = await case.operator.wait_until_active(revision, IN_FORCE_LIMIT_S)
                        self.assertLess(waited_s, IN_FORCE_LIMIT_S)
            self.assertEqual([], case.watchdog.steps_back)
            rows = await case.operator.status()
            digests = {row.get("digest") for row in rows if row["ready"]}
            self.assertEqual(1, len(digests), rows)

    async def test_of_racing_operators_one_wins_and_nothing_is_mixed(self) -> None:
        """Guards against two changes of which parts of both take effect."""
        async with Fleet(OPTIONS) as fleet:
            operator = AdminClient(fleet)
            for lost in (0, 1, 3):
                with self.subTest(lost_answers=lost):
                    before = fleet.revision
                    await fleet.control_stand_in("store", {"lose_answers": lost})
                    contacts = [f"operator {lost}/{n}" for n in range(6)]
                    replies = await asyncio.gather(
                        *(
                            operator.apply(operator.document_with_contact(contact), before, contact)
                            for contact in contacts
                        )
                    )
                    await fleet.control_stand_in("store", {"lose_answers": 0})
                    winners = [n for n, reply in enumerate(replies) if reply.status == 200]
                    self.assertEqual(1, len(winners), replies)
                    for reply in replies:
                        self.assertIn(reply.status, (200, 409), replies)
                    fleet.revision = replies[winners[0]].revision
                    self.assertEqual(before + 1, fleet.revision)
                    await operator.wait_until_active(fleet.revision, IN_FORCE_LIMIT_S)
                    newest = (await operator.history())[0]
                    self.assertEqual(contacts[winners[0]], newest["operation_id"])

    async def test_terms_withdrawn_during_a_store_outage_stay_withdrawn(self) -> None:
        """Guards against a restarted router that takes an old document and serves by it."""
        async with Fleet(OPTIONS) as fleet:
            operator, caller = AdminClient(fleet), CheckingClient(fleet)
            document = operator.document_with_contact("no terms")
            for terms in document["terms"].values():
                terms["customers"] = [name for name in terms["customers"] if name != CUSTOMER]
            reply = await operator.apply(document, fleet.revision)
            self.assertEqual(200, reply.status, reply)
            await operator.wait_until_active(reply.revision, IN_FORCE_LIMIT_S)
            fleet.revision = reply.revision
            await fleet.control_stand_in("store", {"outage": True})
            await asyncio.gather(*(fleet.restart(row.name, wait=False) for row in fleet.routers))
            start_s = time.monotonic()
            await fleet.wait_ready()
            self.assertLess(time.monotonic() - start_s, IN_FORCE_LIMIT_S)
            for router in fleet.routers:
                refused = await caller.call_service(
                    router.name, CUSTOMER, SERVICE, "records/1", method="GET"
                )
                self.assertEqual("not_run", refused.execution_state, refused)
                served = await caller.call_service(
                    router.name, "foam-lab", SERVICE, "records/1", method="GET"
                )
                self.assertTrue(served.is_correct, served)


if __name__ == "__main__":
    unittest.main()
