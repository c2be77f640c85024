"""A customer of the soak test that sends several times its quota."""

import asyncio
import random
from collections import Counter
from collections.abc import Callable, Sequence
from typing import Any

import aiohttp

from coltsfootfront_dev.platformfleet import HOST
from coltsfootfront_dev.platformrouters import RouterProcess
from coltsfootfront_dev.quotacheck import QuotaMonitor

CUSTOMER = "customer-excess"
API_KEY = "key-excess"
RATE_PER_S = 8_000.0
SEEDS_SHARE = 0.4
# Quota of the other customer, several times what it sends.
AMPLE_PER_S = 100_000.0
EXCESS_FACTORS = (2.0, 4.0)
TOKENS = (50, 200, 800, 3_000)
TIMEOUT_S = 4.0


class ExcessCustomer:
    """Sends plain requests through all routers, far above its quota, in some of the seeds.

    :param routers: the routers; more may be added meanwhile.
    :param router_of_request: gets the router's name of each request.
    """

    def __init__(
        self, seed: int, routers: Sequence[RouterProcess], router_of_request: dict[str, str]
    ) -> None:
        # Apart from the other faults, so that these are the same without quotas.
        self._random = random.Random(f"{seed}/quota")
        self.is_active = self._random.random() < SEEDS_SHARE
        self._routers = routers
        self._router_of_request = router_of_request
        self._factor = self._random.choice(EXCESS_FACTORS)
        self._sent = 0
        self.monitor = QuotaMonitor(RATE_PER_S, RATE_PER_S)
        self.statuses: Counter[str] = Counter()

    def add_quotas(self, configuration: dict[str, Any]) -> None:
        """Add this customer to a configuration, and an ample quota to the others."""
        for tenant in configuration["tenants"]:
            tenant |= {"rate-per-s": AMPLE_PER_S, "burst": AMPLE_PER_S, "unit": "tokens"}
        fields = self.monitor.quota_fields()
        configuration["tenants"].append({"name": CUSTOMER, "api-keys": [API_KEY], **fields})

    async def run(self, is_stopping: Callable[[], bool]) -> None:
        """Send requests until the run stops."""
        interval_s = sum(TOKENS) / len(TOKENS) / (self._factor * RATE_PER_S)
        requests: set[asyncio.Task[None]] = set()
        timeout = aiohttp.ClientTimeout(TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while not is_stopping():
                request = asyncio.create_task(self._send(session))
                requests.add(request)
                request.add_done_callback(requests.discard)
                await asyncio.sleep(self._random.expovariate(1 / interval_s))
            await asyncio.gather(*requests)

    async def _send(self, session: aiohttp.ClientSession) -> None:
        self._sent += 1
        request_id = f"q{self._sent}"
        tokens = self._random.choice(TOKENS)
        self.monitor.record_request(request_id, tokens)
        headers = {
            "Host": HOST,
            "X-Request-Id": request_id,
            "X-Deadline-Ms": "3000",
            "X-Token-Usage": f"{tokens - 10},10",
            "Authorization": f"Token {API_KEY}",
        }
        router = self._random.choice(self._routers)
        self._router_of_request[request_id] = router.name
        url = f"http://{router.settings['listen']['front']}/look/a"
        try:
            async with session.get(url, headers=headers) as response:
                await response.read()
                self.statuses[str(response.status)] += 1
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            self.statuses[type(error).__name__] += 1
