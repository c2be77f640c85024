"""Tests of the spread of the configuration between processes."""

import asyncio
import unittest

from coltsfootfront.common.clock import SystemClock
from coltsfootfront.configuration.entries import Entries, digest, pack
from coltsfootfront.configuration.activeconfiguration import ActiveConfiguration
from coltsfootfront.configuration.gossip import ConfigurationGossip
from coltsfootfront.peers.channel import Channel, ChannelPool
from coltsfootfront.peers.connection import Connection, Identity, Listener
from coltsfootfront.peers.messages import Delta, Message, Pull

GREET_INTERVAL_S = 0.1
DEADLINE_S = 4.0


def entries_at(number: int) -> Entries:
    """Content of a revision; one entry changes and one vanishes with each."""
    owners = {f"owners/o-{item}": b"{}" for item in range(number, number + 5)}
    return {**owners, "owners/counter": b'{"contact":"%d"}' % number}


def put_in_force(revision: ActiveConfiguration, number: int) -> None:
    """Adopt a revision as a watcher does."""
    content = entries_at(number)
    assert revision.install(number, content, digest(content))


class Node:
    """One process with a listener, channels and a spread."""

    def __init__(self, name: str, secret: str = "s") -> None:
        self.configuration = ActiveConfiguration()
        self.identity = Identity("router", name, "dc", secret, lambda: self.configuration.number)
        self.pool = ChannelPool(self.make_channel)
        self.listener = Listener("127.0.0.1:0", self.identity, self.serve)
        self.received: list[Message] = []
        self.running = asyncio.Event()
        self.running.set()
        self.address = ""
        self.gossip: ConfigurationGossip

    async def start(self, seeds: list[str]) -> None:
        """Listen and build the spread; greetings start with :meth:`greet`."""
        self.address = await self.listener.start()
        self.gossip = ConfigurationGossip(
            self.identity,
            self.configuration,
            self.pool,
            SystemClock(),
            seeds,
            self.address,
            GREET_INTERVAL_S,
        )

    async def serve(self, connection: Connection) -> None:
        """Serve one connection; a frozen node reads nothing."""
        while True:
            message, revision = await connection.receive()
            await self.running.wait()
            self.received.append(message)
            await self.gossip.handle_client_message(connection, message, revision)

    async def close(self) -> None:
        """Stop everything."""
        await self.gossip.close()
        await self.pool.close()
        await self.listener.close()

    def make_channel(self, address: str) -> Channel:
        """Channel with the spread's callbacks."""
        return Channel(
            address,
            self.identity,
            SystemClock(),
            on_revision=self.gossip.on_peer_revision,
            on_request=self.gossip.on_server_message,
        )

    async def wait_for_revision(self, number: int) -> None:
        """Wait until a revision is in force."""
        reached = asyncio.Event()
        subscription = self.configuration.changes.subscribe(
            lambda in_force: reached.set() if in_force.number >= number else None
        )
        try:
            async with asyncio.timeout(DEADLINE_S):
                await reached.wait()
        finally:
            subscription.dispose()


class SpreadTest(unittest.IsolatedAsyncioTestCase):
    """Nodes talk over loopback."""

    async def make_nodes(self, count: int, greeting: bool = True) -> list[Node]:
        """Nodes that know the first one as their seed."""
        nodes: list[Node] = []
        for number in range(count):
            node = Node(f"n-{number}")
            await node.start([nodes[0].address] if nodes else [])
            self.addAsyncCleanup(node.close)
            nodes.append(node)
        if greeting:
            addresses = [node.address for node in nodes]
            for node in nodes:
                node.gossip.set_peers(addresses)
                await node.gossip.start()
        return nodes

    async def test_spreads_to_every_node(self) -> None:
        """Guards against nodes that stay behind or end up with other content."""
        nodes = await self.make_nodes(8)
        for number in (1, 2, 5):
            put_in_force(nodes[3].configuration, number)
            await asyncio.gather(*(node.wait_for_revision(number) for node in nodes))
        for node in nodes:
            self.assertEqual(entries_at(5), node.configuration.entries)

    async def test_missed_revisions(self) -> None:
        """Guards against a wrong merge of the deltas that a node missed."""
        ahead, behind = await self.make_nodes(2, greeting=False)
        table = ((1, [1]), (4, [2, 3, 4]), (9, [5, 9]), (120, list(range(10, 121))))
        for final, numbers in table:
            with self.subTest(final=final):
                for number in numbers:
                    put_in_force(ahead.configuration, number)
                self.assertTrue(await behind.gossip.pull_from(ahead.address))
                self.assertEqual(final, behind.configuration.number)
                self.assertEqual(entries_at(final), behind.configuration.entries)

    async def test_delta_is_smaller_than_the_whole(self) -> None:
        """Guards against sending the whole document for each change."""
        ahead, behind = await self.make_nodes(2, greeting=False)
        put_in_force(ahead.configuration, 1)
        self.assertTrue(await behind.gossip.pull_from(ahead.address))
        put_in_force(ahead.configuration, 2)
        self.assertEqual(1, ahead.configuration.delta_since(1, 0).base)
        self.assertTrue(await behind.gossip.pull_from(ahead.address))
        self.assertEqual([0, 1], [item.have for item in ahead.received if isinstance(item, Pull)])

    async def test_server_behind_pulls_on_the_same_connection(self) -> None:
        """Guards against a server that stays behind because it has no way to its clients."""
        server, client = await self.make_nodes(2, greeting=False)
        put_in_force(client.configuration, 3)
        await client.gossip.start()
        await server.wait_for_revision(3)
        self.assertEqual(entries_at(3), server.configuration.entries)

    async def test_frozen_across_two_revisions(self) -> None:
        """Guards against a node that resumes and keeps or spreads its old revision."""
        nodes = await self.make_nodes(4)
        put_in_force(nodes[0].configuration, 1)
        await asyncio.gather(*(node.wait_for_revision(1) for node in nodes))
        frozen = nodes[2]
        frozen.running.clear()
        await frozen.gossip.close()
        for number in (2, 3):
            put_in_force(nodes[0].configuration, number)
            others = [node for node in nodes if node is not frozen]
            await asyncio.gather(*(node.wait_for_revision(number) for node in others))
        frozen.running.set()
        self.assertTrue(await frozen.gossip.bootstrap(DEADLINE_S))
        await frozen.wait_for_revision(3)
        self.assertEqual(entries_at(3), frozen.configuration.entries)
        self.assertEqual([3] * 4, [node.configuration.number for node in nodes])

    async def test_never_a_lower_revision(self) -> None:
        """Guards against an older delta or whole that arrives late."""
        (node,) = await self.make_nodes(1, greeting=False)
        put_in_force(node.configuration, 5)
        old = entries_at(4)
        channel = node.make_channel(node.address)
        node.gossip.on_server_message(channel, Delta(0, 0, 4, pack(old), [], digest(old)))
        self.assertEqual(5, node.configuration.number)

    async def test_wrong_digest_leads_to_the_whole(self) -> None:
        """Guards against content that differs from what was accepted."""
        ahead, behind = await self.make_nodes(2, greeting=False)
        put_in_force(ahead.configuration, 1)
        self.assertTrue(await behind.gossip.pull_from(ahead.address))
        put_in_force(ahead.configuration, 2)
        # The base of the node that is behind differs from what its number says.
        behind.configuration.entries["owners/stray"] = b"{}"
        self.assertTrue(await behind.gossip.pull_from(ahead.address))
        self.assertEqual(entries_at(2), behind.configuration.entries)
        self.assertEqual(
            [0, 1, 0], [item.have for item in ahead.received if isinstance(item, Pull)]
        )

    async def test_unusable_whole_is_not_pulled_for_ever(self) -> None:
        """Guards against two processes that exchange an unreadable document without end."""
        server, client = await self.make_nodes(2, greeting=False)
        unreadable: Entries = {"customers/c": b'{"key_hash_list":[]}'}
        channel = client.make_channel(server.address)
        self.addAsyncCleanup(channel.close)
        await channel.send(Delta(0, 0, 2, pack(unreadable), [], digest(unreadable)))
        await asyncio.sleep(0.2)
        self.assertEqual(0, server.configuration.number)
        self.assertLessEqual(len(server.received), 2)

    async def test_bootstrap_takes_the_highest(self) -> None:
        """Guards against a start with an old revision, or one that waits for a frozen peer."""
        nodes = await self.make_nodes(5, greeting=False)
        for number, node in enumerate(nodes[:4]):
            put_in_force(node.configuration, number + 1)
        nodes[0].running.clear()
        starting = nodes[4]
        starting.gossip.set_peers([node.address for node in nodes] + ["127.0.0.1:9"])
        self.assertTrue(await starting.gossip.bootstrap(DEADLINE_S))
        self.assertEqual(4, starting.configuration.number)

    async def test_bootstrap_without_peers_fails_in_time(self) -> None:
        """Guards against a start that never ends."""
        lonely = Node("lonely")
        await lonely.start(["127.0.0.1:9"])
        self.addAsyncCleanup(lonely.close)
        async with asyncio.timeout(DEADLINE_S):
            self.assertFalse(await lonely.gossip.bootstrap(0.5))

    async def test_foreign_process_changes_nothing(self) -> None:
        """Guards against a delta from a process that does not know the secret."""
        (node,) = await self.make_nodes(1, greeting=False)
        stranger = Node("stranger", secret="other")
        await stranger.start([node.address])
        self.addAsyncCleanup(stranger.close)
        put_in_force(stranger.configuration, 7)
        self.assertFalse(await stranger.gossip.send_delta(node.address, 0))
        self.assertEqual(0, node.configuration.number)


if __name__ == "__main__":
    unittest.main()
