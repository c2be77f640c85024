"""Tests of how the store's keys reach routers over links of different width."""

import asyncio
import json
import random
import unittest
import zlib
from unittest import mock

import aiohttp
import logbook
import msgpack
from aiohttp import web

from coltsfootfront.common import metrics
from coltsfootfront.common.clock import SystemClock
from coltsfootfront.direct import gossip
from coltsfootfront.direct.copyencoding import MAX_COPY_BYTES, MAX_KEPT_BYTES, CopyEncoder
from coltsfootfront.direct.peers import COPY_PATH, Peers
from coltsfootfront.direct.registration import RouterEntry
from coltsfootfront.direct.storefollower import Changes, Follower, Item, Position
from coltsfootfront.platform.store import PlatformStore
from coltsfootfront_dev.platformfleet import HOST, free_ports
from coltsfootfront_dev.platformstore import PlatformStoreStandIn
from coltsfootfront_dev.tcpproxy import LinkRate, TcpProxy

WAIT_S = 8.0
POLL_S = 0.01
CONFIG_KEY = "op/config"
# Net rate of a link of 10 Mbit/s of which half is taken by other traffic.
SMALL_LINK_BYTES_PER_S = 600_000
WIDE_LINK_BYTES_PER_S = 25_000_000


def make_configuration(routes: int, version: int = 1) -> bytes:
    """Create a configuration whose names are as hard to compress as those of a deployment."""
    generator = random.Random(version)

    def name(syllables: int) -> str:
        letters = (
            generator.choice("bdfghjklmnprstvz") + generator.choice("aeiou")
            for _ in range(syllables)
        )
        return "".join(letters) + str(generator.randrange(1000))

    services = [name(3) for _ in range(12)]
    configuration = {
        "version": version,
        "routes": [
            {
                "name": name(2),
                "host": HOST,
                "prefix": f"/{name(2)}/{name(1)}/",
                "kind": generator.choice(["stream", "idempotent", "non_idempotent"]),
                "service": generator.choice(services),
                "timeout-ms": generator.randrange(1000, 12000),
                "target-latency-ms": generator.randrange(100, 900),
                "max-attempts": generator.randrange(1, 4),
                "priority": generator.randrange(10),
                "sticky": generator.random() < 0.5,
                "resumable": generator.random() < 0.5,
                "gap-aim-ms": generator.randrange(100, 500),
            }
            for _ in range(routes)
        ],
    }
    return json.dumps(configuration, separators=(",", ":")).encode()


class TransferredBytesTest(unittest.IsolatedAsyncioTestCase):
    async def test_bytes_are_counted_by_purpose_and_large_transfers_are_logged(self) -> None:
        """Guards against a full link whose traffic no metric and no log line explains."""
        store = PlatformStoreStandIn()
        await store.start()
        self.addAsyncCleanup(store.close)
        store.put(CONFIG_KEY, make_configuration(1000))
        purposes = (metrics.STORE, metrics.PEER_COPY)
        received_bytes = [metrics.received_bytes(purpose) for purpose in purposes]
        sent_bytes = metrics.sent_bytes(metrics.PEER_COPY)
        fleet = CopyFleet(store.address)
        self.addAsyncCleanup(fleet.close)
        with logbook.TestHandler().applicationbound() as records:
            relay = await fleet.add()
            await relay.load()
            other = await fleet.add()
            changes = await other.peers.read_peer_changes(other.follower.position)
        assert changes is not None
        self.assertEqual(relay.follower.get(CONFIG_KEY), changes.items[0].value)
        for purpose, before_bytes in zip(purposes, received_bytes, strict=True):
            self.assertGreater(metrics.received_bytes(purpose), before_bytes + 10_000)
        copied_bytes = metrics.received_bytes(metrics.PEER_COPY) - received_bytes[1]
        self.assertEqual(copied_bytes, metrics.sent_bytes(metrics.PEER_COPY) - sent_bytes)
        lines = "\n".join(records.formatted_records)
        self.assertRegex(lines, r"store_transfer call=range wire_bytes=\d+ transfer_s=")
        self.assertRegex(
            lines, rf"peer_copy_received peer=\S+ wire_bytes={copied_bytes} transfer_s="
        )

    async def test_gossip_is_counted_and_metrics_page_has_the_counts(self) -> None:
        """Guards against datagrams that are missing in the bytes of a link."""
        channels = [gossip.Gossip(lambda *_: None, "east", random.Random(1)) for _ in range(2)]
        ports = free_ports(2)
        for channel, port in zip(channels, ports, strict=True):
            await channel.start("127.0.0.1", port)
            self.addAsyncCleanup(channel.close)
        before = metrics.sent_bytes(metrics.GOSSIP), metrics.received_bytes(metrics.GOSSIP)
        channels[0].set_peers({"east": [("127.0.0.1", ports[1])]})
        channels[0].broadcast(gossip.UNREACHABLE, ["t", 1])
        sent_bytes = metrics.sent_bytes(metrics.GOSSIP) - before[0]
        self.assertGreater(sent_bytes, 10)
        async with asyncio.timeout(WAIT_S):
            while metrics.received_bytes(metrics.GOSSIP) - before[1] < sent_bytes:  # noqa: ASYNC110
                await asyncio.sleep(POLL_S)
        server = web.ServerRunner(
            web.Server(metrics.handle_metrics, access_log=None)  # type: ignore[arg-type]
        )
        await server.setup()
        self.addAsyncCleanup(server.cleanup)
        await web.TCPSite(server, "127.0.0.1", 0).start()
        host, port, *_ = server.addresses[0]
        url = f"http://{host}:{port}/metrics"
        async with aiohttp.ClientSession() as session, session.get(url) as response:
            page = await response.text()
        self.assertIn(
            f'coltsfootfront_sent_bytes_total{{purpose="gossip"}} {metrics.sent_bytes("gossip")}',
            page,
        )


class LinkRateTest(unittest.IsolatedAsyncioTestCase):
    async def test_connections_share_the_rate_of_a_link_in_one_direction(self) -> None:
        """Guards against figures of a small link that more connections make wider."""
        size_bytes = 20_000

        async def respond(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.write(await reader.readexactly(size_bytes))
            writer.close()

        server = await asyncio.start_server(respond, "127.0.0.1", 0)
        self.addAsyncCleanup(server.wait_closed)
        self.addCleanup(server.close)
        host, port = server.sockets[0].getsockname()
        link = Link(200_000)
        self.addAsyncCleanup(link.close)
        proxy_host, _, proxy_port = (await link.connect(f"{host}:{port}")).rpartition(":")

        async def exchange() -> int:
            reader, writer = await asyncio.open_connection(proxy_host, int(proxy_port))
            writer.write(bytes(size_bytes))
            received = await reader.read(-1)
            writer.close()
            return len(received)

        began_s = asyncio.get_running_loop().time()
        received = await asyncio.gather(exchange(), exchange())
        passed_s = asyncio.get_running_loop().time() - began_s
        self.assertEqual([size_bytes, size_bytes], received)
        self.assertGreater(passed_s, 0.19)
        self.assertLess(passed_s, 0.35)


class CompressedCopyTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.stand_in = PlatformStoreStandIn()
        await self.stand_in.start()
        self.addAsyncCleanup(self.stand_in.close)
        self.stand_in.put(CONFIG_KEY, make_configuration(4200))
        self.fleet = CopyFleet(self.stand_in.address)
        self.addAsyncCleanup(self.fleet.close)
        self.relay = await self.fleet.add()
        await self.relay.load()

    async def test_copy_of_a_large_configuration_leaves_a_small_link_free_soon(self) -> None:
        """Guards against events that wait for seconds behind a copy on a small link."""
        follower = await self.fleet.add(SMALL_LINK_BYTES_PER_S)
        after = Position(self.relay.follower.era, self.relay.follower.revision - 1)
        before_bytes = metrics.received_bytes(metrics.PEER_COPY)
        began_s = asyncio.get_running_loop().time()
        changes = await follower.peers.read_peer_changes(after)
        passed_s = asyncio.get_running_loop().time() - began_s
        assert changes is not None
        self.assertEqual(self.relay.follower.get(CONFIG_KEY), changes.items[0].value)
        self.assertLess(metrics.received_bytes(metrics.PEER_COPY) - before_bytes, 180_000)
        self.assertLess(passed_s, 0.35)

    async def test_copy_is_compressed_once_for_all_that_follow(self) -> None:
        """Guards against a relay whose event loop stalls once for each router behind it."""
        followers = [await self.fleet.add() for _ in range(4)]
        with mock.patch.object(zlib, "compress", wraps=zlib.compress) as compress:
            for follower in followers:
                position = follower.follower.position
                self.assertIsNotNone(await follower.peers.read_peer_changes(position))
        self.assertEqual(1, compress.call_count)

    async def test_routers_of_an_earlier_version_read_and_send_copies(self) -> None:
        """Guards against routers that cannot read each other's copies during an update."""
        url = f"http://{self.relay.entry.address}{COPY_PATH}?after=0"
        async with aiohttp.ClientSession() as session:
            async with session.get(url) as response:
                by_default = await response.read()
            async with session.get(url, headers={"Accept-Encoding": "identity"}) as response:
                self.assertNotIn("Content-Encoding", response.headers)
                plain = await response.read()
        self.assertEqual(plain, by_default)
        self.assertGreater(len(plain), 700_000)
        changes = await self._read_from(web.Response(body=plain))
        assert changes is not None
        self.assertEqual(self.relay.follower.get(CONFIG_KEY), changes.items[0].value)

    async def test_odd_bodies_of_peers_are_refused(self) -> None:
        """Guards against a peer's response that exhausts the memory or ends the loop."""
        bomb = zlib.compress(msgpack.packb([1, [["k", bytes(64 * 1024 * 1024), 1]], False, 1]), 9)
        cases = {
            "bomb": (bomb, "deflate"),
            "cut": (zlib.compress(bytes(9000))[:-9], "deflate"),
            "not compressed": (b"abc", "deflate"),
            "unknown encoding": (b"abc", "odd"),
            "too large": (bytes(MAX_COPY_BYTES + 1), "identity"),
        }
        for name, (body, encoding) in cases.items():
            with self.subTest(name):
                response = web.Response(body=body, headers={"Content-Encoding": encoding})
                self.assertIsNone(await self._read_from(response))

    async def _read_from(self, response: web.Response) -> Changes | None:
        async def respond(request: web.BaseRequest) -> web.StreamResponse:
            return response

        server = web.ServerRunner(web.Server(respond, access_log=None))
        await server.setup()
        await web.TCPSite(server, "127.0.0.1", 0).start()
        host, port, *_ = server.addresses[0]
        address = f"{host}:{port}"
        follower = await self.fleet.add()
        await follower.link.connect(address)
        try:
            return await follower.peers.wait_for_peer_changes(address, Position(0, 0), 1.0)
        finally:
            await server.cleanup()

    def test_kept_bodies_are_bounded(self) -> None:
        """Guards against memory that grows with the positions that peers ask after."""
        encoder = CopyEncoder()
        item = Item("k", random.Random(1).randbytes(600_000), 1)
        for revision in range(20):
            encoder.encode(Position(1, revision), Changes([item], 30, era=1), True, True)
        self.assertLessEqual(sum(map(len, encoder._kept.values())), MAX_KEPT_BYTES)
        self.assertEqual(encoder._kept_bytes, sum(map(len, encoder._kept.values())))
        self.assertTrue(encoder._kept)


class LinkedPeers(Peers):
    """Peers whose responses arrive through the link of this router."""

    def __init__(self, own: RouterEntry, link: "Link") -> None:
        super().__init__(own, [], random.Random(own.address))
        self._link = link

    def _url(self, address: str, path: str) -> str:
        return super()._url(self._link.proxies[address].address, path)


class Link:
    """The receiving direction of a router's link, with a proxy for each address behind it."""

    def __init__(self, bytes_per_s: float) -> None:
        self.rate = LinkRate(bytes_per_s)
        self.proxies: dict[str, TcpProxy] = {}

    async def connect(self, address: str) -> str:
        """Make an address reachable through the link.

        :returns: the address to use.
        """
        if address not in self.proxies:
            self.proxies[address] = TcpProxy("127.0.0.1:0", address, to_client=self.rate)
            await self.proxies[address].start()
        return self.proxies[address].address

    async def close(self) -> None:
        """Close the proxies."""
        for proxy in self.proxies.values():
            await proxy.close()


class LinkedRouter:
    """A router's copy of the store, without the rest of a router, behind a link."""

    def __init__(self, entry: RouterEntry, link: Link, store: str, seed: int) -> None:
        self.entry = entry
        self.link = link
        self.peers = LinkedPeers(entry, link)
        self.store = PlatformStore(store)
        generator = random.Random(seed)
        self.follower = Follower(self.store, self.peers, SystemClock(), "", self._apply, generator)
        self.peers.follower = self.follower
        self._values: dict[str, bytes | None] = {}
        self._changed = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []

    def _apply(self, item: Item) -> None:
        self._values[item.key] = item.value
        self._changed.set()

    async def start(self) -> None:
        """Start the client of the store and the server for peers."""
        await self.store.start()
        await self.peers.start()

    async def load(self) -> None:
        """Read the store once."""
        failure = await self.follower._read_store()
        assert failure is None, failure

    def follow(self) -> None:
        """Start to follow the store and the peers."""
        for run in (self.follower.follow_store, self.follower.follow_peers):
            self._tasks.append(asyncio.create_task(run()))

    async def wait_for(self, value: bytes) -> float:
        """Wait until the configuration has a value.

        :returns: the time since the call.
        """
        began_s = asyncio.get_running_loop().time()
        while self._values.get(CONFIG_KEY) != value:
            self._changed.clear()
            await self._changed.wait()
        return asyncio.get_running_loop().time() - began_s

    async def close(self) -> None:
        """Stop like a process that is killed."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.peers.close()
        await self.store.close()
        await self.link.close()


class CopyFleet:
    """Routers of one data centre, each behind a link of its own.

    :param store: address of the store.
    """

    def __init__(self, store: str) -> None:
        self.routers: dict[str, LinkedRouter] = {}
        self._store = store

    async def add(
        self, bytes_per_s: float = WIDE_LINK_BYTES_PER_S, address: str | None = None
    ) -> LinkedRouter:
        """Start a router and let all know each other.

        :param address: peer address of the router that it replaces.
        """
        entry = RouterEntry(address or f"127.0.0.1:{free_ports(1)[0]}", "a", "east")
        link = Link(bytes_per_s)
        added = LinkedRouter(entry, link, await link.connect(self._store), seed=len(self.routers))
        await added.start()
        self.routers[entry.address] = added
        for router in self.routers.values():
            await self._introduce(router, added)
            await self._introduce(added, router)
        return added

    async def _introduce(self, router: LinkedRouter, other: LinkedRouter) -> None:
        await router.link.connect(other.entry.address)
        router.peers.add(other.entry.address, other.entry)

    async def close(self) -> None:
        """Stop all routers."""
        for router in self.routers.values():
            await router.close()
