"""Process-level tests: an accepted configuration becomes active everywhere and never reverts."""

import asyncio
import contextlib
import time
import unittest
from collections.abc import AsyncIterator, Awaitable, Callable

from coltsfootfront_dev.adminclient import AdminClient
from coltsfootfront_dev.checkingclient import CheckingClient
from coltsfootfront_dev.deployment import FleetOptions
from coltsfootfront_dev.launcher import Fleet

# Time from acceptance until the revision is active on every process.
ACTIVATION_LIMIT_S = 12.0
OPTIONS = FleetOptions(routers=4, target_kinds=("service",), use_forwarders=True)
SERVICE = "trials-registry"
CUSTOMER = "sleep-panel"


class RevisionMonitor:
    """Polls the active revision of every process and records each decrease.

    A restarted process counts as a new one.
    """

    def __init__(self, fleet: Fleet, admin: AdminClient) -> None:
        self._fleet = fleet
        self._admin = admin
        self._highest: dict[tuple[str, int], int] = {}
        self.decreases: list[str] = []

    @contextlib.asynccontextmanager
    async def polling(self) -> AsyncIterator[None]:
        """Poll while the body of the context runs."""
        task = asyncio.create_task(self._poll())
        try:
            yield
        finally:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

    async def _poll(self) -> None:
        while True:
            starts = {name: process.starts for name, process in self._fleet.processes.items()}
            for name, number in (await self._admin.revisions()).items():
                key = (name, starts[name])
                if number < self._highest.get(key, 0) and starts[name] == self._start_count(name):
                    self.decreases.append(f"{name}: {self._highest[key]} to {number}")
                self._highest[key] = max(number, self._highest.get(key, 0))
            await asyncio.sleep(0.02)

    def _start_count(self, name: str) -> int:
        return self._fleet.processes[name].starts


class FaultCase:
    """A fleet, the client of its admin process and the monitor of its revisions."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.operator = AdminClient(fleet)
        self.monitor = RevisionMonitor(fleet, self.operator)

    async def apply_change(self, contact: str) -> int:
        """Apply a small change and retry it under one operation id until it is accepted.

        :returns: the revision of the change.
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

    async def wait_ready_at_newest_revision(self, name: str) -> None:
        """Wait until a restarted process is ready; the newest revision must be active on it."""
        process = self.fleet.processes[name]
        await self.fleet.wait_reports_ready(process)
        running = await self.fleet.revision_of(process)
        if running < self.fleet.revision:
            raise AssertionError(
                f"{name} is ready with revision {running}, the newest is {self.fleet.revision}"
            )


Fault = Callable[[FaultCase], Awaitable[int]]


async def _no_fault(case: FaultCase) -> int:
    return await case.apply_change("plain")


async def _lose_store_answer(case: FaultCase) -> int:
    await case.fleet.control_stand_in("store", {"lose_answers": 1})
    return await case.apply_change("answer lost")


async def _lose_several_store_answers(case: FaultCase) -> int:
    await case.fleet.control_stand_in("store", {"lose_answers": 4})
    return await case.apply_change("answers lost")


async def _delay_store(case: FaultCase) -> int:
    await case.fleet.control_stand_in("store", {"delay_s": 0.5})
    revision = await case.apply_change("slow store")
    await case.fleet.control_stand_in("store", {"delay_s": 0.0})
    return revision


async def _silence_watches(case: FaultCase) -> int:
    await case.fleet.control_stand_in("store", {"silent_watches": True})
    revision = await case.apply_change("silent watches")
    await case.operator.wait_until_active(revision, ACTIVATION_LIMIT_S)
    await case.fleet.control_stand_in("store", {"silent_watches": False})
    return revision


async def _restart_with_stale_reads(case: FaultCase) -> int:
    """A router restarts while the store answers reads with stale values."""
    await case.apply_change("before older reads")
    await case.fleet.control_stand_in("store", {"stale_reads": True})
    await case.fleet.restart("router-1", wait=False)
    await case.wait_ready_at_newest_revision("router-1")
    await case.fleet.control_stand_in("store", {"stale_reads": False})
    return await case.apply_change("after older reads")


async def _store_outage_after_acceptance(case: FaultCase) -> int:
    revision = await case.apply_change("then an outage")
    await case.fleet.control_stand_in("store", {"outage": True})
    await case.operator.wait_until_active(revision, ACTIVATION_LIMIT_S)
    await case.fleet.control_stand_in("store", {"outage": False})
    return revision


async def _kill_admin_during_change(case: FaultCase) -> int:
    document = case.operator.document_with_contact("admin killed")
    before = case.fleet.revision
    task = asyncio.create_task(case.operator.apply(document, before, "admin killed"))
    await asyncio.sleep(0.01)
    await case.fleet.restart("admin-1")
    await task
    return await case.apply_change("admin killed")


async def _pause_across_two_revisions(case: FaultCase) -> int:
    """A router and an agent are paused while two revisions are published."""
    paused = ["router-2", case.fleet.agents[0].name]
    for name in paused:
        case.fleet.pause(name)
    await case.apply_change("frozen, first")
    revision = await case.apply_change("frozen, second")
    await asyncio.sleep(1.0)
    for name in paused:
        case.fleet.resume(name)
    return revision


async def _restart_all_routers(case: FaultCase) -> int:
    """All routers restart at once and read the configuration at the same time."""
    revision = await case.apply_change("herd")
    await case.operator.wait_until_active(revision, ACTIVATION_LIMIT_S)
    names = [process.name for process in case.fleet.routers]
    await asyncio.gather(*(case.fleet.restart(name, wait=False) for name in names))
    await asyncio.gather(*(case.wait_ready_at_newest_revision(name) for name in names))
    return revision


async def _cut_store_connections(case: FaultCase) -> int:
    """Open connections to the store are aborted; the admin's push and gossip carry the change."""
    revision = await case.apply_change("before the cut")
    case.fleet.forwarders["store"].abort_connections()
    return max(revision, await case.apply_change("after the cut"))


FAULTS: dict[str, Fault] = {
    "plain change": _no_fault,
    "answer to the write lost": _lose_store_answer,
    "several answers lost": _lose_several_store_answers,
    "slow store": _delay_store,
    "silent watches": _silence_watches,
    "older values read after a restart": _restart_with_stale_reads,
    "outage right after acceptance": _store_outage_after_acceptance,
    "admin killed during the change": _kill_admin_during_change,
    "router and agent frozen across two revisions": _pause_across_two_revisions,
    "all routers restarted": _restart_all_routers,
    "connections to the store cut": _cut_store_connections,
}


class ActivationTest(unittest.IsolatedAsyncioTestCase):
    async def test_accepted_changes_become_active_and_never_revert(self) -> None:
        """Guards against an accepted change that is lost, late, or reverted by an older one."""
        async with Fleet(OPTIONS) as fleet:
            case = FaultCase(fleet)
            async with case.monitor.polling():
                for name, fault in FAULTS.items():
                    with self.subTest(name):
                        revision = await fault(case)
                        waited_s = await case.operator.wait_until_active(
                            revision, ACTIVATION_LIMIT_S
                        )
                        self.assertLess(waited_s, ACTIVATION_LIMIT_S)
            self.assertEqual([], case.monitor.decreases)
            rows = await case.operator.status()
            digests = {row.get("digest") for row in rows if row["ready"]}
            self.assertEqual(1, len(digests), rows)

    async def test_exactly_one_of_several_concurrent_changes_wins(self) -> None:
        """Guards against concurrent changes: several accepted, or one applied in part."""
        async with Fleet(OPTIONS) as fleet:
            admin = AdminClient(fleet)
            for lost in (0, 1, 3):
                with self.subTest(lost_answers=lost):
                    before = fleet.revision
                    await fleet.control_stand_in("store", {"lose_answers": lost})
                    contacts = [f"operator {lost}/{n}" for n in range(6)]
                    replies = await asyncio.gather(
                        *(
                            admin.apply(admin.document_with_contact(contact), before, contact)
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
                    await admin.wait_until_active(fleet.revision, ACTIVATION_LIMIT_S)
                    newest = (await admin.history())[0]
                    self.assertEqual(contacts[winners[0]], newest["operation_id"])

    async def test_terms_withdrawn_during_a_store_outage_stay_withdrawn(self) -> None:
        """Guards against a restarted router that serves by an outdated document."""
        async with Fleet(OPTIONS) as fleet:
            admin, caller = AdminClient(fleet), CheckingClient(fleet)
            document = admin.document_with_contact("no terms")
            for terms in document["terms"].values():
                terms["customers"] = [name for name in terms["customers"] if name != CUSTOMER]
            reply = await admin.apply(document, fleet.revision)
            self.assertEqual(200, reply.status, reply)
            await admin.wait_until_active(reply.revision, ACTIVATION_LIMIT_S)
            fleet.revision = reply.revision
            await fleet.control_stand_in("store", {"outage": True})
            await asyncio.gather(*(fleet.restart(row.name, wait=False) for row in fleet.routers))
            start_s = time.monotonic()
            await fleet.wait_ready()
            self.assertLess(time.monotonic() - start_s, ACTIVATION_LIMIT_S)
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
