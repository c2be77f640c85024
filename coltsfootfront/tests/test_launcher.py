"""Tests of the fleet launcher and of the fit behind the capacity figures."""

import os
import signal
import socket
import unittest

from coltsfootfront_dev.deployment import FleetOptions
from coltsfootfront_dev.launcher import Fleet
from coltsfootfront_dev.ports import PortReservations
from coltsfootfront_dev.processes import FleetError
from coltsfootfront_dev.slopes import LinearFit

# Without targets, a fleet is three stand-ins, two routers and the administration API.
NO_TARGETS = FleetOptions(target_kinds=())


class _BodyError(Exception):
    """Raised within a fleet by a test."""


def _exists(pid: int) -> bool:
    try:
        os.kill(pid, 0)
    except ProcessLookupError:
        return False
    return True


class FleetTest(unittest.IsolatedAsyncioTestCase):
    async def test_processes_can_be_restarted_and_none_is_left(self) -> None:
        """Guards against processes that outlive their fleet, also when it ends with an error."""
        with self.assertRaises(_BodyError):
            async with Fleet(NO_TARGETS) as fleet:
                first = fleet.routers[0]
                old_pid, address = first.pid, first.address
                await fleet.kill(first.name)
                await fleet.restart(first.name)
                self.assertNotEqual(first.pid, old_pid)
                self.assertEqual(first.address, address)
                self.assertEqual(await fleet.revision_of(first), fleet.revision)
                fleet.pause(fleet.routers[1].name)
                raise _BodyError
        self.assertTrue(fleet.processes)
        self.assertFalse([p.name for p in fleet.processes.values() if _exists(p.pid)])
        self.assertFalse(fleet.directory.exists())

    async def test_failed_start_is_reported_and_cleaned_up(self) -> None:
        """Guards against a start that waits for a process which has already ended."""
        options = FleetOptions(target_kinds=(), router_settings={"no_such_key": 1})
        fleet = Fleet(options)
        with self.assertRaisesRegex(FleetError, "no_such_key"):
            async with fleet:
                self.fail("a fleet with a wrong setting started")
        self.assertFalse([p.name for p in fleet.processes.values() if _exists(p.pid)])

    async def test_signals_to_stopped_processes_are_errors(self) -> None:
        """Guards against a signal to a pid that the system has reused for another process."""
        fleet = Fleet(NO_TARGETS)
        try:
            fleet._add_platform_stand_ins()
            with self.assertRaises(FleetError):
                fleet.send_signal("store", signal.SIGKILL)
        finally:
            await fleet.stop()


class PortReservationsTest(unittest.TestCase):
    def test_reserved_port_is_exclusive_but_can_be_listened_on(self) -> None:
        """Guards against fleets that start at the same moment and choose the same ports."""
        first, second = PortReservations(), PortReservations()
        second._candidates = iter([port := first.reserve(), port + 1, port + 2])
        try:
            self.assertNotEqual(second.reserve(), port)
            server = socket.create_server(("127.0.0.1", port))
            server.close()
        finally:
            first.close()
            second.close()


class SlopeTest(unittest.TestCase):
    def test_line_goes_through_exact_points(self) -> None:
        """Guards against capacity figures from a wrong fit."""
        slope = LinearFit.least_squares([(1, 5.0), (2, 7.0), (4, 11.0)])
        self.assertAlmostEqual(slope.per_unit, 2.0)
        self.assertAlmostEqual(slope.intercept, 3.0)
