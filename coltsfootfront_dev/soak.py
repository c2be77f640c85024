"""Randomized soak of the router for the users' platform.

Runs routers as processes on loopback against stand-ins and injects faults from outside them:
proxies that hold, cut and refuse connections to store and targets, signals, changes of the
configuration and the weights, faults of store and targets. Faults overlap. What callers and
targets see is checked against the promises; a seed decides on the faults and their times.
"""

import asyncio
import json
import os
import random
import signal
import subprocess
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated, Any

import aiohttp

from coltsfootfront_dev.forwarder import Forwarder
from coltsfootfront_dev.platformfleet import (
    CUSTOMER,
    HOST,
    KEY,
    PlatformFleet,
    configuration,
    free_ports,
    settings_fields,
    to_toml,
)
from coltsfootfront_dev.platformtarget import EVENTS

ROOT = Path(__file__).resolve().parents[1]
CALLERS = 8
CALLER_PAUSE_S = 0.03
START_LIMIT_S = 15.0
# Calm time at the end, after which every request must be served.
CALM_S = 4.0
PROMISES_NOT_RUN = frozenset((408, 421, 429, 503))
PATHS = (("/file/a", "POST"), ("/look/a", "GET"), ("/ask/a", "POST"), ("/long/a", "POST"))
PROMPT = {
    "X-Model": "m",
    "X-Token-Usage": "700,10",
    "X-Prompt-Prefix": "aa:500,bb:100,cc:100",
    "X-Tenant": "forged",
    "X-Cache-Salt": "forged",
}


@dataclass(slots=True)
class Report:
    """Outcome of one soak.

    :param broken: promises that were broken, one sentence each.
    """

    seed: int
    requests: int = 0
    statuses: Counter[str] = field(default_factory=Counter)
    faults: list[str] = field(default_factory=list)
    broken: list[str] = field(default_factory=list)

    def to_json(self) -> str:
        """The report as JSON."""
        return json.dumps(
            {
                "seed": self.seed,
                "requests": self.requests,
                "statuses": dict(self.statuses),
                "faults": self.faults,
                "broken": self.broken,
            }
        )


class RouterProcess:
    """One router that the soak starts and ends.

    :param folder: where its settings are written.
    :param store: address of the store.
    """

    def __init__(self, name: str, folder: Path, store: str) -> None:
        self.name = name
        self.store_proxy = Forwarder(f"127.0.0.1:{free_ports(1)[0]}", store)
        self.fields = settings_fields(name, self.store_proxy.address, [])
        self._path = folder / f"{name}.toml"
        self._log = folder / f"{name}.log"
        self._popen: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process."""
        self._path.write_text(to_toml(self.fields), encoding="utf-8")
        with self._log.open("ab") as log:
            self._popen = subprocess.Popen(
                [sys.executable, "-m", "coltsfootfront.platform"],
                cwd=ROOT,
                env={**os.environ, "COLTSFOOTFRONT_CONFIG": str(self._path)},
                stdout=log,
                stderr=log,
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if self._popen is not None and self._popen.poll() is None:
            self._popen.send_signal(number)

    async def wait(self, limit_s: float) -> int:
        """Wait for the end of the process.

        :returns: its exit status; a process that outlives the limit is killed.
        """
        # Another fault may start the next process meanwhile; that one is not to be waited for.
        popen = self._popen
        assert popen is not None
        try:
            return await asyncio.to_thread(popen.wait, limit_s)
        except subprocess.TimeoutExpired:
            popen.kill()
            return await asyncio.to_thread(popen.wait)

    def is_running(self) -> bool:
        """Whether the process runs."""
        return self._popen is not None and self._popen.poll() is None

    def state(self) -> str:
        """Process id and exit status, for a report."""
        if self._popen is None:
            return "never started"
        return f"pid {self._popen.pid}, exit status {self._popen.poll()}"


class Soak:
    """One run.

    :param seed: decides on faults and requests.
    :param faults_s: time in which faults come.
    """

    def __init__(self, seed: int, faults_s: float, folder: Path, routers: int = 3) -> None:
        self.report = Report(seed)
        self._random = random.Random(seed)
        self._faults_s = faults_s
        self._folder = folder
        self._fleet = PlatformFleet(3, 3)
        self._count = routers
        self._routers: list[RouterProcess] = []
        self._proxies: list[Forwarder] = []
        self._refused: set[str] = set()
        self._customer_version = 1
        self._weights = 1
        self._is_calm = False
        self._ends = False
        self._number = 0

    async def run(self) -> Report:
        """Start everything, let faults come, check the promises."""
        try:
            await self._start()
            callers = [asyncio.create_task(self._call(number)) for number in range(CALLERS)]
            await self._inject()
            await asyncio.sleep(CALM_S / 2)
            self._is_calm = True
            await asyncio.sleep(CALM_S / 2)
            self._ends = True
            await asyncio.gather(*callers)
            self._check_runs()
        finally:
            await self._close()
        return self.report

    async def _start(self) -> None:
        await self._fleet.start()
        for target in self._fleet.targets:
            proxy = Forwarder(f"127.0.0.1:{free_ports(1)[0]}", target.address)
            await proxy.start()
            self._proxies.append(proxy)
            target.address = proxy.address
            target.work_s = 0.01
            self._fleet.register(target)
        for number in range(self._count):
            router = RouterProcess(f"router-{number}", self._folder, self._fleet.store.address)
            await router.store_proxy.start()
            self._routers.append(router)
        seeds = [str(router.fields["listen"]["control"]) for router in self._routers]
        for router in self._routers:
            router.fields["seed-addrs"] = seeds
            router.start()
        await self._until_all_ready()

    async def _until_all_ready(self) -> None:
        for router in self._routers:
            try:
                async with asyncio.timeout(START_LIMIT_S):
                    await self._until_ready(router)
            except TimeoutError:
                self.report.broken.append(
                    f"{router.name} was not ready after {START_LIMIT_S} s: {router.state()}"
                )

    async def _until_ready(self, router: RouterProcess) -> None:
        url = f"http://{router.fields['listen']['ready']}/v1/ready"
        async with aiohttp.ClientSession() as session:
            while True:
                try:
                    async with session.get(url) as response:
                        if response.status == 200:
                            return
                except aiohttp.ClientError:
                    pass
                await asyncio.sleep(0.05)

    async def _close(self) -> None:
        for router in self._routers:
            router.signal(signal.SIGCONT)
            router.signal(signal.SIGKILL)
            if router.is_running():
                await router.wait(START_LIMIT_S)
            await router.store_proxy.close()
        for proxy in self._proxies:
            await proxy.close()
        await self._fleet.close()

    async def _inject(self) -> None:
        faults: list[Callable[[], Awaitable[None]]] = [
            self._kill,
            self._stop_and_start,
            self._freeze,
            self._hang_up,
            self._cut_store,
            self._hold_store,
            self._store_refuses,
            self._store_loses_writes,
            self._compact,
            self._cut_target,
            self._hold_target,
            self._target_fails,
            self._change_configuration,
            self._name_weights,
        ]
        end_s = time.monotonic() + self._faults_s
        running = []
        while time.monotonic() < end_s:
            fault = self._random.choice(faults)
            self.report.faults.append(fault.__name__.strip("_"))
            running.append(asyncio.ensure_future(fault()))
            await asyncio.sleep(self._random.uniform(0.1, 0.9))
        await asyncio.gather(*running)
        await self._until_all_ready()

    def _router(self) -> RouterProcess:
        return self._random.choice(self._routers)

    async def _for_a_while(self) -> None:
        await asyncio.sleep(self._random.uniform(0.3, 1.8))

    async def _kill(self) -> None:
        router = self._router()
        router.signal(signal.SIGKILL)
        await router.wait(START_LIMIT_S)
        if not router.is_running():
            router.start()

    async def _stop_and_start(self) -> None:
        router = self._router()
        router.signal(signal.SIGTERM)
        status = await router.wait(START_LIMIT_S)
        if status > 0:
            self.report.broken.append(f"{router.name} ended with status {status} after SIGTERM")
        if not router.is_running():
            router.start()

    async def _freeze(self) -> None:
        router = self._router()
        router.signal(signal.SIGSTOP)
        await self._for_a_while()
        router.signal(signal.SIGCONT)

    async def _hang_up(self) -> None:
        self._router().signal(signal.SIGHUP)

    async def _cut_store(self) -> None:
        proxy = self._router().store_proxy
        proxy.refuse = True
        proxy.cut()
        await self._for_a_while()
        proxy.refuse = False

    async def _hold_store(self) -> None:
        proxy = self._router().store_proxy
        proxy.hold()
        await self._for_a_while()
        proxy.release()

    async def _store_refuses(self) -> None:
        self._fleet.store.faults.refuses = True
        await self._for_a_while()
        self._fleet.store.faults.refuses = False

    async def _store_loses_writes(self) -> None:
        self._fleet.store.faults.loses_writes = True
        await self._for_a_while()
        self._fleet.store.faults.loses_writes = False

    async def _compact(self) -> None:
        self._fleet.store.compact()

    async def _cut_target(self) -> None:
        self._random.choice(self._proxies).cut()

    async def _hold_target(self) -> None:
        proxy = self._random.choice(self._proxies)
        proxy.hold()
        await self._for_a_while()
        proxy.release()

    async def _target_fails(self) -> None:
        faults = self._random.choice(self._fleet.targets).faults
        name = self._random.choice(("rejects", "cuts", "unframed", "crosses", "hangs"))
        setattr(faults, name, True)
        await self._for_a_while()
        setattr(faults, name, False)

    async def _change_configuration(self) -> None:
        self._customer_version += self._random.randint(1, 3)
        self._fleet.store.put_json("op/config", configuration(self._customer_version))

    async def _name_weights(self) -> None:
        self._weights += 1
        self._fleet.store.put_json("op/version/m", {"model": "m", "version": self._weights})

    async def _call(self, caller: int) -> None:
        """Send requests one after the other, on kept connections."""
        generator = random.Random(f"{self.report.seed}/{caller}")
        async with aiohttp.ClientSession() as session:
            while not self._ends:
                path, method = generator.choice(PATHS)
                router = generator.choice(self._routers)
                was_calm = self._is_calm
                outcome = await self._send(session, router, path, method)
                self.report.statuses[outcome] += 1
                if was_calm and outcome != "200":
                    self.report.broken.append(f"{path} got {outcome} after all faults had ended")
                await asyncio.sleep(CALLER_PAUSE_S)

    async def _send(
        self, session: aiohttp.ClientSession, router: RouterProcess, path: str, method: str
    ) -> str:
        self._number += 1
        self.report.requests += 1
        request_id = f"s{self._number}"
        headers = {
            "Host": HOST,
            "X-Request-Id": request_id,
            "X-Deadline-Ms": "3000",
            "Authorization": f"Token {KEY}",
        }
        if path.startswith(("/ask", "/long")):
            headers |= PROMPT
        url = f"http://{router.fields['listen']['front']}{path}"
        limit = aiohttp.ClientTimeout(total=5.0, sock_connect=1.0)
        data = b"body" if method == "POST" else None
        try:
            async with session.request(
                method, url, data=data, headers=headers, timeout=limit
            ) as response:
                body = await response.read()
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            return type(error).__name__
        if response.status in PROMISES_NOT_RUN:
            self._refused.add(request_id)
        if response.status == 200:
            self._check_answer(request_id, path, body, response.headers)
        return str(response.status)

    def _check_answer(self, request_id: str, path: str, body: bytes, headers: Any) -> None:
        if headers.get("X-Request-Id") != request_id:
            self.report.broken.append(f"{request_id} got the answer of another request")
        if path.startswith(("/ask", "/long")):
            expected = "".join(f"id: {number}\ndata: {number}\n\n" for number in range(EVENTS))
            is_whole = body == expected.encode()
        else:
            is_whole = body.endswith(b" " + request_id.encode())
        if not is_whole:
            self.report.broken.append(f"{request_id} on {path} got a wrong body: {body!r}")

    def _check_runs(self) -> None:
        runs = [run for target in self._fleet.targets for run in target.runs]
        count = Counter(run.request_id for run in runs)
        for run in runs:
            if run.path.startswith(("/file", "/long")) and count[run.request_id] > 1:
                self.report.broken.append(f"{run.request_id} on {run.path} ran twice")
            if run.request_id in self._refused:
                self.report.broken.append(f"{run.request_id} was refused as not run, and ran")
            if run.customer != CUSTOMER:
                self.report.broken.append(f"{run.request_id} ran for customer {run.customer!r}")
            if run.version and run.salt != f"m:{run.version}:":
                self.report.broken.append(
                    f"{run.request_id} ran on weights {run.version} with salt {run.salt!r}"
                )


async def soak(seed: int, faults_s: float) -> Report:
    """Run one seed; its logs are kept when a promise is broken."""
    folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    return await Soak(seed, faults_s, folder).run()


def main() -> None:
    """Run seeds until the time is over, and print a line for each."""
    import cappa

    @cappa.command(name="soak", help="Runs routers with random faults and checks the promises.")
    @dataclass
    class Command:
        seed: Annotated[int, cappa.Arg(long=True)] = 1
        seeds: Annotated[int, cappa.Arg(long=True)] = 1
        seconds: Annotated[float, cappa.Arg(long=True)] = 10.0

    command = cappa.parse(Command, completion=False)
    broken = 0
    for seed in range(command.seed, command.seed + command.seeds):
        report = asyncio.run(soak(seed, command.seconds))
        broken += bool(report.broken)
        print(report.to_json(), flush=True)
    print(f"{command.seeds - broken} passed, {broken} failed")
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
