"""Orders to the target: desired state of the document against the engine's own report.

There is no planner and no leader: each agent compares and orders for its own target. Orders
state what shall be, so repeating one does no harm. One order is under way at a time.
"""

import asyncio
import random

import logbook
from returns.result import Failure as Failed
from returns.result import Result, Success

from coltsfootfront.common import metrics
from coltsfootfront.common.clock import Clock
from coltsfootfront.common.errors import ErrorKind, Failure, ExecutionState
from coltsfootfront.common.logs import event
from coltsfootfront.configuration.document import LoadedModel, Target
from coltsfootfront.keyvalue.leases import LeaseLock, LoadSlots, TargetLease
from coltsfootfront.targets.engine import Engine, EngineState, Order
from coltsfootfront.targets.admission import AdmissionController

log = logbook.Logger(__name__)

ORDER_ROLE = "role"
ORDER_LOAD = "load"
ORDER_LOAD_ADAPTER = "load_adapter"
ORDER_UNLOAD_ADAPTER = "unload_adapter"

# Time between two comparisons while nothing is to be done.
COMPARE_INTERVAL_S = 0.5
# Time between two reads of the engine's report after an order; reports lag.
READ_BACK_INTERVAL_S = 0.1
# Delay before another attempt when a lease or slot is taken; doubles up to the limit. With the
# limit, 1,400 agents that wait for a slot read the store 140 to 280 times a second.
RETRY_DELAY_S = 0.5
MAX_RETRY_DELAY_S = 10.0


def next_order(target: Target, state: EngineState) -> Order | None:
    """Find the first difference between what a target shall be and what it is.

    :returns: the order that removes it, without fencing number, or None.
    """
    if target.role != state.role:
        return Order(ORDER_ROLE, role=target.role)
    for loaded in target.models:
        order = _order_for_model(loaded, state)
        if order is not None:
            return order
    return None


def _order_for_model(loaded: LoadedModel, state: EngineState) -> Order | None:
    version, adapters = state.models.get(loaded.model, ("", ()))
    if version != loaded.version:
        return Order(ORDER_LOAD, model=loaded.model, version=loaded.version)
    for adapter in loaded.adapters:
        if adapter not in adapters:
            return Order(ORDER_LOAD_ADAPTER, model=loaded.model, version=version, adapter=adapter)
    for adapter in adapters:
        if adapter not in loaded.adapters:
            return Order(ORDER_UNLOAD_ADAPTER, model=loaded.model, version=version, adapter=adapter)
    return None


class TargetReconciler:
    """Brings the engine to the document's state.

    :param gate: knows the document's part for the target and the engine's last report.
    :param engine: adapter of the engine.
    :param lease: right to order.
    :param slots: slots for loads of weights.
    :param clock: time source.
    :param target: name of the target.
    :param order_timeout_s: longest order.
    """

    def __init__(
        self,
        admission: AdmissionController,
        engine: Engine,
        lease: TargetLease,
        slots: LoadSlots,
        clock: Clock,
        target: str,
        order_timeout_s: float,
    ) -> None:
        self._admission = admission
        self._engine = engine
        self._lease = lease
        self._slots = slots
        self._clock = clock
        self._target = target
        self._order_timeout_s = order_timeout_s
        self._may_be_under_way = False

    async def run(self) -> None:
        """Compare and order for ever."""
        retry_s = RETRY_DELAY_S
        while True:
            if self._due() is None or await self.settle():
                retry_s = RETRY_DELAY_S
                await self._clock.sleep(COMPARE_INTERVAL_S)
            else:
                await self._clock.sleep(retry_s * random.uniform(0.5, 1))
                retry_s = min(retry_s * 2, MAX_RETRY_DELAY_S)

    async def settle(self) -> bool:
        """Order whatever is due.

        :returns: False when it could not be done now and must be tried again.
        """
        target = self._wanted()
        order = self._due()
        if target is None or order is None:
            return True
        if order.kind == ORDER_LOAD and await self._slots.are_all_taken():
            _count("slots_taken")
            return False
        taken = await self._lease.acquire(target.checks_fencing)
        if not isinstance(taken, Success) or not taken.unwrap():
            _count("lease_not_taken")
            return False
        keeper = asyncio.create_task(self._lease.renew_forever())
        try:
            return await self._order_all()
        finally:
            keeper.cancel()
            await asyncio.gather(keeper, return_exceptions=True)
            await self._lease.release(clean=not self._may_be_under_way)

    async def _order_all(self) -> bool:
        while True:
            report = await self._engine.state()
            if not isinstance(report, Success):
                return False
            self._admission.engine_state = report.unwrap()
            order = self._due()
            if order is None:
                return True
            done = await self._order(order)
            if not isinstance(done, Success):
                self._log(order, done.failure().kind.value)
                return False
            if not await self._read_back(order):
                self._log(order, "not_in_effect")
                return False
            self._log(order, "done")

    async def _order(self, order: Order) -> Result[None, Failure]:
        slot: LeaseLock | None = None
        if order.kind == ORDER_LOAD:
            taken = await self._slots.acquire()
            if not isinstance(taken, Success):
                return Failed(taken.failure())
            slot = taken.unwrap()
            if slot is None:
                return Failed(Failure(ErrorKind.OVERLOADED, "no load slot is free"))
        try:
            return await self._send(order)
        finally:
            if slot is not None:
                await slot.release()

    async def _send(self, order: Order) -> Result[None, Failure]:
        fenced = Order(
            order.kind,
            order.model,
            order.version,
            order.adapter,
            order.role,
            self._lease.fencing_token,
        )
        # The last step before the order: a target that ignores fencing numbers is protected
        # by this check and by the time that a successor waits.
        if not self._lease.is_held and not await self._lease.renew():
            return Failed(Failure(ErrorKind.FENCED, "the lease has ended"))
        self._may_be_under_way = True
        try:
            async with asyncio.timeout(self._order_timeout_s):
                done = await self._engine.order(fenced)
        except TimeoutError:
            return Failed(Failure(ErrorKind.TARGET_FAILED, "the order took too long"))
        if isinstance(done, Success) or done.failure().execution_state is ExecutionState.NOT_RUN:
            self._may_be_under_way = False
        return done

    async def _read_back(self, order: Order) -> bool:
        """Wait until the engine's report no longer asks for the same order."""
        until_s = self._clock.monotonic_s() + self._order_timeout_s
        while self._clock.monotonic_s() < until_s:
            report = await self._engine.state()
            if isinstance(report, Success):
                self._admission.engine_state = report.unwrap()
                if self._due() != order:
                    return True
            await self._clock.sleep(READ_BACK_INTERVAL_S)
        return False

    def _wanted(self) -> Target | None:
        target = self._admission.document.targets.get(self._target)
        # A VM that leaves would load weights for nobody.
        if target is None or target.withdrawn or self._admission.is_draining:
            return None
        return target

    def _due(self) -> Order | None:
        target = self._wanted()
        if target is None or self._admission.engine_state is None:
            return None
        return next_order(target, self._admission.engine_state)

    def _log(self, order: Order, outcome: str) -> None:
        _count(outcome)
        log.info(
            event(
                "order_ended",
                target=self._target,
                kind=order.kind,
                model=order.model,
                version=order.version,
                adapter=order.adapter,
                role=order.role,
                fencing=self._lease.fencing_token,
                outcome=outcome,
            )
        )


def _count(outcome: str) -> None:
    metrics.ORDERS.inc({"outcome": outcome})
