"""Tests of the configuration gossip between processes."""

import asyncio
import unittest

from coltsfootfront.common.clock import SystemClock
from coltsfootfront.configuration.activeconfiguration import ActiveConfiguration
from coltsfootfront.configuration.entries import Entries, digest, pack
from coltsfootfront.configuration.gossip import ConfigurationGossip
from coltsfootfront.peers.channel import Channel, ChannelPool
from coltsfootfront.peers.connection import Connection, Identity, Listener
from coltsfootfront.peers.messages import Delta, Message, Pull

HEARTBEAT_INTERVAL_S = 0.1
DEADLINE_S = 4.0


def entries_at(number: int) -> Entries:
    """Content of a revision; from one to the next, entries are added, changed and removed."""
    owners = {f"owners/o-{item}": b"{}" for item in range(number, number + 5)}
    return {**owners, "owners/counter": b'{"contact":"%d"}' % number}


def activate(configuration: ActiveConfiguration, number: int) -> None:
    """Make a revision active as a watcher does."""
    content = entries_at(number)
    assert configuration.install(number, content, digest(content))


class Node:
    """One process with a listener, channels and configuration gossip."""

    def __init__(self, name: str, secret: str = "s") -> None:
        self.configuration = ActiveConfiguration()
        self.identity = Identity("router", name, "dc", secret, lambda: self.configuration.number)
        self.pool = ChannelPool(self.make_channel)
        self.listener = Listener("127.0.0.1:0", self.identity, self.serve)
        self.received: list[Message] = []
        self.not_frozen = asyncio.Event()
        self.not_frozen.set()
        self.address = ""
        self.gossip: ConfigurationGossip

    async def start(self, seeds: list[str]) -> None:
        """Listen and create ``gossip``; ``gossip.start()`` starts the heartbeats."""
        self.address = await self.listener.start()
        self.gossip = ConfigurationGossip(
            self.identity,
            self.configuration,
            self.pool,
            SystemClock(),
            seeds,
            self.address,
            HEARTBEAT_INTERVAL_S,
        )

    async def serve(self, connection: Connection) -> None:
        """Serve one connection; a frozen node reads nothing."""
        while True:
            message, revision = await connection.receive()
            await self.not_frozen.wait()
            self.received.append(message)
            await self.gossip.handle_client_message(connection, message, revision)

    async def close(self) -> None:
        """Stop everything."""
        await self.gossip.close()
        await self.pool.close()
        await self.listener.close()

    def make_channel(self, address: str) -> Channel:
        """Channel with the callbacks of the configuration gossip."""
        return Channel(
            address,
            self.identity,
            SystemClock(),
            on_revision=self.gossip.on_peer_revision,
            on_request=self.gossip.on_server_message,
        )

    async def wait_for_revision(self, number: int) -> None:
        """Wait until a revision is active."""
        reached = asyncio.Event()
        subscription = self.configuration.changes.subscribe(
            lambda active: reached.set() if active.number >= number else None
        )
        try:
            async with asyncio.timeout(DEADLINE_S):
                await reached.wait()
        finally:
            subscription.dispose()


class ConfigurationGossipTest(unittest.IsolatedAsyncioTestCase):
    """Nodes are connected over loopback."""

    async def make_nodes(self, count: int, send_heartbeats: bool = True) -> list[Node]:
        """Nodes with the first one as their seed."""
        nodes: list[Node] = []
        for number in range(count):
            node = Node(f"n-{number}")
            await node.start([nodes[0].address] if nodes else [])
            self.addAsyncCleanup(node.close)
            nodes.append(node)
        if send_heartbeats:
            addresses = [node.address for node in nodes]
            for node in nodes:
                node.gossip.set_peers(addresses)
                await node.gossip.start()
        return nodes

    async def test_revisions_reach_every_node(self) -> None:
        """Guards against nodes that stay behind or end up with different content."""
        nodes = await self.make_nodes(8)
        for number in (1, 2, 5):
            activate(nodes[3].configuration, number)
            await asyncio.gather(*(node.wait_for_revision(number) for node in nodes))
        for node in nodes:
            self.assertEqual(entries_at(5), node.configuration.entries)

    async def test_missed_revisions(self) -> None:
        """Guards against a wrong merge of the deltas that a node missed."""
        ahead, behind = await self.make_nodes(2, send_heartbeats=False)
        table = ((1, [1]), (4, [2, 3, 4]), (9, [5, 9]), (120, list(range(10, 121))))
        for final, numbers in table:
            with self.subTest(final=final):
                for number in numbers:
                    activate(ahead.configuration, number)
                self.assertTrue(await behind.gossip.pull_from(ahead.address))
                self.assertEqual(final, behind.configuration.number)
                self.assertEqual(entries_at(final), behind.configuration.entries)

    async def test_delta_is_smaller_than_the_full_document(self) -> None:
        """Guards against sending the whole document for each change."""
        ahead, behind = await self.make_nodes(2, send_heartbeats=False)
        activate(ahead.configuration, 1)
        self.assertTrue(await behind.gossip.pull_from(ahead.address))
        activate(ahead.configuration, 2)
        self.assertEqual(1, ahead.configuration.delta_since(1, 0).base)
        self.assertTrue(await behind.gossip.pull_from(ahead.address))
        self.assertEqual([0, 1], [item.have for item in ahead.received if isinstance(item, Pull)])

    async def test_server_behind_pulls_on_the_same_connection(self) -> None:
        """Guards against a server that stays behind as it cannot connect to its clients."""
        server, client = await self.make_nodes(2, send_heartbeats=False)
        activate(client.configuration, 3)
        await client.gossip.start()
        await server.wait_for_revision(3)
        self.assertEqual(entries_at(3), server.configuration.entries)

    async def test_frozen_across_two_revisions(self) -> None:
        """Guards against a node that keeps or propagates its old revision after a pause."""
        nodes = await self.make_nodes(4)
        activate(nodes[0].configuration, 1)
        await asyncio.gather(*(node.wait_for_revision(1) for node in nodes))
        frozen = nodes[2]
        frozen.not_frozen.clear()
        await frozen.gossip.close()
        for number in (2, 3):
            activate(nodes[0].configuration, number)
            others = [node for node in nodes if node is not frozen]
            await asyncio.gather(*(node.wait_for_revision(number) for node in others))
        frozen.not_frozen.set()
        self.assertTrue(await frozen.gossip.bootstrap(DEADLINE_S))
        await frozen.wait_for_revision(3)
        self.assertEqual(entries_at(3), frozen.configuration.entries)
        self.assertEqual([3] * 4, [node.configuration.number for node in nodes])

    async def test_revision_never_decreases(self) -> None:
        """Guards against an older delta or full document that arrives late."""
        (node,) = await self.make_nodes(1, send_heartbeats=False)
        activate(node.configuration, 5)
        old = entries_at(4)
        channel = node.make_channel(node.address)
        node.gossip.on_server_message(channel, Delta(0, 0, 4, pack(old), [], digest(old)))
        self.assertEqual(5, node.configuration.number)

    async def test_wrong_digest_leads_to_the_full_document(self) -> None:
        """Guards against content that differs from what was accepted."""
        ahead, behind = await self.make_nodes(2, send_heartbeats=False)
        activate(ahead.configuration, 1)
        self.assertTrue(await behind.gossip.pull_from(ahead.address))
        activate(ahead.configuration, 2)
        # Makes the entries differ from those of the revision that the node reports.
        behind.configuration.entries["owners/stray"] = b"{}"
        self.assertTrue(await behind.gossip.pull_from(ahead.address))
        self.assertEqual(entries_at(2), behind.configuration.entries)
        self.assertEqual(
            [0, 1, 0], [item.have for item in ahead.received if isinstance(item, Pull)]
        )

    async def test_unusable_full_document_is_not_pulled_for_ever(self) -> None:
        """Guards against two processes that exchange an unreadable document without end."""
        server, client = await self.make_nodes(2, send_heartbeats=False)
        unreadable: Entries = {"customers/c": b'{"key_hash_list":[]}'}
        channel = client.make_channel(server.address)
        self.addAsyncCleanup(channel.close)
        await channel.send(Delta(0, 0, 2, pack(unreadable), [], digest(unreadable)))
        await asyncio.sleep(0.2)
        self.assertEqual(0, server.configuration.number)
        self.assertLessEqual(len(server.received), 2)

    async def test_bootstrap_activates_the_highest_revision(self) -> None:
        """Guards against starting with an old revision, or waiting for a frozen peer at start."""
        nodes = await self.make_nodes(5, send_heartbeats=False)
        for number, node in enumerate(nodes[:4]):
            activate(node.configuration, number + 1)
        nodes[0].not_frozen.clear()
        starting = nodes[4]
        starting.gossip.set_peers([node.address for node in nodes] + ["127.0.0.1:9"])
        self.assertTrue(await starting.gossip.bootstrap(DEADLINE_S))
        self.assertEqual(4, starting.configuration.number)

    async def test_bootstrap_without_peers_fails_in_time(self) -> None:
        """Guards against a start that never ends."""
        node = Node("lonely")
        await node.start(["127.0.0.1:9"])
        self.addAsyncCleanup(node.close)
        async with asyncio.timeout(DEADLINE_S):
            self.assertFalse(await node.gossip.bootstrap(0.5))

    async def test_process_with_another_secret_changes_nothing(self) -> None:
        """Guards against a delta from a process that does not know the secret."""
        (node,) = await self.make_nodes(1, send_heartbeats=False)
        intruder = Node("stranger", secret="other")
        await intruder.start([node.address])
        self.addAsyncCleanup(intruder.close)
        activate(intruder.configuration, 7)
        self.assertFalse(await intruder.gossip.send_delta(node.address, 0))
        self.assertEqual(0, node.configuration.number)


if __name__ == "__main__":
    unittest.main()
