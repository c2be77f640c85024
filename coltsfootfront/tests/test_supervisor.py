"""Tests of the supervisor tree."""

import asyncio
import unittest

from coltsfootfront.common.supervisor import Supervisor
from coltsfootfront.tests.support import ManualClock


class SupervisorTest(unittest.IsolatedAsyncioTestCase):
    async def test_failed_child_is_restarted(self) -> None:
        """Guards against a failed task that is not restarted."""
        clock = ManualClock()
        starts: list[float] = []

        async def fail_twice() -> None:
            starts.append(clock.monotonic_s())
            if len(starts) < 3:
                raise RuntimeError("broken")
            await asyncio.Event().wait()

        supervisor = Supervisor("root", clock)
        supervisor.add("child", fail_twice)
        await supervisor.start()
        for _ in range(20):
            await asyncio.sleep(0)
            clock.advance(5.0)
        await supervisor.close()
        self.assertEqual(3, len(starts))

    async def test_close_stops_the_tasks_of_the_tree(self) -> None:
        """Guards against tasks that go on running after the supervisor was closed."""
        ended: list[str] = []

        async def wait() -> None:
            try:
                await asyncio.Event().wait()
            finally:
                ended.append("leaf")

        root, child = Supervisor("root", ManualClock()), Supervisor("child", ManualClock())
        child.add("leaf", wait)
        root.add_tree(child)
        await root.start()
        await asyncio.sleep(0.01)
        await root.close()
        self.assertEqual(["leaf"], ended)
