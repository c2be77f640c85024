"""Tests of the timeout that does not expire before what has arrived is read."""

import asyncio
import socket
import time
import unittest

from coltsfootfront.common.timeouts import MAX_READ_GRACE_S, RECHECK_INTERVAL_S, ReadTimeout


class ReadTimeoutTest(unittest.IsolatedAsyncioTestCase):
    async def test_block_without_an_end_expires(self) -> None:
        """Guards against a silent peer that is waited for without a limit."""
        began_s = time.monotonic()
        with self.assertRaises(TimeoutError):
            async with ReadTimeout(0.1) as timeout:
                await asyncio.sleep(5.0)
        self.assertTrue(timeout.expired())
        self.assertLess(time.monotonic() - began_s, 0.1 + MAX_READ_GRACE_S)

    async def test_data_that_arrived_during_a_stall_comes_before_the_timeout(self) -> None:
        """Guards against a stall of this process that is taken for the silence of another one."""
        for stall_s in (0.11, 0.3, 0.6):
            with self.subTest(stall_s=stall_s):
                receiver, sender = socket.socketpair()
                reader, writer = await asyncio.open_connection(sock=receiver)
                try:
                    async with ReadTimeout(0.1) as timeout:
                        asyncio.get_running_loop().call_soon(time.sleep, stall_s)
                        sender.sendall(b"x")
                        self.assertEqual(b"x", await reader.readexactly(1))
                finally:
                    sender.close()
                    writer.close()
                self.assertFalse(timeout.expired())

    async def test_second_stall_extends_the_time_to_read(self) -> None:
        """Guards against a loop that is stalled again while it catches up."""
        receiver, sender = socket.socketpair()
        reader, writer = await asyncio.open_connection(sock=receiver)
        loop = asyncio.get_running_loop()
        try:
            async with ReadTimeout(0.1):
                loop.call_later(0.09, time.sleep, 0.1)
                loop.call_later(0.2, time.sleep, 0.1)
                loop.call_later(0.2, sender.sendall, b"x")
                self.assertEqual(b"x", await reader.readexactly(1))
        finally:
            sender.close()
            writer.close()

    async def test_loop_that_is_always_late_expires_in_the_end(self) -> None:
        """Guards against an overloaded process in which no time limit holds."""

        async def stall() -> None:
            while True:
                time.sleep(0.08)  # noqa: ASYNC251 - stalls the event loop
                await asyncio.sleep(0)

        stalling = asyncio.create_task(stall())
        began_s = time.monotonic()
        with self.assertRaises(TimeoutError):
            async with ReadTimeout(0.1):
                await asyncio.sleep(10.0)
        stalling.cancel()
        self.assertLess(time.monotonic() - began_s, 0.1 + 2 * MAX_READ_GRACE_S)

    async def test_block_goes_on_while_it_may_not_expire(self) -> None:
        """Guards against an exchange that is given up before its replacement is certain."""
        answers = [True, False, False]
        began_s = time.monotonic()
        with self.assertRaises(TimeoutError):
            async with ReadTimeout(0.05, answers.pop):
                await asyncio.sleep(5.0)
        self.assertEqual([], answers)
        self.assertGreater(time.monotonic() - began_s, 0.05 + 2 * RECHECK_INTERVAL_S)

    async def test_timeouts_of_others_and_cancellation_pass_through(self) -> None:
        """Guards against a cancelled handler, or an inner time limit, that ends as this one."""
        with self.assertRaises(TimeoutError):
            async with ReadTimeout(5.0) as timeout:
                async with asyncio.timeout(0.01):
                    await asyncio.sleep(1.0)
        self.assertFalse(timeout.expired())

        async def wait() -> None:
            async with ReadTimeout(5.0):
                await asyncio.sleep(1.0)

        task = asyncio.create_task(wait())
        await asyncio.sleep(0)
        task.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await task

    async def test_block_can_be_ended_early(self) -> None:
        """Guards against an exchange that goes on after it was withdrawn."""
        with self.assertRaises(TimeoutError):
            async with ReadTimeout(None) as timeout:
                timeout.expire()
                await asyncio.sleep(5.0)
        self.assertTrue(timeout.expired())
