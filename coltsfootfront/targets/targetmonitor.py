"""Followers of the target's own state, for the gate and the index."""

from abc import ABC, abstractmethod

import logbook
from returns.result import Success

from coltsfootfront.common.clock import Clock
from coltsfootfront.common.logs import event
from coltsfootfront.targets.engine import Engine
from coltsfootfront.targets.admission import AdmissionController
from coltsfootfront.targets.cacheindex import CacheIndex
from coltsfootfront.targets.service import PlainService

log = logbook.Logger(__name__)

# Failed reads of the target's state in a row after which it counts as not reachable.
MAX_FAILED_READS = 2


class TargetWatch(ABC):
    """Follows the target's state for the gate.

    :param gate: takes the state.
    :param clock: time source.
    :param interval_s: time between two reads.
    """

    def __init__(self, gate: AdmissionController, clock: Clock, interval_s: float) -> None:
        self._gate = gate
        self._clock = clock
        self._interval_s = interval_s
        self._failed = 0

    async def run(self) -> None:
        """Read the state for ever."""
        while True:
            self._note(await self._read())
            await self._clock.sleep(self._interval_s)

    @abstractmethod
    async def _read(self) -> bool:
        """Read the state.

        :returns: whether the target answered.
        """

    def _note(self, answered: bool) -> None:
        self._failed = 0 if answered else self._failed + 1
        if answered:
            self._gate.reachable = True
        elif self._failed >= MAX_FAILED_READS and self._gate.reachable:
            self._gate.reachable = False
            self._gate.engine_state = None
            log.warning(event("target_unreachable", failed_reads=self._failed))


class EngineWatch(TargetWatch):
    """Follows an engine's report.

    :param engine: adapter of the engine.
    :param index: learns the incarnation and the capacity.
    """

    def __init__(
        self, gate: AdmissionController, clock: Clock, interval_s: float, engine: Engine, index: CacheIndex
    ) -> None:
        super().__init__(gate, clock, interval_s)
        self._engine = engine
        self._index = index

    async def _read(self) -> bool:
        report = await self._engine.state()
        if not isinstance(report, Success):
            return False
        state = report.unwrap()
        self._index.observe_incarnation(state.incarnation)
        self._index.set_capacity(state.capacity_blocks)
        self._gate.engine_state = state
        return True


class ServiceWatch(TargetWatch):
    """Follows the health of a plain service.

    :param service: adapter of the service.
    """

    def __init__(self, gate: AdmissionController, clock: Clock, interval_s: float, service: PlainService) -> None:
        super().__init__(gate, clock, interval_s)
        self._service = service

    async def _read(self) -> bool:
        return await self._service.is_healthy()
