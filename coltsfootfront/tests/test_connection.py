"""Tests of peer connections, channels and the message codec."""

import unittest

import logbook

from coltsfootfront.common.clock import SystemClock
from coltsfootfront.peers.channel import Channel
from coltsfootfront.peers.connection import Connection, ConnectionLostError, Identity, Listener
from coltsfootfront.peers.messages import (
    Heartbeat,
    HeartbeatReply,
    MessageError,
    Probe,
    decode,
    encode,
)


def _identity(name: str, secret: str = "shared") -> Identity:
    return Identity("router", name, "dc-1", secret, lambda: 7)


async def _answer_heartbeats(connection: Connection) -> None:
    while True:
        message, _ = await connection.receive()
        if isinstance(message, Heartbeat):
            await connection.send(HeartbeatReply(message.call, "server"))


class ConnectionTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.listener = Listener("127.0.0.1:0", _identity("server"), _answer_heartbeats)
        self.address = await self.listener.start()

    async def asyncTearDown(self) -> None:
        await self.listener.close()

    async def test_call_carries_the_revision(self) -> None:
        """Guards against replies without the sender's configuration revision."""
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

    async def test_repeated_replies_reach_no_other_call(self) -> None:
        """Guards against a reply that is read as the reply to the next call."""

        async def answer_twice(connection: Connection) -> None:
            while True:
                message, _ = await connection.receive()
                assert isinstance(message, Heartbeat)
                for _ in range(2):
                    await connection.send(HeartbeatReply(message.call, str(message.call)))

        listener = Listener("127.0.0.1:0", _identity("server"), answer_twice)
        channel = Channel(await listener.start(), _identity("client"), SystemClock())
        for _ in range(5):
            number = channel.next_number()
            heartbeat = Heartbeat(number, "client", "router", "dc-1")
            reply = await channel.call(heartbeat, HeartbeatReply, 2.0)
            self.assertEqual((number, str(number)), (reply.call, reply.name))
        await channel.close()
        await listener.close()

    async def test_an_error_of_a_callback_is_logged(self) -> None:
        """Guards against a connection that ends without a log line."""

        def fail(channel: Channel, revision: int) -> None:
            raise ValueError("failed")

        channel = Channel(self.address, _identity("client"), SystemClock(), fail)
        heartbeat = Heartbeat(channel.next_number(), "client", "router", "dc-1")
        with (
            logbook.TestHandler().applicationbound() as records,
            self.assertRaises(ConnectionLostError),
        ):
            await channel.call(heartbeat, HeartbeatReply, 2.0)
        self.assertTrue(any("event=channel_failed" in line for line in records.formatted_records))
        await channel.close()

    async def test_a_wrong_secret_is_refused(self) -> None:
        """Guards against accepting a process that has another shared secret as a peer."""
        channel = Channel(self.address, _identity("client", "other"), SystemClock())
        with self.assertRaises(ConnectionLostError):
            await channel.call(Heartbeat(1, "client", "router", "dc-1"), HeartbeatReply, 2.0)
        await channel.close()


class MessagesTest(unittest.TestCase):
    def test_unknown_fields_are_ignored(self) -> None:
        """Guards against rejecting a newer peer's messages during a rolling update."""
        import msgpack

        body = msgpack.unpackb(encode(HeartbeatReply(3, "a"), 1))
        body["later"] = True
        message, revision = decode(msgpack.packb(body))
        self.assertEqual((HeartbeatReply(3, "a"), 1), (message, revision))

    def test_invalid_frames_are_refused(self) -> None:
        """Guards against an exception other than :class:`MessageError` for a malformed frame."""
        cases = {
            "not msgpack": b"\xc1",
            "not a map": b"\x01",
            "missing fields": encode(HeartbeatReply(3, "a"), 1).replace(b"name", b"nama"),
            "wrong type": encode(Probe(1, 2, "m", "", "v", [], [], 0), 1),  # type: ignore[arg-type]
        }
        for name, data in cases.items():
            with self.subTest(name), self.assertRaises(MessageError):
                decode(data)
