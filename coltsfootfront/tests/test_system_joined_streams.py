"""Tests of streams that callers take up while several software versions serve, with processes."""

import asyncio
import signal
import tempfile
import unittest
from pathlib import Path

import aiohttp

from coltsfootfront.common.rendezvous import rank
from coltsfootfront.direct.peers import WATCHERS_PER_DATA_CENTRE
from coltsfootfront_dev.clientstream import BUILD_DATA_FORMAT, ClientStream
from coltsfootfront_dev.platformfleet import API_KEY, HOST, PlatformFleet
from coltsfootfront_dev.platformrouters import PROCESS_TIMEOUT_S, RouterProcess, RouterProcesses

ROUTERS = 3
STREAMS = 24
EVENTS = 40
EVENT_INTERVAL_S = 0.05
# Until a router knows a new build and the store has recorded it.
SETTLE_S = 2.5
DEADLINE_MS = 8000
# Callers break their streams off after this many events.
BROKEN_AFTER_EVENTS = 3
# Time for which a router is cut off, less than its copy of the store may be old (2.5 s).
CUT_S = 2.2


class Stream(ClientStream):
    """One caller's stream, with the latest refusal of it."""

    def __init__(self, name: str) -> None:
        super().__init__(name, EVENTS)
        self.refusal: tuple[int, str | None] | None = None
        """Status and ``Retry-After`` of the latest refusal, None if the last try was served."""


class SystemJoinedStreamsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.folder = tempfile.TemporaryDirectory()
        self.fleet = PlatformFleet(1, 4)
        await self.fleet.start()
        for target in self.fleet.engine_targets:
            target.event_count = EVENTS
            target.event_interval_s = EVENT_INTERVAL_S
        self.set_builds("v1", "v1", "v1", "v1")
        self.processes = RouterProcesses(Path(self.folder.name), self.fleet.store.address)
        await self.processes.start(ROUTERS)
        self.routers = self.processes.routers
        self.session = aiohttp.ClientSession()
        await asyncio.sleep(1.0)

    async def asyncTearDown(self) -> None:
        await self.session.close()
        await self.processes.close()
        await self.fleet.close()
        self.folder.cleanup()

    def set_builds(self, *builds: str) -> None:
        for target, build in zip(self.fleet.engine_targets, builds, strict=True):
            target.build = build
            target.event_data_format = BUILD_DATA_FORMAT.format(build=build)
            self.fleet.register(target)

    async def request(
        self,
        stream: Stream,
        router: RouterProcess,
        request_id: str,
        break_after_events: int = EVENTS,
    ) -> None:
        headers = {
            "Host": HOST,
            "X-Request-Id": request_id,
            "X-Deadline-Ms": str(DEADLINE_MS),
            "Authorization": f"Token {API_KEY}",
            "X-Model": "m",
            "X-Token-Usage": "100,10",
            "X-Prompt-Prefix": f"aa:50,{request_id}:50",
        }
        headers |= stream.take_up_headers()
        url = f"http://{router.settings['listen']['front']}/ask/x"
        async with self.session.post(url, headers=headers, data=b"x") as response:
            if response.status != 200:
                stream.refusal = (response.status, response.headers.get("Retry-After"))
                return
            stream.refusal = None
            async for chunk in response.content.iter_any():
                stream.feed(chunk)
                if len(stream.builds) >= break_after_events:
                    response.close()
                    return

    async def begin(self, number: int) -> Stream:
        """Run a stream until it ends or breaks off."""
        stream = Stream(f"s{number}")
        try:
            await self.request(stream, self.routers[number % ROUTERS], stream.name)
        except aiohttp.ClientError:
            pass
        return stream

    async def take_up(self, stream: Stream, routers: list[RouterProcess]) -> None:
        """Take a stream up again, until a router serves it or refuses it for good."""
        for attempt in range(100):
            router = routers[attempt % len(routers)]
            try:
                await self.request(stream, router, f"{stream.name}-{attempt}")
            except aiohttp.ClientError:
                await asyncio.sleep(0.05)
                continue
            if stream.refusal is None or stream.refusal[1] is None:
                return
            await asyncio.sleep(float(stream.refusal[1]))

    async def run_streams(self, killed: list[RouterProcess], is_old_gone: bool) -> list[Stream]:
        """Begin streams, kill routers in the middle, and take up what has broken off."""
        tasks = [asyncio.create_task(self.begin(number)) for number in range(STREAMS)]
        await asyncio.sleep(EVENT_INTERVAL_S * EVENTS / 2)
        for router in killed:
            router.signal(signal.SIGKILL)
        await asyncio.gather(*(router.wait(PROCESS_TIMEOUT_S) for router in killed))
        if is_old_gone:
            for target in self.fleet.engine_targets[:2]:
                self.fleet.store.delete(f"servers/{target.name}")
                await target.crash()
        for router in killed:
            router.settings["bootstrap"] = False
            router.start()
        streams = await asyncio.gather(*tasks)
        broken = [stream for stream in streams if stream.builds and not stream.is_complete]
        left = [router for router in self.routers if router not in killed]
        await asyncio.gather(*(self.take_up(stream, left or self.routers) for stream in broken))
        return broken

    def find_watchers(self) -> list[RouterProcess]:
        """Routers that read the store themselves."""
        routers = {str(router.settings["listen"]["control"]): router for router in self.routers}
        zone = self.routers[0].settings["zone"]
        watchers = rank(zone.encode(), sorted(routers), WATCHERS_PER_DATA_CENTRE)
        return [routers[address] for address in watchers]

    async def break_and_take_up(
        self, number: int, first: RouterProcess, second: RouterProcess
    ) -> Stream:
        """Begin a stream at a router, break it off, and take it up at once at another one."""
        stream = Stream(f"s{number}")
        try:
            await self.request(stream, first, stream.name, BROKEN_AFTER_EVENTS)
            await self.take_up(stream, [second, first])
        except aiohttp.ClientError:
            pass
        return stream

    async def test_router_cut_off_from_a_release_joins_no_stream(self) -> None:
        """Guards against a router that relies on the only build it has heard of (ORDER)."""
        old, new = self.fleet.engine_targets[:2], self.fleet.engine_targets[2:]
        for target in new:
            self.fleet.store.delete(f"servers/{target.name}")
        await asyncio.sleep(SETTLE_S)
        cut, first = self.find_watchers()
        # Its copy is as young as can be.
        self.fleet.register(old[0])
        await asyncio.sleep(0.05)
        cut.store_proxy.pause()
        self.processes.set_gossip_loss(cut, 1.0)
        await asyncio.sleep(0.1)
        for target in new:
            self.fleet.replace(target, "v2")
        for target in old:
            self.fleet.register(target, "draining")
        tasks = []
        for number in range(STREAMS):
            tasks.append(asyncio.create_task(self.break_and_take_up(number, first, cut)))
            await asyncio.sleep(CUT_S / STREAMS)
        cut.store_proxy.resume()
        self.processes.set_gossip_loss(cut, 0.0)
        streams = await asyncio.gather(*tasks)
        begun = [stream for stream in streams if "v2" in stream.builds[:1]]
        self.assertGreater(len(begun), STREAMS / 2)
        self.assertEqual([], [stream.name for stream in streams if stream.is_joined])
        self.assertGreater(sum(stream.is_whole for stream in begun), 0.9 * len(begun))

    async def test_streams_are_not_joined_after_a_kill_of_all_routers(self) -> None:
        """Guards against take-ups at routers that know nothing of the time before (ORDER)."""
        self.set_builds("v1", "v1", "v2", "v2")
        await asyncio.sleep(SETTLE_S)
        for is_old_gone in (False, True):
            with self.subTest(is_old_gone=is_old_gone):
                broken = await self.run_streams(self.routers, is_old_gone)
                self.assertGreater(len(broken), STREAMS / 2)
                self.assertEqual([], [stream.name for stream in broken if stream.is_joined])
                self.assertEqual({(503, None)}, {stream.refusal for stream in broken})
                await asyncio.gather(*(router.wait_ready() for router in self.routers))

    async def test_streams_go_on_after_a_kill_of_all_routers_while_one_version_serves(self) -> None:
        """Guards against callers that lose their streams although nothing is mixed (LOST)."""
        broken = await self.run_streams(self.routers, is_old_gone=False)
        self.assertGreater(len(broken), STREAMS / 2)
        self.assertEqual(len(broken), sum(stream.is_complete for stream in broken))

    async def test_streams_go_on_at_their_version_through_the_routers_that_are_left(self) -> None:
        """Guards against take-ups refused by routers that did not begin the stream (LOST)."""
        self.set_builds("v1", "v1", "v2", "v2")
        await asyncio.sleep(SETTLE_S)
        broken = await self.run_streams(self.routers[:2], is_old_gone=False)
        self.assertGreater(len(broken), STREAMS / 3)
        self.assertEqual([], [stream.name for stream in broken if stream.is_joined])
        self.assertGreater(sum(stream.is_complete for stream in broken), len(broken) / 2)


if __name__ == "__main__":
    unittest.main()
