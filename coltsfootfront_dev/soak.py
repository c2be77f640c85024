"""Randomized soak test of the platform's router (:mod:`coltsfootfront.platform`).

Runs router processes on loopback against stand-ins and injects faults from outside: proxies hold,
cut and refuse connections to store and targets; routers get signals; configuration and weights
versions change; store and targets fail. Faults overlap. What clients and targets see is checked
against the router's guarantees. A seed determines the faults and the pauses between them.
"""

import asyncio
import json
import random
import re
import signal
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated, Any

import aiohttp

from coltsfootfront_dev.clientstream import BUILD_DATA_FORMAT, ClientStream
from coltsfootfront_dev.limitcheck import LimitMonitor
from coltsfootfront_dev.platformfleet import (
    API_KEY,
    CUSTOMER,
    HOST,
    PlatformFleet,
    configuration,
    free_ports,
)
from coltsfootfront_dev.platformrouters import (
    PROCESS_TIMEOUT_S,
    RouterProcess,
    RouterProcesses,
)
from coltsfootfront_dev.soakquota import CUSTOMER as EXCESS_CUSTOMER
from coltsfootfront_dev.soakquota import ExcessCustomer
from coltsfootfront_dev.tcpproxy import TcpProxy

CLIENTS = 10
CLIENT_PAUSE_S = 0.03
# Time without faults at the end; in its second half every request must succeed. A configuration
# that is written then is in force before it ends.
FAULT_FREE_S = 5.0
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
# Limits that targets name, in requests per second; far below what a target gets otherwise.
LIMITS_PER_S = (1.0, 1.5, 4.0)
# Share of the gossip that is lost on a bad link.
GOSSIP_LOSS_RATE = 0.1
MAX_ADDED_ROUTERS = 2
MAX_ADDED_ROUTES = 4200
STEADY_EVENT_INTERVAL_S = 0.1
STEADY_EVENT_COUNT = 10
# Longer than a stream takes whose router is stopped twice meanwhile.
REQUEST_TIMEOUT_MS = 6000
# Tries of a caller to take up a stream that has broken off.
MAX_TAKE_UPS = 3
# Time after a fault within which its effects may end an answer.
FAULT_EFFECT_S = 2.0
CONFIGURATION_PATTERN = re.compile(r"event=configuration_in_force version=(\d+)")
PATHS = (("/file/a", "POST"), ("/look/a", "GET"), ("/ask/a", "POST"), ("/long/a", "POST"))
PROMPT_HEADERS = {
    "X-Model": "m",
    "X-Token-Usage": "700,10",
    "X-Prompt-Prefix": "aa:500,bb:100,cc:100",
    "X-Tenant": "forged",
    "X-Cache-Salt": "forged",
}


@dataclass(frozen=True, slots=True)
class CutAnswer:
    """An answer that broke off after its head; times are monotonic."""

    request_id: str
    path: str
    router: str
    sent_s: float
    cut_s: float


@dataclass(frozen=True, slots=True)
class Interruption:
    """A time in which answers may break off.

    :param router: router whose answers may; empty for all.
    """

    router: str
    begin_s: float
    end_s: float

    def explains(self, cut: CutAnswer) -> bool:
        """Whether an answer may have broken off for this reason."""
        return self.router in ("", cut.router) and (
            self.begin_s <= cut.cut_s and cut.sent_s <= self.end_s + FAULT_EFFECT_S
        )


@dataclass(slots=True)
class SoakReport:
    """Outcome of one run.

    :param allows_retries: whether the routers' retry budget was more than nothing.
    :param statuses: requests by HTTP status, or by exception type without an answer.
    :param take_ups: the same for streams that callers take up again.
    :param excess: the same for requests of a customer above its quota.
    :param broken: violations of a guarantee, one sentence each.
    """

    seed: int
    allows_retries: bool = True
    requests: int = 0
    statuses: Counter[str] = field(default_factory=Counter)
    take_ups: Counter[str] = field(default_factory=Counter)
    excess: Counter[str] = field(default_factory=Counter)
    faults: list[str] = field(default_factory=list)
    broken: list[str] = field(default_factory=list)

    def to_json(self) -> str:
        """The report as JSON."""
        return json.dumps(
            {
                "seed": self.seed,
                "allows_retries": self.allows_retries,
                "requests": self.requests,
                "statuses": dict(self.statuses),
                "take_ups": dict(self.take_ups),
                "excess": dict(self.excess),
                "faults": self.faults,
                "broken": self.broken,
            }
        )


class SoakRun:
    """One run of the soak test.

    :param seed: seed of faults and requests.
    :param faults_s: duration of the fault injection.
    :param folder: where settings and logs of the routers are written.
    :param has_releases: engines are replaced by ones of other software versions meanwhile.
    """

    def __init__(
        self,
        seed: int,
        faults_s: float,
        folder: Path,
        routers: int = 3,
        has_releases: bool = False,
    ) -> None:
        self.report = SoakReport(seed)
        self._random = random.Random(seed)
        self._faults_s = faults_s
        self._folder = folder
        self._fleet = PlatformFleet(3, 3)
        self._router_count = routers
        self._processes: RouterProcesses | None = None
        self._routers: list[RouterProcess] = []
        self._proxies: list[TcpProxy] = []
        self._refused_as_not_run: set[str] = set()
        self._cut_answers: list[CutAnswer] = []
        self._interruptions: list[Interruption] = []
        self._monitor = LimitMonitor()
        # Apart from the other faults, so that a seed's faults are the same without releases.
        self._release_random = random.Random(f"{seed}/releases")
        self._has_releases = has_releases
        self._excess: ExcessCustomer | None = None
        self._builds = 1
        self._customer_version = 1
        self._added_routes = 0
        self._weights_version = 1
        self._faults_are_over = False
        self._is_stopping = False
        self._requests_sent = 0

    async def run(self) -> SoakReport:
        """Start everything, inject faults and check the guarantees."""
        try:
            await self._start()
            clients = [asyncio.create_task(self._run_client(number)) for number in range(CLIENTS)]
            if self._excess is not None:
                clients.append(asyncio.create_task(self._excess.run(lambda: self._is_stopping)))
            for targets in (self._fleet.plain_targets, self._fleet.engine_targets):
                self._monitor.name_limit(targets[0], self._random.choice(LIMITS_PER_S))
            await self._inject_faults()
            for target in self._fleet.targets:
                self._monitor.end_limit(target)
            await asyncio.sleep(FAULT_FREE_S / 2)
            self._faults_are_over = True
            # A change of a large configuration is no fault.
            self._write_configuration(MAX_ADDED_ROUTES // 2)
            await asyncio.sleep(FAULT_FREE_S / 2)
            self._is_stopping = True
            await asyncio.gather(*clients)
            self._check_executions()
            self._check_configurations()
            self._check_cut_answers()
            self._check_quotas()
            self.report.broken += self._monitor.violations()
        finally:
            await self._close()
        return self.report

    async def _start(self) -> None:
        await self._fleet.start()
        for target in self._fleet.targets:
            proxy = TcpProxy(f"127.0.0.1:{free_ports(1)[0]}", target.address)
            await proxy.start()
            self._proxies.append(proxy)
            target.address = proxy.address
            target.execution_time_s = 0.01
            target.event_interval_s = STEADY_EVENT_INTERVAL_S
            target.event_count = STEADY_EVENT_COUNT
            target.event_data_format = BUILD_DATA_FORMAT.format(build=target.build)
            self._fleet.register(target)
        self._processes = RouterProcesses(self._folder, self._fleet.store.address)
        self._routers = self._processes.routers
        excess = ExcessCustomer(self.report.seed, self._routers, self._monitor.router_of_request)
        if excess.is_active:
            self._excess = excess
            self.report.excess = excess.statuses
        self._write_configuration(0)
        self.report.allows_retries = self._random.random() < 0.5
        await self._processes.start(self._router_count, self.report.allows_retries)
        for router in self._routers:
            # A process that is started later is not the first one, which quotas depend on.
            router.settings["bootstrap"] = self._excess is None

    async def _wait_all_ready(self) -> None:
        for router in self._routers:
            try:
                await router.wait_ready()
            except TimeoutError:
                self.report.broken.append(
                    f"{router.name} was not ready after {PROCESS_TIMEOUT_S} s: {router.state()}"
                )

    async def _close(self) -> None:
        if self._processes is not None:
            await self._processes.close()
        for proxy in self._proxies:
            await proxy.close()
        await self._fleet.close()

    async def _inject_faults(self) -> None:
        # The report names a fault by its method, without the leading underscore.
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
            self._change_large_configurations,
            self._name_weights,
            self._name_limit,
            self._name_limit,
            self._cut_gossip,
            self._lose_gossip,
            self._expire_leases,
            self._restore_store,
            self._add_router,
        ]
        end_s = time.monotonic() + self._faults_s
        running = []
        if self._has_releases:
            running.append(asyncio.ensure_future(self._release_software(end_s)))
        while time.monotonic() < end_s:
            fault = self._random.choice(faults)
            self.report.faults.append(fault.__name__.strip("_"))
            running.append(asyncio.ensure_future(fault()))
            await asyncio.sleep(self._random.uniform(0.1, 0.9))
        await asyncio.gather(*running)
        await self._wait_all_ready()

    def _random_router(self) -> RouterProcess:
        return self._random.choice(self._routers)

    def _interrupt(self, begin_s: float, router: str = "") -> None:
        """Record that answers may have broken off from a time until now."""
        self._interruptions.append(Interruption(router, begin_s, time.monotonic()))

    async def _wait_random_time(self) -> None:
        await asyncio.sleep(self._random.uniform(0.3, 1.8))

    async def _kill(self) -> None:
        router = self._random_router()
        begin_s = time.monotonic()
        router.signal(signal.SIGKILL)
        await router.wait(PROCESS_TIMEOUT_S)
        self._interrupt(begin_s, router.name)
        if not router.is_running():
            router.start()
        self._monitor.excuse(router.name, begin_s)

    async def _stop_and_start(self) -> None:
        router = self._random_router()
        begin_s = time.monotonic()
        router.signal(signal.SIGTERM)
        status = await router.wait(PROCESS_TIMEOUT_S)
        self._monitor.excuse(router.name, begin_s)
        if status > 0:
            self.report.broken.append(f"{router.name} ended with status {status} after SIGTERM")
        if not router.is_running():
            router.start()

    async def _freeze(self) -> None:
        router = self._random_router()
        begin_s = time.monotonic()
        router.signal(signal.SIGSTOP)
        await self._wait_random_time()
        router.signal(signal.SIGCONT)
        self._monitor.excuse(router.name, begin_s)

    async def _hang_up(self) -> None:
        self._random_router().signal(signal.SIGHUP)

    async def _cut_store(self) -> None:
        proxy = self._random_router().store_proxy
        proxy.refuses_connections = True
        proxy.abort_connections()
        await self._wait_random_time()
        proxy.refuses_connections = False

    async def _hold_store(self) -> None:
        proxy = self._random_router().store_proxy
        proxy.pause()
        await self._wait_random_time()
        proxy.resume()

    async def _store_refuses(self) -> None:
        self._fleet.store.faults.refuses = True
        await self._wait_random_time()
        self._fleet.store.faults.refuses = False

    async def _store_loses_writes(self) -> None:
        self._fleet.store.faults.loses_writes = True
        await self._wait_random_time()
        self._fleet.store.faults.loses_writes = False

    async def _compact(self) -> None:
        self._fleet.store.compact()

    async def _cut_target(self) -> None:
        self._random.choice(self._proxies).abort_connections()
        self._interrupt(time.monotonic())

    async def _hold_target(self) -> None:
        begin_s = time.monotonic()
        proxy = self._random.choice(self._proxies)
        proxy.pause()
        await self._wait_random_time()
        proxy.resume()
        self._interrupt(begin_s)

    async def _target_fails(self) -> None:
        begin_s = time.monotonic()
        faults = self._random.choice(self._fleet.targets).faults
        name = self._random.choice(("rejects", "cuts", "unframed", "crosses", "hangs"))
        setattr(faults, name, True)
        await self._wait_random_time()
        setattr(faults, name, False)
        self._interrupt(begin_s)

    async def _release_software(self, end_s: float) -> None:
        """Replace one or two engines at a time by ones of a new version."""
        generator = self._release_random
        out_of_step: asyncio.Task[None] | None = None
        while time.monotonic() < end_s:
            if out_of_step is None or out_of_step.done():
                out_of_step = asyncio.create_task(self._put_out_of_step(generator))
            self._builds += 1
            engines = self._fleet.engine_targets
            for target in generator.sample(engines, generator.randint(1, 2)):
                self._fleet.register(target, "draining")
                await asyncio.sleep(generator.uniform(0.1, 1.2))
                self._monitor.end_limit(target)
                self._fleet.replace(target, f"v{self._builds}")
                self._interrupt(time.monotonic())
            await asyncio.sleep(generator.uniform(0.2, 3.0))
        if out_of_step is not None:
            await out_of_step

    async def _put_out_of_step(self, generator: random.Random) -> None:
        """Keep releases from a router that its callers and peers still reach."""
        assert self._processes is not None
        router = generator.choice(self._processes.routers)
        begin_s = time.monotonic()
        router.store_proxy.pause()
        self._processes.set_gossip_loss(router, 1.0)
        await asyncio.sleep(generator.uniform(0.3, 2.5))
        router.store_proxy.resume()
        self._processes.set_gossip_loss(router, 0.0)
        self._monitor.excuse(router.name, begin_s)

    async def _change_configuration(self) -> None:
        self._write_configuration(self._added_routes)

    async def _change_large_configurations(self) -> None:
        """Write versions in series, each with more or fewer routes or with the same ones."""
        for _ in range(self._random.randint(2, 5)):
            self._write_configuration(
                self._random.choice((self._added_routes, self._random.randint(0, MAX_ADDED_ROUTES)))
            )
            await asyncio.sleep(self._random.uniform(0.1, 0.9))

    def _write_configuration(self, added_routes: int) -> None:
        self._added_routes = added_routes
        self._customer_version += self._random.randint(1, 3)
        fields = configuration(
            self._customer_version, added_routes=added_routes, timeout_ms=REQUEST_TIMEOUT_MS
        )
        if self._excess is not None:
            self._excess.add_quotas(fields)
        self._fleet.store.put_json("op/config", fields)

    async def _name_weights(self) -> None:
        self._weights_version += 1
        self._fleet.store.put_json("op/version/m", {"model": "m", "version": self._weights_version})

    async def _name_limit(self) -> None:
        target = self._random.choice(self._fleet.targets)
        self._monitor.name_limit(target, self._random.choice(LIMITS_PER_S))

    async def _cut_gossip(self) -> None:
        router = self._random_router()
        begin_s = time.monotonic()
        await self._set_gossip_loss(router, 1.0)
        self._monitor.excuse(router.name, begin_s)

    async def _lose_gossip(self) -> None:
        await self._set_gossip_loss(self._random_router(), GOSSIP_LOSS_RATE)

    async def _set_gossip_loss(self, router: RouterProcess, loss_rate: float) -> None:
        assert self._processes is not None
        self._processes.set_gossip_loss(router, loss_rate)
        await self._wait_random_time()
        self._processes.set_gossip_loss(router, 0.0)

    async def _expire_leases(self) -> None:
        self._fleet.store.expire_leases()

    async def _restore_store(self) -> None:
        checkpoint = self._fleet.store.checkpoint()
        await self._wait_random_time()
        outage_s, rewrite_delay_s = self._random.uniform(0.1, 1.0), self._random.uniform(0.0, 0.5)
        await self._fleet.restore_store(checkpoint, outage_s, rewrite_delay_s)

    async def _add_router(self) -> None:
        assert self._processes is not None
        if len(self._routers) >= self._router_count + MAX_ADDED_ROUTERS:
            return
        begin_s = time.monotonic()
        router = await self._processes.add()
        router.settings["bootstrap"] = self._excess is None
        router.start()
        self._monitor.excuse(router.name, begin_s)

    async def _run_client(self, client: int) -> None:
        """Send requests one after the other, on persistent connections."""
        generator = random.Random(f"{self.report.seed}/{client}")
        async with aiohttp.ClientSession() as session:
            while not self._is_stopping:
                path, method = generator.choice(PATHS)
                router = generator.choice(self._routers)
                faults_were_over = self._faults_are_over
                stream = self._make_stream(path)
                outcome = await self._send(session, router, path, method, stream)
                self.report.statuses[outcome] += 1
                if path.startswith("/ask") and stream is not None and stream.builds:
                    await self._take_up(session, generator, path, stream)
                if faults_were_over and outcome != "200":
                    self.report.broken.append(f"{path} got {outcome} after all faults had ended")
                await asyncio.sleep(CLIENT_PAUSE_S)

    def _make_stream(self, path: str) -> ClientStream | None:
        """Create the stream that the next request begins, None if it begins none."""
        if not path.startswith(("/ask", "/long")):
            return None
        return ClientStream(f"s{self._requests_sent + 1}", STEADY_EVENT_COUNT)

    async def _take_up(
        self,
        session: aiohttp.ClientSession,
        generator: random.Random,
        path: str,
        stream: ClientStream,
    ) -> None:
        """Take a stream up again that has broken off."""
        for _ in range(MAX_TAKE_UPS):
            if stream.is_complete:
                break
            router = generator.choice(self._routers)
            outcome = await self._send(session, router, path, "POST", stream)
            self.report.take_ups[outcome] += 1
        if stream.is_joined or stream.is_out_of_order:
            self.report.broken.append(f"{stream.name} on {path} got events {stream.builds}")

    async def _send(
        self,
        session: aiohttp.ClientSession,
        router: RouterProcess,
        path: str,
        method: str,
        stream: ClientStream | None,
    ) -> str:
        self._requests_sent += 1
        self.report.requests += 1
        request_id = f"s{self._requests_sent}"
        self._monitor.router_of_request[request_id] = router.name
        headers = {
            "Host": HOST,
            "X-Request-Id": request_id,
            "X-Deadline-Ms": str(REQUEST_TIMEOUT_MS),
            "Authorization": f"Token {API_KEY}",
        }
        if stream is not None:
            headers |= PROMPT_HEADERS | stream.take_up_headers()
        url = f"http://{router.settings['listen']['front']}{path}"
        timeout = aiohttp.ClientTimeout(total=8.0, sock_connect=1.0)
        data = b"body" if method == "POST" else None
        sent_s = time.monotonic()
        response: aiohttp.ClientResponse | None = None
        body = b""
        try:
            async with session.request(
                method, url, data=data, headers=headers, timeout=timeout
            ) as response:
                self._monitor.record_response(router.name, response.headers)
                if stream is None:
                    body = await response.read()
                elif response.status == 200:
                    async for chunk in response.content.iter_any():
                        stream.feed(chunk)
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            if response is not None:
                self._cut_answers.append(
                    CutAnswer(request_id, path, router.name, sent_s, time.monotonic())
                )
            return type(error).__name__
        if response.status in NOT_RUN_STATUSES:
            self._refused_as_not_run.add(request_id)
        if response.status == 200:
            self._check_answer(request_id, path, body, response.headers, stream)
        return str(response.status)

    def _check_answer(
        self,
        request_id: str,
        path: str,
        body: bytes,
        headers: Any,
        stream: ClientStream | None,
    ) -> None:
        if headers.get("X-Request-Id") != request_id:
            self.report.broken.append(f"{request_id} got the answer of another request")
        if stream is not None:
            if not stream.is_whole:
                self.report.broken.append(f"{request_id} on {path} got events {stream.builds}")
        elif not body.endswith(b" " + request_id.encode()):
            self.report.broken.append(f"{request_id} on {path} got a wrong body: {body!r}")

    def _check_configurations(self) -> None:
        for router in self._routers:
            log = router.log_path.read_text()
            versions = CONFIGURATION_PATTERN.findall(log)
            if not versions or int(versions[-1]) != self._customer_version:
                self.report.broken.append(
                    f"{router.name} has configuration {versions[-1:]}, not {self._customer_version}"
                )

    def _check_cut_answers(self) -> None:
        for cut in self._cut_answers:
            if not any(item.explains(cut) for item in self._interruptions):
                self.report.broken.append(
                    f"{cut.request_id} on {cut.path} at {cut.router} broke off without a cause"
                )

    def _check_quotas(self) -> None:
        if self._excess is None:
            return
        self.report.broken += self._excess.monitor.violations(self._fleet.targets, EXCESS_CUSTOMER)
        refused = self.report.statuses["429"] + self.report.take_ups["429"]
        if refused:
            self.report.broken.append(f"{refused} requests below a quota got 429")

    def _check_executions(self) -> None:
        runs = [run for target in self._fleet.targets for run in target.executions]
        count = Counter(run.request_id for run in runs)
        for run in runs:
            if run.path.startswith(("/file", "/long")) and count[run.request_id] > 1:
                self.report.broken.append(f"{run.request_id} on {run.path} ran twice")
            if run.request_id in self._refused_as_not_run:
                self.report.broken.append(f"{run.request_id} was refused as not run, and ran")
            if run.customer not in (CUSTOMER, EXCESS_CUSTOMER):
                self.report.broken.append(f"{run.request_id} ran for customer {run.customer!r}")
            if run.version and run.salt != f"m:{run.version}:":
                self.report.broken.append(
                    f"{run.request_id} ran on weights {run.version} with salt {run.salt!r}"
                )


async def soak(
    seed: int, faults_s: float, routers: int = 3, has_releases: bool = False
) -> SoakReport:
    """Run one seed; settings and logs stay in a temporary directory."""
    folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    return await SoakRun(seed, faults_s, folder, routers, has_releases).run()


def main() -> None:
    """Run a range of seeds and print one line for each."""
    import cappa

    @cappa.command(name="soak", help="Runs routers with random faults and checks their guarantees.")
    @dataclass
    class Command:
        seed: Annotated[int, cappa.Arg(long=True)] = 1
        seeds: Annotated[int, cappa.Arg(long=True)] = 1
        seconds: Annotated[float, cappa.Arg(long=True)] = 10.0
        routers: Annotated[int, cappa.Arg(long=True)] = 3
        releases: Annotated[bool, cappa.Arg(long=True)] = False

    command = cappa.parse(Command, completion=False)
    broken = 0
    for seed in range(command.seed, command.seed + command.seeds):
        report = asyncio.run(soak(seed, command.seconds, command.routers, command.releases))
        broken += bool(report.broken)
        print(report.to_json(), flush=True)
    print(f"{command.seeds - broken} passed, {broken} failed")
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
