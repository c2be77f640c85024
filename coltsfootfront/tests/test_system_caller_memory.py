"""Tests of a router's memory and descriptors under crowds of callers that keep to no limit.

A crowd is bounded by what it sends. Only the process, its resident memory, its open descriptors and
one ordinary request are checked: nothing that depends on the speed of the machine.
"""

import asyncio
import itertools
import os
import re
import signal
import socket
import tempfile
import unittest
from collections.abc import Iterable, Iterator
from contextlib import suppress
from pathlib import Path

import aiohttp

from coltsfootfront_dev.platformfleet import API_KEY, HOST, PlatformFleet, configuration
from coltsfootfront_dev.platformrouters import RouterProcess, RouterProcesses

# A VM's memory and descriptors. The smallest VMs of the platform have 160 MB and 1,638 descriptors.
MEMORY_MB = 128
MAX_DESCRIPTORS = 1024
DESCRIPTORS_FOR_FILES = 200
MAX_CONNECTIONS = 500
MAX_BODY_BYTES = 4_194_304
# Below this size the router reserved no memory for a body.
SMALL_BODY_BYTES = 71_900
LARGE_CROWD = 400
SLOW_CROWD = 240
SMALL_CROWD = 1_500
# Together below the limit on a head, 16,384 bytes.
LONG_FIELDS = tuple(f"X-Field-{number:03}: {'v' * 65}" for number in range(190))
# A caller that reads slowly takes a piece of this size in each interval.
SLOW_PIECE_BYTES = 1_500
SLOW_INTERVAL_S = 0.05
# Time between the callers of a crowd that does not come at once.
ARRIVAL_INTERVAL_S = 0.005
# Time for which a crowd may go on sending, and for which an ordinary request may be tried again.
# Both bound the duration of the test; neither is checked.
CROWD_S = 10.0
ORDINARY_S = 60.0
SAMPLE_INTERVAL_S = 0.02
PIECE_BYTES = 32_768


def head(path: str = "/look/a", method: str = "GET", *fields: str) -> bytes:
    """Encode the head of a request with the fields of an ordinary one."""
    lines = (
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        "X-Request-Id: crowd",
        "X-Deadline-Ms: 60000",
        f"Authorization: Token {API_KEY}",
        *fields,
    )
    return "\r\n".join([*lines, "", ""]).encode()


def sized_body(size_bytes: int, missing_bytes: int = 0, *fields: str) -> list[bytes]:
    """Encode a request with a length, of whose body the last bytes may be missing."""
    begin = head("/file/a", "POST", f"Content-Length: {size_bytes}", *fields)
    return [begin, bytes(size_bytes - missing_bytes)]


def in_pieces(parts: Iterable[bytes]) -> Iterator[bytes]:
    """Split the parts of a request into small pieces."""
    data = b"".join(parts)
    for begin in range(0, len(data), PIECE_BYTES):
        yield data[begin : begin + PIECE_BYTES]


def chunked_body(chunk_bytes: int, chunks: int, is_complete: bool) -> list[bytes]:
    """Encode a request with a chunked body, of which the last chunk may be missing."""
    fields = head("/file/a", "POST", "Transfer-Encoding: chunked")
    chunk = b"%x\r\n%s\r\n" % (chunk_bytes, bytes(chunk_bytes))
    return [fields, chunk * chunks, b"0\r\n\r\n" if is_complete else b""]


class CrowdTestCase(unittest.IsolatedAsyncioTestCase):
    """A router, and crowds of callers that each test class sends to it in its own size."""

    memory_mb = MEMORY_MB
    max_descriptors = MAX_DESCRIPTORS
    slow_crowd = SLOW_CROWD
    receive_buffer_bytes = 0
    """Buffer of each caller's socket, 0 for as much as the kernel takes."""

    async def asyncSetUp(self) -> None:
        self.folder = tempfile.TemporaryDirectory()
        self.fleet = PlatformFleet()
        await self.fleet.start()
        self.config = configuration(2, timeout_ms=60_000)
        for service in self.config["services"]:
            service["max-conns"] = MAX_CONNECTIONS
        self.fleet.store.put_json("op/config", self.config)
        self.processes = RouterProcesses(Path(self.folder.name), self.fleet.store.address)
        self.router: RouterProcess = await self.processes.add()
        self.router.settings["limits"] |= {
            "memory-mb": self.memory_mb,
            "max-fds": self.max_descriptors,
        }
        self.router.start()
        await self.router.wait_ready()
        self.pid = int(re.findall(r"pid (\d+)", self.router.state())[0])
        self.sockets: list[socket.socket] = []
        self.most_descriptors = 0
        self._sampler = asyncio.create_task(self._sample_descriptors())

    async def asyncTearDown(self) -> None:
        self._sampler.cancel()
        for connection in self.sockets:
            connection.close()
        await self.processes.close()
        await self.fleet.close()
        self.folder.cleanup()

    async def _sample_descriptors(self) -> None:
        while True:
            with suppress(OSError):
                count = len(os.listdir(f"/proc/{self.pid}/fd"))
                self.most_descriptors = max(self.most_descriptors, count)
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    def _memory_mb(self, field: str) -> float:
        status = Path(f"/proc/{self.pid}/status").read_text(encoding="utf-8")
        return int(re.findall(rf"{field}:\s+(\d+)", status)[0]) / 1024

    async def _send(
        self, pieces: Iterable[bytes], reads: bool = False, listen: str = "front"
    ) -> socket.socket:
        """Send on a new connection, which stays open; the router may close it at any time."""
        loop = asyncio.get_running_loop()
        connection = socket.socket()
        connection.setblocking(False)
        if self.receive_buffer_bytes:
            size = self.receive_buffer_bytes
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)
        self.sockets.append(connection)
        host, _, port = self.router.settings["listen"][listen].rpartition(":")
        with suppress(OSError):
            await loop.sock_connect(connection, (host, int(port)))
            for piece in pieces:
                await loop.sock_sendall(connection, piece)
                await asyncio.sleep(0)
            while reads and await loop.sock_recv(connection, PIECE_BYTES):
                pass
        return connection

    async def _read_slowly(self, number: int) -> None:
        """Send a request on a new connection, and read its response slowly."""
        await asyncio.sleep(number * ARRIVAL_INTERVAL_S)
        loop = asyncio.get_running_loop()
        connection = await self._send([head()])
        with suppress(OSError):
            while await loop.sock_recv(connection, SLOW_PIECE_BYTES):  # noqa: ASYNC110
                await asyncio.sleep(SLOW_INTERVAL_S)

    async def _send_again(self, pieces: Iterable[bytes]) -> None:
        """Send on a new connection whenever the router has closed the one before."""
        while True:
            connection = await self._send(pieces, reads=True)
            # Otherwise the crowd ends when the test has used up its own descriptors.
            connection.close()
            await asyncio.sleep(SLOW_INTERVAL_S)

    async def _run_crowd(self, crowd: Iterable[Iterable[bytes]], reads: bool = False) -> None:
        """Send all requests of a crowd at once."""
        tasks = [asyncio.create_task(self._send(pieces, reads)) for pieces in crowd]
        _, pending = await asyncio.wait(tasks, timeout=CROWD_S)
        for task in pending:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _send_ordinary(self) -> bool:
        """Send an ordinary request until it is answered, as its caller would after a refusal."""
        url = f"http://{self.router.settings['listen']['front']}/look/a"
        headers = {"Host": HOST, "X-Request-Id": "o", "Authorization": f"Token {API_KEY}"}
        with suppress(TimeoutError):
            async with asyncio.timeout(ORDINARY_S):
                while self.router.is_running():
                    with suppress(aiohttp.ClientError):
                        async with (
                            aiohttp.ClientSession() as session,
                            session.get(url, headers=headers) as response,
                        ):
                            if response.status == 200:
                                return True
                    await asyncio.sleep(0.1)
        return False

    async def _check(self) -> None:
        """Check the process while the connections of its crowd are open."""
        self.assertTrue(self.router.is_running(), self.router.state())
        for target in self.fleet.targets:
            target.faults.endless = ""
            target.faults.hangs = target.faults.floods = False
        is_answered = await self._send_ordinary()
        self.assertTrue(self.router.is_running(), self.router.state())
        peak_mb, resident_mb = self._memory_mb("VmHWM"), self._memory_mb("VmRSS")
        seen = (
            f"peak {peak_mb:.0f} MB, resident {resident_mb:.0f} MB, descriptors "
            f"{self.most_descriptors}, ordinary request answered: {is_answered}"
        )
        print(f"{self.id().rpartition('.')[2]}: {seen}")
        self.assertIn(f"pid {self.pid},", self.router.state())
        self.assertTrue(is_answered, seen)
        self.assertLess(peak_mb, self.memory_mb, seen)
        descriptors = self.max_descriptors - DESCRIPTORS_FOR_FILES
        self.assertLessEqual(self.most_descriptors, descriptors, seen)

    async def _send_small_chunks(self) -> None:
        kinds = [chunked_body(1, 20_000, number == 0) for number in range(10)]
        await self._run_crowd(kinds * (self.slow_crowd // 10))

    async def _send_pipelined(self) -> None:
        for target in self.fleet.targets:
            target.faults.hangs = True
        waiting = head("/look/a", "GET", f"X-Filler: {'x' * 12_000}")
        await self._run_crowd([[head(), waiting * 40]] * self.slow_crowd)

    async def _leave_responses_unread(self, kind: str, *fields: str) -> None:
        for target in self.fleet.plain_targets:
            target.faults.endless = kind
        await self._run_crowd([[head("/look/a", "GET", *fields)]] * self.slow_crowd)
        await asyncio.sleep(CROWD_S)

    async def _leave_streams_unread(self) -> None:
        for target in self.fleet.engine_targets:
            target.faults.floods = True
        fields = ("X-Model: m", "X-Token-Usage: 10,10", "X-Prompt-Prefix: a:10")
        await self._run_crowd([[head("/long/a", "GET", *fields)]] * self.slow_crowd)
        await asyncio.sleep(CROWD_S)


class CallerMemoryTest(CrowdTestCase):

    async def test_large_bodies_sent_whole(self) -> None:
        """Guards against many complete bodies that together exceed the memory."""
        await self._run_crowd([sized_body(MAX_BODY_BYTES)] * LARGE_CROWD, reads=True)
        await self._check()

    async def test_large_bodies_sent_piece_by_piece(self) -> None:
        """Guards against many bodies that grow side by side beyond the memory."""
        crowd = [list(in_pieces(sized_body(MAX_BODY_BYTES)))] * LARGE_CROWD
        await self._run_crowd(crowd, reads=True)
        await self._check()

    async def test_large_bodies_that_stop_short(self) -> None:
        """Guards against callers that take all memory for bodies and never end them."""
        await self._run_crowd([sized_body(MAX_BODY_BYTES, 1)] * LARGE_CROWD)
        await self._check()

    async def test_small_bodies_sent_whole(self) -> None:
        """Guards against complete bodies that are too small to be counted."""
        await self._run_crowd([sized_body(SMALL_BODY_BYTES)] * SMALL_CROWD, reads=True)
        await self._check()

    async def test_small_bodies_sent_piece_by_piece(self) -> None:
        """Guards against growing bodies that are too small to be counted."""
        crowd = [list(in_pieces(sized_body(SMALL_BODY_BYTES)))] * SMALL_CROWD
        await self._run_crowd(crowd, reads=True)
        await self._check()

    async def test_small_bodies_that_stop_short(self) -> None:
        """Guards against bodies that are too small to be counted and never end."""
        await self._run_crowd([sized_body(SMALL_BODY_BYTES, 1)] * SMALL_CROWD)
        await self._check()

    async def test_large_chunks(self) -> None:
        """Guards against bodies of unknown length in large chunks, most of which never end."""
        kinds = [chunked_body(262_144, 15, number == 0) for number in range(10)]
        await self._run_crowd(kinds * (LARGE_CROWD // 10))
        await self._check()

    async def test_small_chunks(self) -> None:
        """Guards against chunks that take far more memory than their bytes."""
        await self._send_small_chunks()
        await self._check()

    async def test_heads_that_do_not_end(self) -> None:
        """Guards against heads whose fields keep to their limit and whose number does not."""
        fields = [f"X-{number}: {'x' * 8_000}\r\n".encode() for number in range(190)]
        begin = head().removesuffix(b"\r\n")
        await self._run_crowd([[begin, *fields]] * SLOW_CROWD)
        await self._check()

    async def test_pipelined_requests(self) -> None:
        """Guards against requests that wait behind one that is being served."""
        await self._send_pipelined()
        await self._check()

    async def test_streams_that_are_not_read(self) -> None:
        """Guards against events that were written and are not read."""
        await self._leave_streams_unread()
        await self._check()

    async def test_long_responses_that_are_not_read(self) -> None:
        """Guards against long response bodies that were written and are not read."""
        await self._leave_responses_unread("chunks")
        await self._check()

    async def test_connections_that_send_nothing(self) -> None:
        """Guards against idle connections that take all descriptors."""
        await self._run_crowd([[]] * (2 * SMALL_CROWD))
        await self._check()

    async def test_connections_to_the_other_ports(self) -> None:
        """Guards against a crowd at the ports for peers and readiness, which anybody may reach."""
        begin = b"GET /v1/ready HTTP/1.1\r\nX: " + b"x" * 12_000
        for listen in ("control", "ready"):
            crowd = [self._send(pieces, listen=listen) for pieces in [[], [begin]] * 700]
            await asyncio.wait_for(asyncio.gather(*crowd), ORDINARY_S)
        await self.router.wait_ready()
        await self._check()

    async def test_connections_that_open_and_drop(self) -> None:
        """Guards against connections of which something is left when they are dropped."""
        for _ in range(20):
            await self._run_crowd(
                [[], [head()], [head()[:40]], sized_body(SMALL_BODY_BYTES, 1)] * 50
            )
            for connection in self.sockets:
                connection.close()
            self.sockets.clear()
        await self._check()

    async def test_crowd_while_the_limits_change(self) -> None:
        """Guards against an account that loses count when the configured limits change."""

        async def change_limits() -> None:
            sizes = itertools.cycle((65_536, MAX_BODY_BYTES, 1_048_576))
            for version in itertools.count(3):
                limits = {"max-body-bytes": next(sizes), "idle-timeout-ms": 15_000}
                changed = self.config | {"version": version, "limits": limits}
                self.fleet.store.put_json("op/config", changed)
                await asyncio.sleep(0.2)

        changes = asyncio.create_task(change_limits())
        large = list(in_pieces(sized_body(MAX_BODY_BYTES, 1)))
        chunked = list(in_pieces(chunked_body(4_096, 900, False)))
        await self._run_crowd([large, chunked] * (LARGE_CROWD // 2))
        changes.cancel()
        await self._check()


class SmallestVmTest(CrowdTestCase):
    """The crowds that exceeded the smallest VM of the platform by what one round reads at once."""

    memory_mb = 160
    max_descriptors = 1_638
    slow_crowd = 700

    async def test_small_chunks(self) -> None:
        """Guards against chunks that are parsed for all connections before any is charged."""
        await self._send_small_chunks()
        await self._check()

    async def test_pipelined_requests(self) -> None:
        """Guards against requests that are parsed for all connections before any is charged."""
        await self._send_pipelined()
        await self._check()

    async def test_streams_that_are_not_read(self) -> None:
        """Guards against readers of targets' responses that hold more than a request is charged."""
        await self._leave_streams_unread()
        await self._check()


class LargerVmTest(CrowdTestCase):
    """Crowds that grow with the descriptors of a VM, beside which a fixed reserve is small."""

    memory_mb = 300
    max_descriptors = 4_100
    slow_crowd = 1_700
    receive_buffer_bytes = 16_384

    async def test_long_heads_whose_bodies_stop_short(self) -> None:
        """Guards against heads that take memory until the end of their requests."""
        crowd = [sized_body(SMALL_BODY_BYTES, 5, *LONG_FIELDS)] * self.slow_crowd
        await self._run_crowd(crowd)
        await self._check()

    async def test_long_heads_whose_responses_are_not_read(self) -> None:
        """Guards against heads and their copies for the target that are kept beside a response."""
        await self._leave_responses_unread("chunks", *LONG_FIELDS)
        await self._check()

    async def test_long_responses_that_are_not_read(self) -> None:
        """Guards against copies of a response that are not counted."""
        await self._leave_responses_unread("sized")
        await self._check()

    async def test_streams_that_are_not_read(self) -> None:
        """Guards against readers of targets' responses that hold more than a request is charged."""
        await self._leave_streams_unread()
        await self._check()

    async def test_long_responses_that_are_read_slowly(self) -> None:
        """Guards against callers that read, and never so slowly that they have stalled."""
        for target in self.fleet.plain_targets:
            target.faults.endless = "sized"
        callers = [asyncio.create_task(self._read_slowly(number)) for number in range(450)]
        await asyncio.sleep(CROWD_S)
        await self._check()
        for caller in callers:
            caller.cancel()

    async def test_small_chunks_that_go_on(self) -> None:
        """Guards against an event loop that has time for nothing but the framing of chunks."""
        kinds = [chunked_body(1, 20_000, number == 0) for number in range(10)]
        crowd = [self._send_again(pieces) for pieces in kinds * 300]
        callers = [asyncio.create_task(caller) for caller in crowd]
        await asyncio.sleep(CROWD_S)
        await self._check()
        for caller in callers:
            caller.cancel()

    async def test_rare_framings(self) -> None:
        """Guards against framings of which a part is not counted, or is not parsed in turns."""
        chunked = head("/file/a", "POST", "Transfer-Encoding: chunked")
        tiny_chunks = b"1\r\nx\r\n" * 20_000
        shapes: list[list[bytes]] = [
            sized_body(MAX_BODY_BYTES, 1, "Expect: 100-continue"),
            [part.replace(b"HTTP/1.1", b"HTTP/1.0") for part in sized_body(SMALL_BODY_BYTES, 1)],
            [chunked, (b"1;" + b"e" * 1_000 + b"\r\nx\r\n") * 2_000],
            [chunked, b"1\r\nx\r\n0\r\n", *[b"X-Trailer: " + b"t" * 50 + b"\r\n"] * 5_000],
            [chunked, (b"14\r\n" + b"x" * 20 + b"\r\n") * 10_000],
            [chunked, *(tiny_chunks[begin : begin + 300] for begin in range(0, 60_000, 300))],
        ]
        await self._run_crowd(shapes * (self.slow_crowd // len(shapes)))
        await self._check()

    async def test_stop_beside_a_crowd(self) -> None:
        """Guards against a stop that waits for callers that never end their requests."""
        kinds: list[list[bytes]] = [
            sized_body(SMALL_BODY_BYTES, 1),
            chunked_body(1, 20_000, False),
            [head()[:40]],
            [],
        ]
        crowd = [self._send_again(pieces) for pieces in kinds * (self.slow_crowd // len(kinds))]
        callers = [asyncio.create_task(caller) for caller in crowd]
        await asyncio.sleep(CROWD_S)
        self.router.signal(signal.SIGHUP)
        await self._check()
        self.router.signal(signal.SIGTERM)
        self.assertEqual(0, await self.router.wait(ORDINARY_S))
        for caller in callers:
            caller.cancel()

    async def test_all_shapes_at_once(self) -> None:
        """Guards against bounds that each hold alone and not together."""
        for target in self.fleet.plain_targets:
            target.faults.endless = "chunks"
        shapes: list[list[bytes]] = [
            sized_body(MAX_BODY_BYTES, 1),
            sized_body(SMALL_BODY_BYTES, 5, *LONG_FIELDS),
            chunked_body(65_536, 60, False),
            chunked_body(1, 20_000, False),
            [head("/look/a", "GET", *LONG_FIELDS)],
            [head(), head("/look/a", "GET", f"X-Filler: {'x' * 12_000}") * 20],
            [],
        ]
        await self._run_crowd(shapes * (self.slow_crowd // len(shapes)))
        await self._check()


class LargestVmTest(CrowdTestCase):
    """The crowds that exceeded the VM with the most memory, which has the most descriptors."""

    memory_mb = 552
    max_descriptors = 8_192
    slow_crowd = 3_000
    receive_buffer_bytes = 16_384

    async def test_long_heads_whose_responses_are_not_read(self) -> None:
        """Guards against a reserve that does not grow with the number of connections."""
        await self._leave_responses_unread("chunks", *LONG_FIELDS)
        await self._check()
