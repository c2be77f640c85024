"""Tests of connections, channels and messages."""

import unittest

from coltsfootfront.common.clock import SystemClock
from coltsfootfront.peers.channel import Channel
from coltsfootfront.peers.connection import Connection, ConnectionLostError, Identity, Listener
from coltsfootfront.peers.messages import Heartbeat, HeartbeatReply, MessageError, Probe, decode, encode


def _identity(name: str, secret: str = "shared") -> Identity:
    return Identity("router", name, "dc-1", secret, lambda: 7)


async def _answer_greetings(connection: Connection) -> None:
    while True:
        message, _ = await connection.receive()
        if isinstance(message, Heartbeat):
            await connection.send(HeartbeatReply(message.call, "server"))


class ConnectionTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.listener = Listener("127.0.0.1:0", _identity("server"), _answer_greetings)
        self.address = await self.listener.start()

    async def asyncTearDown(self) -> None:
        await self.listener.close()

    async def test_call_carries_the_revision(self) -> None:
        """Guards against replies that do not say which revision the sender runs."""
        seen: list[int] = []
        channel = Channel(
            self.address, _identity("client"), SystemClock(), lambda _, rev: seen.append(rev)
        )
        reply = await channel.call(
            Heartbeat(channel.next_number(), "client", "router", "dc-1"), HeartbeatReply, 2.0
        )
        await channel.close()
        self.assertEqual("server", reply.name)
        self.assertEqual([7], seen)

    async def test_a_wrong_secret_is_refused(self) -> None:
        """Guards against a process of another system being taken for a peer."""
        channel = Channel(self.address, _identity("client", "other"), SystemClock())
        with self.assertRaises(ConnectionLostError):
            await channel.call(Heartbeat(1, "client", "router", "dc-1"), HeartbeatReply, 2.0)
        await channel.close()


class MessagesTest(unittest.TestCase):
    def test_unknown_fields_are_ignored(self) -> None:
        """Guards against a newer peer's messages being refused during a rolling update."""
        import msgpack

        body = msgpack.unpackb(encode(HeartbeatReply(3, "a"), 1))
        body["later"] = True
        message, revision = decode(msgpack.packb(body))
        self.assertEqual((HeartbeatReply(3, "a"), 1), (message, revision))

    def test_invalid_frames_are_refused(self) -> None:
        """Guards against a malformed frame raising anything but a message error."""
        cases = {
            "not msgpack": b"\xc1",
            "not a map": b"\x01",
            "missing fields": encode(HeartbeatReply(3, "a"), 1).replace(b"name", b"nama"),
            "wrong type": encode(Probe(1, 2, "m", "", "v", [], [], 0), 1),  # type: ignore[arg-type]
        }
        for name, data in cases.items():
            with self.subTest(name), self.assertRaises(MessageError):
                decode(data)
