"""Tests of the account of a router's memory, and of the limits on slow callers."""

import asyncio
import os
import socket
import unittest
from unittest import mock

from coltsfootfront.common.clock import SystemClock
from coltsfootfront.common.errors import SettingsError
from coltsfootfront.direct.callerrequest import CallerRequest, ResponseWriter
from coltsfootfront.direct.routingconfig import CallerLimits
from coltsfootfront.memory.account import SEARCH_INTERVAL_S, Account
from coltsfootfront.memory.budget import (
    ACCEPT_DESCRIPTORS,
    BASE_BYTES,
    CLOSING_DESCRIPTORS,
    CONNECTION_BYTES,
    FILE_DESCRIPTORS,
    INCLUDED_HEAD_BYTES,
    MIB,
    REQUEST_BYTES,
    Budget,
    body_memory_bytes,
    caller_budget,
    head_memory_bytes,
)
from coltsfootfront.memory.holder import STALL_S, Holder, Phase
from coltsfootfront.memory.limits import LOG_INTERVAL_S, LimitReport
from coltsfootfront.memory.parsepacer import ROUND_S, PacedConnection, ParsePacer
from coltsfootfront.memory.resident import ResidentMemory
from coltsfootfront.platform import callerserver, settings
from coltsfootfront.platform.callerserver import PlatformCallerServer
from coltsfootfront.tests.support import ManualClock
from coltsfootfront_dev.platformfleet import settings_fields

KIB = 1024
# Limits that are 30 and 20 times shorter than the operators'.
SHORT_LIMITS = CallerLimits(body_bytes=100_000, idle_s=0.5, header_s=0.15)


class BudgetTest(unittest.TestCase):
    def test_requests_and_bodies_fit_into_the_memory(self) -> None:
        """Guards against the platform killing a process whose requests exceed its memory."""
        budget = caller_budget(150 * MIB, 1_638)
        requests = budget.memory_bytes // REQUEST_BYTES
        self.assertLess(80 * MIB + requests * 104 * KIB, 150 * MIB)
        bodies = budget.memory_bytes // (REQUEST_BYTES + body_memory_bytes(4 * MIB))
        self.assertGreater(bodies, 5)
        self.assertLess(80 * MIB + bodies * 5_200_000, 150 * MIB)
        self.assertGreater(caller_budget(300 * MIB, None).memory_bytes, 2 * budget.memory_bytes)
        self.assertGreater(caller_budget(0, 0).memory_bytes, 60 * REQUEST_BYTES)
        self.assertGreater(caller_budget(0, 0).descriptors, 0)
        self.assertLess(budget.descriptors, 1_638 - FILE_DESCRIPTORS)
        self.assertLess(BASE_BYTES + budget.memory_bytes, 150 * MIB + 1)

    def test_many_fields_of_a_head(self) -> None:
        """Guards against heads whose fields take more memory than their bytes."""
        self.assertEqual(0, head_memory_bytes([(b"Accept", b"text/plain")] * 20))
        tiny = head_memory_bytes([(b"X", b"1")] * 200)
        self.assertGreater(tiny, 100 * 200 * 2)
        long = head_memory_bytes([(b"X", b"1" * 15_800)] * 10)
        self.assertGreater(long, 2 * 158_000 - INCLUDED_HEAD_BYTES)

    def test_descriptors_of_the_settings(self) -> None:
        """Guards against a field that is not read, or that a deployment without it must have."""
        fields = settings_fields("r", "127.0.0.1:1", [])
        for told, expected in ((1_638, 1_638), (8192.0, 8_192), (None, None)):
            fields["limits"]["max-fds"] = told
            self.assertEqual(expected, settings.decode(fields, "path").max_descriptors)
        for wrong in (-1, 1.5, "many", True):
            fields["limits"]["max-fds"] = wrong
            with self.assertRaisesRegex(SettingsError, r"limits\.max-fds"):
                settings.decode(fields, "path")

    def test_descriptors_of_the_process_bound_those_of_the_settings(self) -> None:
        """Guards against settings that tell more descriptors than the process may open."""
        for hard, told, expected in ((1_024, 8_192, 1_024), (1_024, None, 1_024), (-1, 900, 900)):
            with mock.patch("resource.getrlimit", return_value=(hard, hard)):
                budget = caller_budget(200 * MIB, told)
                self.assertLess(budget.descriptors, expected - FILE_DESCRIPTORS)
                self.assertGreater(budget.descriptors, expected - FILE_DESCRIPTORS - 200)


class FakeResidentMemory(ResidentMemory):
    """Figure that a test sets, of which a part is freed when the allocator is asked to."""

    def __init__(self, held_bytes: int, freed_bytes: int = 0) -> None:
        self.held_bytes = held_bytes
        self._freed_bytes = freed_bytes

    def start(self) -> None:
        pass

    def close(self) -> None:
        pass

    def read_bytes(self) -> int:
        return self.held_bytes

    def trim(self) -> None:
        self.held_bytes -= self._freed_bytes


class FakePacedConnection(PacedConnection):
    """Connection each part of whose input takes as long to parse as a test says."""

    def __init__(self, clock: ManualClock, parts: int, part_s: float) -> None:
        self._clock = clock
        self.parts = parts
        self._part_s = part_s

    def parse_next(self) -> bool:
        self._clock.advance(self._part_s)
        self.parts -= 1
        return self.parts > 0


class ParsePacerTest(unittest.IsolatedAsyncioTestCase):
    async def test_rounds_leave_time_for_others(self) -> None:
        """Guards against an event loop that is busy with the framing of a crowd."""
        clock = ManualClock()
        pacer = ParsePacer(clock)
        crowd = [FakePacedConnection(clock, 3, 0.002) for _ in range(100)]
        for connection in crowd:
            pacer.add(connection)
        began_s = clock.monotonic_s()
        delay_s = pacer.run_round()
        passed_s = clock.monotonic_s() - began_s
        self.assertLess(passed_s, 2 * ROUND_S)
        self.assertGreaterEqual(delay_s, passed_s * 0.9)
        while any(connection.parts for connection in crowd):
            pacer.run_round()
        pacer.close()

    async def test_connection_that_is_alone_waits_for_nobody(self) -> None:
        """Guards against a caller in calm that is slowed for the size of its chunks."""
        clock = ManualClock()
        pacer = ParsePacer(clock)
        pacer.add(FakePacedConnection(clock, 100, 0.002))
        self.assertEqual(0.0, pacer.run_round())
        pacer.close()


class AccountTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.closed: list[tuple[str, str]] = []
        self.account = Account(Budget(MIB, 10), self.clock)

    def _open(
        self, name: str, phase: Phase = Phase.IDLE, held_bytes: int = 0, customer: str = ""
    ) -> Holder:
        """Open a connection, whose name begins with its address."""
        holder = self.account.open(name[0], lambda reason: self.closed.append((name, reason)))
        assert holder is not None
        holder.enter(phase, self.clock.monotonic_s())
        holder.customer = customer
        if held_bytes:
            self.assertTrue(self.account.change(holder, held_bytes, 1))
        return holder

    def test_nobody_is_closed_while_there_is_room(self) -> None:
        """Guards against limits that ordinary callers meet in calm."""
        for phase in Phase:
            self._open(f"a{phase.value}", phase, 200 * KIB)
        self.clock.advance(100.0)
        self._open("b")
        self.assertEqual([], self.closed)

    def test_order_in_which_connections_are_closed(self) -> None:
        """Guards against closing active callers while idle, stalled or slow ones hold memory."""
        self._open("1 idle", Phase.IDLE, 100 * KIB)
        self._open("2 stalled", Phase.RECEIVING, 100 * KIB)
        self.clock.advance(0.01)
        self._open("3 unread", Phase.WRITING, 100 * KIB)
        slow = self._open("4 slow", Phase.RECEIVING, 100 * KIB)
        served = self._open("5 served", Phase.SERVING, 100 * KIB)
        self.clock.advance(STALL_S)
        slow.progress_s, slow.received_bytes = self.clock.monotonic_s(), 100
        self._open("6 large", Phase.RECEIVING, 400 * KIB)
        growing = self._open("7 growing", Phase.RECEIVING)
        for held in (150, 250, 350, 450):
            self.assertTrue(self.account.change(growing, held * KIB, 1))
        # It holds more than the one that is large, and would have to close it for itself.
        self.assertFalse(self.account.change(growing, 600 * KIB, 1))
        self.clock.advance(SEARCH_INTERVAL_S)
        small = self._open("8 small", Phase.RECEIVING)
        self.assertTrue(self.account.change(small, 100 * KIB, 1))
        expected = [
            ("1 idle", "idle"),
            ("2 stalled", "stalled"),
            ("3 unread", "stalled"),
            ("4 slow", "slow"),
            ("7 growing", "greedy"),
        ]
        self.assertEqual(expected, self.closed)
        self.assertTrue(served.is_open)

    def test_new_connections_are_not_closed_for_memory(self) -> None:
        """Guards against a crowd that comes again and again, for which each new caller is closed
        before its request is read."""
        self.account = Account(Budget(10 * MIB, 1_000), self.clock)
        for number in range(80):
            self._open(f"a{number}", Phase.RECEIVING, 128 * KIB)
        caller = self.account.open("b", lambda reason: self.closed.append(("b", reason)))
        for _ in range(300):
            self.account.open("a", lambda reason: None)
        growing = self._open("a", Phase.RECEIVING)
        self.account.change(growing, 5 * MIB, 1)
        assert caller is not None
        self.assertTrue(caller.is_open)
        self.assertEqual({"greedy"}, {reason for _, reason in self.closed})

    def test_new_connections_give_way_to_others_for_descriptors(self) -> None:
        """Guards against connections that send nothing and keep out or displace those that do."""
        receiving = self._open("a", Phase.RECEIVING, 128 * KIB)
        for _ in range(50):
            self.account.open("b", lambda reason: None)
        self.assertTrue(receiving.is_open)

    def test_the_greediest_address_or_customer_gives_way(self) -> None:
        """Guards against one address or customer that takes the memory of all others."""
        for customer, address in (("", "a"), ("large", "")):
            with self.subTest(customer=customer):
                self.setUp()
                for number in range(8):
                    name = f"{address or number}{number}"
                    self._open(name, Phase.RECEIVING, 125 * KIB, customer)
                other = self._open("x", Phase.RECEIVING)
                self.assertTrue(self.account.change(other, 100 * KIB, 1))
                self.assertEqual({"greedy"}, {reason for _, reason in self.closed})

    def test_a_charge_without_room_changes_nothing(self) -> None:
        """Guards against an account that loses count by refusals."""
        first = self._open("a", Phase.SERVING, 600 * KIB)
        second = self._open("b", Phase.RECEIVING, 300 * KIB)
        self.assertFalse(self.account.change(second, 500 * KIB, 1))
        self.assertEqual(900 * KIB, self.account.held_bytes)
        self.account.remove(first)
        self.account.remove(first)
        self.assertTrue(self.account.change(second, 500 * KIB, 1))
        self.account.remove(second)
        counts = (self.account.held_bytes, self.account.descriptors, self.account.connections)
        self.assertEqual((0, 0, 0), counts)

    def test_descriptors_are_bounded(self) -> None:
        """Guards against connections that leave no descriptors for the store and the targets."""
        idle = []
        for number in range(10):
            idle.append(self._open(f"a{number}"))
            self.clock.advance(0.1)
        self._open("b", Phase.SERVING)
        self.assertEqual([False, *[True] * 9], [holder.is_open for holder in idle])
        self.account.set_other_descriptors(5)
        for number in range(4):
            self._open(f"c{number}", Phase.SERVING)
        self.assertIsNone(self.account.open("d", lambda reason: None))
        self.assertEqual(5, self.account.descriptors)
        self.assertFalse(any(holder.is_open for holder in idle))

    def test_descriptors_of_connections_that_are_being_closed(self) -> None:
        """Guards against more new connections in a round than descriptors are free."""
        self.account = Account(Budget(100 * MIB, 500), self.clock)
        idle = [self._open(f"a{number}") for number in range(500)]
        opened = [self.account.open("b", lambda reason: None) for _ in range(500)]
        accepted = [holder for holder in opened if holder is not None]
        self.assertLessEqual(len(accepted), CLOSING_DESCRIPTORS)
        for holder in idle:
            if not holder.is_open:
                self.account.remove(holder)
        self.assertIsNotNone(self.account.open("c", lambda reason: None))

    def test_resident_memory_bounds_what_is_underestimated(self) -> None:
        """Guards against a shape of requests that holds more than it is charged for."""
        resident = FakeResidentMemory(60 * MIB)
        self.account = Account(Budget(64 * MIB, 100, 100 * MIB), self.clock, resident=resident)
        stalled = []
        for number in range(4):
            stalled.append(self._open(f"{number}", Phase.RECEIVING, 8 * MIB))
            self.clock.advance(0.1)
        served = self._open("s", Phase.SERVING, 8 * MIB)
        self.clock.advance(STALL_S)
        reading = self._open("r", Phase.RECEIVING, 2 * MIB)
        self.account.measure()
        self.assertEqual([], self.closed)
        resident.held_bytes = 105 * MIB
        self.account.measure()
        self.assertEqual([("0", "stalled")], self.closed)
        self.assertLess(self.account.free_bytes, 4 * MIB)
        # The memory is free once the connection has ended.
        resident.held_bytes = 95 * MIB
        self.account.remove(stalled[0])
        self.account.measure()
        self.assertEqual(1, len(self.closed))
        self.assertTrue(self.account.change(reading, 4 * MIB, 1))
        resident.held_bytes = 200 * MIB
        self.clock.advance(STALL_S)
        self.account.measure()
        self.assertEqual(5, len(self.closed))
        self.assertTrue(served.is_open)
        # What the allocator keeps does not shut out the next caller.
        self.account.remove(served)
        self.account.measure()
        next_caller = self._open("n", Phase.RECEIVING)
        self.assertTrue(self.account.change(next_caller, REQUEST_BYTES, 1))

    def test_freed_memory_is_returned_before_anybody_is_closed(self) -> None:
        """Guards against closing callers for memory that only the allocator keeps."""
        resident = FakeResidentMemory(105 * MIB, 40 * MIB)
        self.account = Account(Budget(64 * MIB, 100, 100 * MIB), self.clock, resident=resident)
        self._open("i", Phase.IDLE, 20 * MIB)
        self.account.measure()
        self.assertEqual([], self.closed)

    def test_freed_memory_does_not_limit_the_next_callers(self) -> None:
        """Guards against callers that are refused after a crowd, for memory that is free."""
        resident = FakeResidentMemory(98 * MIB, 40 * MIB)
        self.account = Account(Budget(64 * MIB, 100, 100 * MIB), self.clock, resident=resident)
        self.account.measure()
        next_caller = self._open("n", Phase.RECEIVING)
        self.assertTrue(self.account.change(next_caller, 30 * MIB, 1))

    def test_resident_memory_that_cannot_be_read(self) -> None:
        """Guards against callers that are closed, or a line for each reading, without a figure."""
        resident = FakeResidentMemory(0)
        self.account = Account(Budget(MIB, 100, MIB), self.clock, resident=resident)
        self._open("i", Phase.IDLE, 100 * KIB)
        with (
            mock.patch.object(resident, "read_bytes", side_effect=OSError("gone")),
            mock.patch("coltsfootfront.memory.account.log") as log,
        ):
            self.account.measure()
            self.account.measure()
        self.assertEqual(1, log.warning.call_count)
        self.assertEqual([], self.closed)

    def test_search_in_vain_does_not_pause_those_who_want_less(self) -> None:
        """Guards against a crowd whose refusals keep ordinary callers from being served."""
        for number in range(4):
            self._open(f"{number}", Phase.RECEIVING, 250 * KIB)
        crowd = self._open("c", Phase.RECEIVING)
        self.assertFalse(self.account.change(crowd, 250 * KIB, 1))
        ordinary = self._open("o", Phase.RECEIVING)
        self.assertTrue(self.account.change(ordinary, 100 * KIB, 1))
        self.assertEqual(["greedy"], [reason for _, reason in self.closed])

    def test_log_lines_are_bounded(self) -> None:
        """Guards against a line for each connection of a crowd."""
        report = LimitReport("callers", self.clock)
        with mock.patch("coltsfootfront.memory.limits.log") as log:
            for _ in range(1000):
                report.count("idle")
            self.assertEqual(1, log.warning.call_count)
            self.clock.advance(LOG_INTERVAL_S)
            report.count("slow")
        self.assertIn("idle:999,slow:1", log.warning.call_args.args[0])

    def test_what_a_crowd_has_met_last_is_logged(self) -> None:
        """Guards against closed connections that no line tells of until others are closed."""

        async def count_and_wait() -> None:
            report = LimitReport("callers", self.clock)
            report.count("idle")
            report.count("slow")
            logging = asyncio.create_task(report.run())
            await asyncio.sleep(0)
            self.clock.advance(LOG_INTERVAL_S)
            await asyncio.sleep(0)
            logging.cancel()

        with mock.patch("coltsfootfront.memory.limits.log") as log:
            asyncio.run(count_and_wait())
        self.assertIn("slow:1", log.warning.call_args.args[0])


async def _answer(request: CallerRequest, writer: ResponseWriter) -> None:
    await writer.begin(200, [], len(request.body))
    await writer.write(request.body)
    await writer.end()


class SlowCallerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.server = PlatformCallerServer(_answer, SystemClock())
        self.server.set_limits(SHORT_LIMITS)
        for name, value in (("SWEEP_INTERVAL_S", 0.05), ("HEAD_GRACE_S", 0.15)):
            patch = mock.patch.object(callerserver, name, value)
            patch.start()
            self.addCleanup(patch.stop)
        await self.server.start("127.0.0.1:0")
        assert self.server._server is not None
        self.port = self.server._server.sockets[0].getsockname()[1]

    async def asyncTearDown(self) -> None:
        await self.server.close()

    async def _send(self, pieces: list[bytes], interval_s: float = 0.0) -> bytes:
        """Send pieces, and read until the connection is closed."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        for piece in pieces:
            writer.write(piece)
            await asyncio.sleep(interval_s)
        response = await asyncio.wait_for(reader.read(), 10.0)
        writer.close()
        return response

    async def test_steady_upload_is_served(self) -> None:
        """Guards against a limit on the whole time of an upload that goes on."""
        head = b"POST /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
        sized, chunked = b"Content-Length: 20\r\n\r\n", b"Transfer-Encoding: chunked\r\n\r\n"
        responses = await asyncio.gather(
            self._send([head + sized, *[b"x"] * 20], 0.05),
            self._send([head + chunked, *[b"1\r\nx\r\n"] * 20, b"0\r\n\r\n"], 0.05),
        )
        for response in responses:
            self.assertTrue(response.startswith(b"HTTP/1.1 200"), response)
            self.assertTrue(response.endswith(b"x" * 20), response)

    async def test_small_chunks_are_served(self) -> None:
        """Guards against a caller in calm whose chunks wait for a turn that does not come."""
        head = b"POST /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
        chunks = b"1\r\nx\r\n" * 20_000
        request = head + b"Transfer-Encoding: chunked\r\n\r\n" + chunks + b"0\r\n\r\n"
        for response in await asyncio.gather(*(self._send([request]) for _ in range(3))):
            self.assertTrue(response.startswith(b"HTTP/1.1 200"), response[:100])
            self.assertTrue(response.endswith(b"x" * 20_000), len(response))
        self.assertEqual(0, self.server.account.held_bytes)

    async def test_what_stops_is_refused_truthfully(self) -> None:
        """Guards against heads and bodies that stay open for ever, or that are refused untruly."""
        head = b"POST /a HTTP/1.1\r\nHost: x\r\n"
        body = b"Content-Length: 20\r\n\r\nx"
        deadline = b"X-Deadline-Ms: 200\r\n"
        with mock.patch.object(self.server, "_serve") as serve:
            for name, pieces, status, interval_s in (
                ("body", [head + body], 408, 0.0),
                ("chunk", [head + b"Transfer-Encoding: chunked\r\n\r\n5\r\nx"], 408, 0.0),
                ("head", [head], 408, 0.0),
                ("deadline", [head + deadline + body, *[b"x"] * 8], 408, 0.1),
                ("long head", [head, *[b"X: " + b"x" * 9_000 + b"\r\n"] * 2], 431, 0.02),
            ):
                with self.subTest(name):
                    response = await self._send(pieces, interval_s)
                    self.assertTrue(response.startswith(b"HTTP/1.1 %d " % status), response)
            serve.assert_not_called()
        self.assertEqual(0, self.server.account.held_bytes)

    async def test_descriptors_that_cannot_be_counted(self) -> None:
        """Guards against an account that takes all descriptors to be free when none is left to
        count them with, and against a line for each attempt."""
        counted: list[int] = []
        with (
            mock.patch.object(self.server.account, "set_other_descriptors", counted.append),
            mock.patch.object(callerserver, "log") as log,
        ):
            with mock.patch("os.listdir", return_value=[str(number) for number in range(500)]):
                self.server._sweep()
            with mock.patch("os.listdir", side_effect=OSError(24, "Too many open files")):
                self.server._sweep()
                self.server._sweep()
            self.assertEqual(1, log.warning.call_count)
        self.assertGreater(counted[0], 400)
        self.assertEqual([counted[0]] * 3, counted)

    async def test_descriptors_of_a_crowd_that_connects(self) -> None:
        """Guards against descriptors of connections that are not counted yet, or not any more."""
        budget = Budget(100 * MIB, 50)
        self.server.account = Account(budget, SystemClock())
        crowd = [socket.socket() for _ in range(700)]
        before = most = len(os.listdir(callerserver.DESCRIPTORS_PATH))
        for connection in crowd:
            self.addCleanup(connection.close)
            connection.setblocking(False)
            connection.connect_ex(("127.0.0.1", self.port))
        for _ in range(100):
            await asyncio.sleep(0)
            most = max(most, len(os.listdir(callerserver.DESCRIPTORS_PATH)))
        self.assertGreater(most - before, budget.descriptors)
        reserve = ACCEPT_DESCRIPTORS + CLOSING_DESCRIPTORS
        self.assertLessEqual(most - before, budget.descriptors + reserve)

    async def test_request_without_room_is_refused_and_its_connection_released(self) -> None:
        """Guards against memory that stays charged for requests that were refused."""
        self.server.account = Account(Budget(2 * CONNECTION_BYTES, 10), SystemClock())
        for request in (
            b"GET /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n",
            b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nx",
        ):
            response = await self._send([request])
            self.assertTrue(response.startswith(b"HTTP/1.1 503"), response)
            self.assertIn(b"Retry-After", response)
        self.assertEqual(0, self.server.account.held_bytes)
