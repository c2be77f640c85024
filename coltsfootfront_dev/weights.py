"""Stand-in for the platform's weight store.

Run as ``python -m coltsfootfront_dev.weights --address 127.0.0.1:0``.
"""

import asyncio
from dataclasses import dataclass
from typing import Annotated

import cappa
from aiohttp import web

from coltsfootfront_dev.standin import RefusedError, StandIn, serve

_SLICE_S = 0.02


@dataclass
class Options:
    """Stand-in for the weight store."""

    address: Annotated[str, cappa.Arg(long=True, help="host:port to listen on")] = "127.0.0.1:0"
    load_s: Annotated[float, cappa.Arg(long=True, help="time of one load")] = 0.4
    full_speed_loads: Annotated[int, cappa.Arg(long=True, help="loads at full speed")] = 2


@dataclass
class WeightFaults:
    """Faults that ``POST /control`` switches.

    :param slow_factor: factor on the duration of loads.
    :param status: status answered to each load; 0 for none.
    """

    slow_factor: float = 1.0
    status: int = 0


@dataclass
class WeightCounters:
    """Loads served.

    :param most_at_once: largest number of loads at the same time.
    """

    loads: int = 0
    most_at_once: int = 0


class WeightStoreStandIn(StandIn):
    """Serves weights; more than a few loads at once share its bandwidth.

    :param options: as on the command line.
    """

    def __init__(self, options: Options) -> None:
        self.faults = WeightFaults()
        self.counters = WeightCounters()
        super().__init__(self.faults, self.counters, cancel_handlers=True)
        self._options = options
        self._active = 0

    def routes(self) -> list[web.RouteDef]:
        return [web.get("/weights/{model}/{name}", self._handle_load)]

    async def _handle_load(self, request: web.Request) -> web.Response:
        if self.faults.status:
            raise RefusedError(self.faults.status, "target_failed", "fault is switched on")
        self.counters.loads += 1
        self._active += 1
        self.counters.most_at_once = max(self.counters.most_at_once, self._active)
        try:
            await self._transfer()
        finally:
            self._active -= 1
        return web.json_response(dict(request.match_info))

    async def _transfer(self) -> None:
        left_s = self._options.load_s
        while left_s > 0:
            speed = min(1.0, self._options.full_speed_loads / self._active)
            slice_s = min(_SLICE_S, left_s / speed)
            await asyncio.sleep(slice_s * self.faults.slow_factor)
            left_s -= slice_s * speed


def main() -> None:
    """Run the stand-in as a program."""
    options = cappa.parse(Options)
    serve(WeightStoreStandIn(options), "weights", options.address)


if __name__ == "__main__":
    main()
