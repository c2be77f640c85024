"""Monitors that poll the target's state for admission control and the cache index."""

from abc import ABC, abstractmethod

import logbook
from returns.result import Success

from coltsfootfront.common.clock import Clock
from coltsfootfront.common.logs import event
from coltsfootfront.targets.admission import AdmissionController
from coltsfootfront.targets.cacheindex import CacheIndex
from coltsfootfront.targets.engine import Engine
from coltsfootfront.targets.service import PlainService

log = logbook.Logger(__name__)

# Consecutive failed reads of the target's state after which it counts as unreachable.
MAX_FAILED_READS = 2


class TargetMonitor(ABC):
    """Polls the target's state and passes it to admission control.

    :param admission: receives the state.
    :param clock: time source.
    :param interval_s: time between two reads.
    """

    def __init__(self, admission: AdmissionController, clock: Clock, interval_s: float) -> None:
        self._admission = admission
        self._clock = clock
        self._interval_s = interval_s
        self._failed_reads = 0

    async def run(self) -> None:
        """Poll the state until cancelled."""
        while True:
            self._record_read(await self._read())
            await self._clock.sleep(self._interval_s)

    @abstractmethod
    async def _read(self) -> bool:
        """Read the state.

        :returns: whether the target responded.
        """

    def _record_read(self, responded: bool) -> None:
        self._failed_reads = 0 if responded else self._failed_reads + 1
        if responded:
            self._admission.reachable = True
        elif self._failed_reads >= MAX_FAILED_READS and self._admission.reachable:
            self._admission.reachable = False
            self._admission.engine_state = None
            log.warning(event("target_unreachable", failed_reads=self._failed_reads))


class EngineMonitor(TargetMonitor):
    """Polls the state of a model engine.

    :param engine: client of the engine.
    :param index: receives the engine's incarnation and cache capacity.
    """

    def __init__(
        self,
        admission: AdmissionController,
        clock: Clock,
        interval_s: float,
        engine: Engine,
        index: CacheIndex,
    ) -> None:
        super().__init__(admission, clock, interval_s)
        self._engine = engine
        self._index = index

    async def _read(self) -> bool:
        report = await self._engine.state()
        if not isinstance(report, Success):
            return False
        state = report.unwrap()
        self._index.observe_incarnation(state.incarnation)
        self._index.set_capacity(state.capacity_blocks)
        self._admission.engine_state = state
        return True


class ServiceMonitor(TargetMonitor):
    """Polls the health check of a plain service.

    :param service: client of the service.
    """

    def __init__(
        self, admission: AdmissionController, clock: Clock, interval_s: float, service: PlainService
    ) -> None:
        super().__init__(admission, clock, interval_s)
        self._service = service

    async def _read(self) -> bool:
        return await self._service.is_healthy()
