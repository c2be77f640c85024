"""Processes of the platform's router on loopback, with proxies that cut their connections."""

import asyncio
import os
import signal
import subprocess
import sys
from pathlib import Path

import aiohttp

from coltsfootfront_dev.datagramrelay import DatagramRelay
from coltsfootfront_dev.platformfleet import settings_fields, to_toml
from coltsfootfront_dev.ports import PortReservations
from coltsfootfront_dev.tcpproxy import TcpProxy

ROOT = Path(__file__).resolve().parents[1]
PROCESS_TIMEOUT_S = 15.0
READY_POLL_INTERVAL_S = 0.05
# Each router has an address of its own, as routers send gossip to the same port of every peer.
# Outgoing connections come from 127.0.0.1 and cannot take a port that a restarting router needs.
ADDRESS_FORMAT = "127.0.1.{}"


class RouterProcess:
    """One router, with a proxy between it and the store.

    :param number: number from 1, which sets its name and address.
    :param folder: where its settings and its log are written.
    :param store: address of the store.
    """

    def __init__(self, number: int, folder: Path, store: str, ports: PortReservations) -> None:
        self.name = f"router-{number}"
        self.ip = ADDRESS_FORMAT.format(number)
        self.store_proxy = TcpProxy(f"127.0.0.1:{ports.reserve()}", store)
        front, ready, control, *gossip_and_metrics = (ports.reserve() for _ in range(5))
        self.gossip_port, metrics_port = sorted(gossip_and_metrics)
        self.settings = settings_fields(
            self.name,
            self.store_proxy.address,
            [],
            self.ip,
            (front, ready, control, self.gossip_port, metrics_port),
        )
        self.log_path = folder / f"{self.name}.log"
        self._settings_path = folder / f"{self.name}.toml"
        self._popen: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Write the settings and start the process."""
        self.rewrite_settings()
        with self.log_path.open("ab") as log:
            self._popen = subprocess.Popen(
                [sys.executable, "-m", "coltsfootfront.platform"],
                cwd=ROOT,
                env={**os.environ, "COLTSFOOTFRONT_CONFIG": str(self._settings_path)},
                stdout=log,
                stderr=log,
            )

    def rewrite_settings(self) -> None:
        """Write the settings file, which the process reads again by itself or at SIGHUP."""
        self._settings_path.write_text(to_toml(self.settings), encoding="utf-8")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if self._popen is not None and self._popen.poll() is None:
            self._popen.send_signal(number)

    async def wait(self, timeout_s: float) -> int:
        """Wait until the process exits; kill it when the timeout expires.

        :returns: its exit status.
        """
        # Another fault may start a new process meanwhile, which must not be waited for.
        popen = self._popen
        assert popen is not None
        try:
            return await asyncio.to_thread(popen.wait, timeout_s)
        except subprocess.TimeoutExpired:
            popen.kill()
            return await asyncio.to_thread(popen.wait)

    def is_running(self) -> bool:
        """Whether the process runs."""
        return self._popen is not None and self._popen.poll() is None

    def state(self) -> str:
        """Process id and exit status, for the report."""
        if self._popen is None:
            return "never started"
        return f"pid {self._popen.pid}, exit status {self._popen.poll()}"

    async def wait_ready(self) -> None:
        """Wait until the router reports that it is ready.

        :raises TimeoutError: if it is not ready after PROCESS_TIMEOUT_S.
        """
        url = f"http://{self.settings['listen']['ready']}/v1/ready"
        async with asyncio.timeout(PROCESS_TIMEOUT_S), aiohttp.ClientSession() as session:
            while True:
                try:
                    async with session.get(url) as response:
                        if response.status == 200:
                            return
                except aiohttp.ClientError:
                    pass
                await asyncio.sleep(READY_POLL_INTERVAL_S)


class RouterProcesses:
    """Routers of one store, with a relay for the gossip of each pair.

    :param folder: where settings and logs of the routers are written.
    :param store: address of the store.
    """

    def __init__(self, folder: Path, store: str) -> None:
        self.routers: list[RouterProcess] = []
        self._folder = folder
        self._store = store
        self._ports = PortReservations()
        self._relays: dict[tuple[str, str], DatagramRelay] = {}

    async def add(self) -> RouterProcess:
        """Add a router and start its proxies, but not its process."""
        added = RouterProcess(len(self.routers) + 1, self._folder, self._store, self._ports)
        await added.store_proxy.start()
        for router in self.routers:
            await self._add_relay(router, added)
            await self._add_relay(added, router)
        self.routers.append(added)
        seeds = [str(router.settings["listen"]["control"]) for router in self.routers]
        for router in self.routers:
            router.settings["seed-addrs"] = seeds[:3]
        return added

    async def start(self, count: int, allows_retries: bool = True) -> None:
        """Start a number of routers and wait until they are ready.

        :param allows_retries: whether the retry budget is more than nothing.
        :raises TimeoutError: if one is not ready after PROCESS_TIMEOUT_S.
        """
        added = [await self.add() for _ in range(count)]
        for router in added:
            if not allows_retries:
                router.settings["bounds"] |= {"retry-budget-ratio": 0.0, "retry-budget-slack": 0}
            router.start()
        await asyncio.gather(*(router.wait_ready() for router in added))

    async def close(self) -> None:
        """Kill all routers and close the proxies."""
        for router in self.routers:
            router.signal(signal.SIGCONT)
            router.signal(signal.SIGKILL)
            if router.is_running():
                await router.wait(PROCESS_TIMEOUT_S)
            await router.store_proxy.close()
        for relay in self._relays.values():
            relay.close()
        self._ports.close()

    def set_gossip_loss(self, router: RouterProcess, loss_rate: float) -> None:
        """Drop a share of the datagrams between a router and all others, both ways."""
        for pair, relay in self._relays.items():
            if router.name in pair:
                relay.loss_rate = loss_rate

    async def _add_relay(self, sender: RouterProcess, receiver: RouterProcess) -> None:
        # A router sends gossip to its own gossip port at each peer's address, so that the relay
        # knows the sender by the port.
        relay = DatagramRelay(
            (receiver.ip, sender.gossip_port), (receiver.ip, receiver.gossip_port)
        )
        await relay.start()
        self._relays[(sender.name, receiver.name)] = relay
