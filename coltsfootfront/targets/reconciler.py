"""Reconciles the engine with the state that the configuration document asks for.

There is no central controller and no leader election: each agent reconciles its own target by
sending orders, the control commands of an engine. An order names the desired state, so it is
idempotent. Only one order is in progress at a time.
"""

import asyncio
import random

import logbook
from returns.result import Failure as Failed
from returns.result import Result, Success

from coltsfootfront.common import metrics
from coltsfootfront.common.clock import Clock
from coltsfootfront.common.errors import ErrorKind, ExecutionState, Failure
from coltsfootfront.common.logs import event
from coltsfootfront.configuration.document import LoadedModel, Target
from coltsfootfront.keyvalue.leases import LeaseLock, LoadSlots, TargetLease
from coltsfootfront.targets.admission import AdmissionController
from coltsfootfront.targets.engine import Engine, EngineState, Order

log = logbook.Logger(__name__)

ORDER_ROLE = "role"
ORDER_LOAD = "load"
ORDER_LOAD_ADAPTER = "load_adapter"
ORDER_UNLOAD_ADAPTER = "unload_adapter"

# Interval between comparisons while the engine is in the desired state.
RECONCILE_INTERVAL_S = 0.5
# The reported state lags, so it is polled after an order until it shows the effect.
STATE_POLL_INTERVAL_S = 0.1
# Backoff after a failed reconciliation, for instance while the lease or a load slot is not
# available; doubles up to the maximum. At the maximum, 1,400 agents that wait for a slot read the
# store 140 to 280 times a second.
RETRY_DELAY_S = 0.5
MAX_RETRY_DELAY_S = 10.0


def next_order(target: Target, state: EngineState) -> Order | None:
    """Find the first difference between a target's desired and reported state.

    :returns: the order that removes the difference, without a fencing token, or None.
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
    """Control loop that brings the engine to the state in the configuration document.

    :param admission: holds the target's part of the document and the engine's last reported state.
    :param engine: client of the engine.
    :param lease: lease under which orders may be sent to the target.
    :param slots: limits concurrent loads of weights across all targets.
    :param clock: time source.
    :param target: name of the target.
    :param order_timeout_s: timeout of one order in seconds.
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
        self._order_may_be_in_progress = False

    async def run(self) -> None:
        """Reconcile until cancelled, with backoff while an attempt fails."""
        retry_s = RETRY_DELAY_S
        while True:
            if self._next_order() is None or await self.reconcile():
                retry_s = RETRY_DELAY_S
                await self._clock.sleep(RECONCILE_INTERVAL_S)
            else:
                await self._clock.sleep(retry_s * random.uniform(0.5, 1))
                retry_s = min(retry_s * 2, MAX_RETRY_DELAY_S)

    async def reconcile(self) -> bool:
        """Send orders until the engine is in the desired state.

        :returns: False when an order could not be carried out and must be retried.
        """
        target = self._desired_target()
        order = self._next_order()
        if target is None or order is None:
            return True
        if order.kind == ORDER_LOAD and await self._slots.are_all_taken():
            _count_outcome("slots_taken")
            return False
        taken = await self._lease.acquire(target.checks_fencing)
        if not isinstance(taken, Success) or not taken.unwrap():
            _count_outcome("lease_not_taken")
            return False
        renewal_task = asyncio.create_task(self._lease.renew_forever())
        try:
            return await self._apply_orders()
        finally:
            renewal_task.cancel()
            await asyncio.gather(renewal_task, return_exceptions=True)
            await self._lease.release(clean=not self._order_may_be_in_progress)

    async def _apply_orders(self) -> bool:
        while True:
            report = await self._engine.state()
            if not isinstance(report, Success):
                return False
            self._admission.engine_state = report.unwrap()
            order = self._next_order()
            if order is None:
                return True
            result = await self._apply(order)
            if not isinstance(result, Success):
                self._log_outcome(order, result.failure().kind.value)
                return False
            if not await self._wait_for_effect(order):
                self._log_outcome(order, "not_in_effect")
                return False
            self._log_outcome(order, "done")

    async def _apply(self, order: Order) -> Result[None, Failure]:
        slot: LeaseLock | None = None
        if order.kind == ORDER_LOAD:
            taken = await self._slots.acquire()
            if not isinstance(taken, Success):
                return Failed(taken.failure())
            slot = taken.unwrap()
            if slot is None:
                return Failed(Failure(ErrorKind.OVERLOADED, "no load slot is free"))
        try:
            return await self._send_fenced(order)
        finally:
            if slot is not None:
                await slot.release()

    async def _send_fenced(self, order: Order) -> Result[None, Failure]:
        fenced = Order(
            order.kind,
            order.model,
            order.version,
            order.adapter,
            order.role,
            self._lease.fencing_token,
        )
        # Checked right before sending: a target that ignores fencing tokens is protected only
        # by this check and by the time that the next lease holder waits.
        if not self._lease.is_held and not await self._lease.renew():
            return Failed(Failure(ErrorKind.FENCED, "the lease has ended"))
        self._order_may_be_in_progress = True
        try:
            async with asyncio.timeout(self._order_timeout_s):
                result = await self._engine.order(fenced)
        except TimeoutError:
            return Failed(Failure(ErrorKind.TARGET_FAILED, "the order took too long"))
        if (
            isinstance(result, Success)
            or result.failure().execution_state is ExecutionState.NOT_RUN
        ):
            self._order_may_be_in_progress = False
        return result

    async def _wait_for_effect(self, order: Order) -> bool:
        """Poll the engine's state until it no longer requires the same order."""
        until_s = self._clock.monotonic_s() + self._order_timeout_s
        while self._clock.monotonic_s() < until_s:
            report = await self._engine.state()
            if isinstance(report, Success):
                self._admission.engine_state = report.unwrap()
                if self._next_order() != order:
                    return True
            await self._clock.sleep(STATE_POLL_INTERVAL_S)
        return False

    def _desired_target(self) -> Target | None:
        target = self._admission.document.targets.get(self._target)
        # A draining VM gets no requests for the weights that it would load.
        if target is None or target.withdrawn or self._admission.is_draining:
            return None
        return target

    def _next_order(self) -> Order | None:
        target = self._desired_target()
        if target is None or self._admission.engine_state is None:
            return None
        return next_order(target, self._admission.engine_state)

    def _log_outcome(self, order: Order, outcome: str) -> None:
        _count_outcome(outcome)
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


def _count_outcome(outcome: str) -> None:
    metrics.ORDERS.inc({"outcome": outcome})
