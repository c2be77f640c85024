"""Rolls out new versions of weights to the targets, from one router at a time.

The router that holds a lease in the store sends targets the orders to load weights. Each order has
the lease's creation revision as its fencing token. Where targets do not check the token, a new
holder waits before its first order, to keep the orders of two holders apart in time; one that
resigns leaves what remains of that wait to the next.
"""

import asyncio
import random
from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

import logbook
from returns.result import Success

from coltsfootfront.common import metrics
from coltsfootfront.common.clock import Clock
from coltsfootfront.common.logs import event
from coltsfootfront.direct.backlog import PRIORITIES
from coltsfootfront.direct.directory import Directory, Target
from coltsfootfront.direct.handover import NOTHING_LEFT, HandoverRecord
from coltsfootfront.direct.versions import WeightVersions
from coltsfootfront.keyvalue.leases import LeaseLock

log = logbook.Logger(__name__)

# Loads slow each other down when more than a third of the targets load at once.
MAX_LOADING_SHARE = 0.38
# Expected duration of a load before one has been observed.
INITIAL_LOAD_S = 0.5
# Weight of the latest load in the moving average of the duration.
LOAD_SMOOTHING = 0.4
# Share of the expected duration after which a loading target is polled first.
FIRST_POLL_SHARE = 0.6
# Interval at which a loading target is polled.
LOAD_POLL_INTERVAL_S = 0.08
# Timeout of a load, as a multiple of its expected duration.
LOAD_TIMEOUT_FACTOR = 6.0
MIN_LOAD_TIMEOUT_S = 2.0
# Delay before the retry of an order that was not accepted.
ORDER_RETRY_S = 0.4
LEASE_CHECK_INTERVAL_S = 0.05
# Attempts to send an order without an answer before the target's state is read.
MAX_ORDER_ATTEMPTS = 4
# Time between announcing a load to routers and sending its order. Most queued prompts are prefilled
# and most runs end meanwhile: output that a run produces after the new weights are loaded is
# worthless, and requests that have not started are rejected.
MIN_DRAIN_S = 0.25
MAX_DRAIN_S = 0.9
DRAIN_MARGIN_S = 0.15
# Loads are announced to routers as longer than expected; the end is announced as well.
ANNOUNCED_LOAD_FACTOR = 1.5
# Time after a start within which the directory is filled from the store.
DIRECTORY_FILL_S = 0.5
LEASE_RETRY_INTERVAL_S = 0.5
# An order whose connection was closed may arrive this much later, as its packets are sent again.
LATE_ORDER_S = 1.0
# Time limit for resigning; connections are to be closed in time also while the store is slow.
RESIGN_TIMEOUT_S = 1.0


class OrderResult(Enum):
    """Outcome of an order to a target."""

    ACCEPTED = "accepted"
    ALREADY_LOADED = "holds_already"
    BUSY = "busy"
    FENCED = "fenced"
    REPLACED = "replaced"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    WITHHELD = "withheld"
    """Not sent, as the lease had ended."""


@dataclass(frozen=True, slots=True)
class TargetState:
    """State that a target reports.

    :param versions: version of the weights of each model.
    :param accepted_orders: number of orders it has accepted since its start.
    :param is_busy: an order is being carried out.
    :param running: requests that run.
    :param waiting: requests that are queued.
    """

    versions: dict[str, int]
    accepted_orders: int
    is_busy: bool
    running: int
    waiting: int


class OrderClient(ABC):
    """Sends orders to targets and reads their state."""

    @abstractmethod
    async def start(self) -> None:
        """Prepare the client; opens no connection."""

    @abstractmethod
    async def close(self) -> None:
        """Close every connection."""

    @abstractmethod
    async def load_version(
        self,
        target: Target,
        model: str,
        version: int,
        accepted_orders: int,
        fencing_token: int,
        may_send: Callable[[], bool],
    ) -> OrderResult:
        """Order a target to load a version of a model's weights.

        :param accepted_orders: number of orders that the target must have accepted so far;
            otherwise it rejects this one.
        :param fencing_token: fencing token of the lease.
        :param may_send: checked on the open connection right before the order is sent; if it
            returns false, the order is not sent.
        """

    @abstractmethod
    async def read_state(self, target: Target) -> TargetState | None:
        """Read a target's state; None when it does not answer."""


@dataclass(slots=True)
class OrderProgress:
    """Orders to one target, as tracked by the lease holder.

    :param orders: number of orders the target has accepted, None when unknown.
    :param blocked_until_s: monotonic time before which the target gets no order.
    """

    orders: int | None = None
    blocked_until_s: float = 0.0


class OrderIssuer:
    """Rolls out new versions of weights while this router holds the lease.

    :param lease: lease whose holder alone may send orders.
    :param settle_s: wait of a new holder before its first order.
    :param handover: where a holder leaves the rest of that wait, None if there is none.
    :param on_loading: called with target, model, version and expected time; 0 cancels.
    :param on_loaded: called with target, model and version.
    """

    def __init__(
        self,
        clock: Clock,
        lease: LeaseLock,
        settle_s: float,
        handover: HandoverRecord | None,
        directory: Directory,
        versions: WeightVersions,
        client: OrderClient,
        on_loading: Callable[[Target, str, int, float], None],
        on_loaded: Callable[[Target, str, int], None],
        generator: random.Random,
    ) -> None:
        self._clock = clock
        self._lease = lease
        self._settle_s = settle_s
        self._handover = handover
        self._settled_s = 0.0
        """Monotonic time from which this holder may send orders."""
        self._last_order_s: float | None = None
        """Monotonic time of this holder's last order, None if it has sent none."""
        self._directory = directory
        self._versions = versions
        self._client = client
        self._on_loading = on_loading
        self._on_loaded = on_loaded
        self._generator = generator
        self._expected_load_s = INITIAL_LOAD_S
        self._progress: dict[str, OrderProgress] = {}
        self._loads: dict[str, asyncio.Task[None]] = {}
        self._is_fenced = False
        self.lease_may_be_free = True
        """The copy of the store shows no other holder of the lease."""

    async def run(self) -> None:
        """Acquire the lease whenever it is free, and roll out weights while it is held."""
        while True:
            if not self.lease_may_be_free or not await self._acquire_lease():
                pause_s = self._generator.uniform(
                    LEASE_RETRY_INTERVAL_S / 2, LEASE_RETRY_INTERVAL_S
                )
                await self._clock.sleep(pause_s)
                continue
            try:
                await self._run_as_holder()
            finally:
                await self._stop_loads()

    async def resign(self) -> None:
        """Release the lease, and leave what remains of the wait to the next holder.

        A lease that the store does not release in time expires.
        """
        left = []
        if self._handover is not None and self._lease.is_held:
            left = self._handover.leave(self._remaining_wait_s())
        try:
            async with asyncio.timeout(RESIGN_TIMEOUT_S):
                await self._lease.release(left)
        except TimeoutError:
            log.info(event("orders_lease_not_released", fencing=self._lease.fencing_token))

    def _remaining_wait_s(self) -> float:
        """Time until the next holder may send an order."""
        from_s = self._settled_s
        if self._last_order_s is not None:
            from_s = self._last_order_s + LATE_ORDER_S + self._settle_s
        return max(0.0, from_s - self._clock.monotonic_s())

    async def _acquire_lease(self) -> bool:
        handover, clear = NOTHING_LEFT, []
        if self._handover is not None:
            if not self._handover.is_readable:
                return False
            handover, clear = self._handover.read(), self._handover.clear()
        acquired = await self._lease.acquire(clear, handover.conditions)
        if not isinstance(acquired, Success) or not acquired.unwrap():
            return False
        wait_s = self._settle_s
        if handover.wait_s is not None:
            wait_s = min(wait_s, handover.wait_s)
        self._settled_s = self._clock.monotonic_s() + wait_s
        self._last_order_s = None
        log.info(event("orders_lease_taken", fencing=self._lease.fencing_token, wait_s=wait_s))
        return True

    async def _run_as_holder(self) -> None:
        self._is_fenced = False
        self._progress.clear()
        count_reader = asyncio.create_task(self._read_order_counts())
        renewal = asyncio.create_task(self._lease.renew_forever())
        try:
            lost_s: float | None = None
            while not self._is_fenced:
                await self._clock.sleep(LEASE_CHECK_INTERVAL_S)
                now_s = self._clock.monotonic_s()
                if self._lease.is_held:
                    lost_s = None
                    if now_s >= self._settled_s:
                        self._start_loads()
                    continue
                lost_s = lost_s or now_s
                if now_s - lost_s > self._settle_s:
                    break
            log.info(event("orders_lease_lost", fencing=self._lease.fencing_token))
        finally:
            renewal.cancel()
            count_reader.cancel()
            await asyncio.gather(renewal, count_reader, return_exceptions=True)

    async def _read_order_counts(self) -> None:
        """Read each engine's order count, so that its first order need not wait for it."""
        await self._clock.sleep(DIRECTORY_FILL_S)
        for target in self._directory.all():
            progress = self._progress.setdefault(target.name, OrderProgress())
            if target.versions and progress.orders is None:
                state = await self._client.read_state(target)
                if state is not None:
                    progress.orders = state.accepted_orders

    async def _stop_loads(self) -> None:
        loads = list(self._loads.values())
        for task in loads:
            task.cancel()
        await asyncio.gather(*loads, return_exceptions=True)
        self._loads.clear()

    def _start_loads(self) -> None:
        for name, task in list(self._loads.items()):
            if task.done():
                del self._loads[name]
                self._record_load_end(name, task)
        engines = [
            target
            for target in self._directory.all()
            if target.versions and target.is_usable() and not target.is_unreachable
        ]
        max_loads = max(1, round(MAX_LOADING_SHARE * len(engines)))
        for target, model, version in self._due_loads(engines):
            if len(self._loads) >= max_loads:
                return
            self._loads[target.name] = asyncio.create_task(
                self._load_target(target, model, version)
            )

    def _record_load_end(self, name: str, task: asyncio.Task[None]) -> None:
        error = task.exception()
        if error is not None:
            log.error(event("load_failed", target=name, reason=repr(error)))
            pause_s = self._clock.monotonic_s() + ORDER_RETRY_S
            self._progress[name].blocked_until_s = pause_s

    def _due_loads(self, engines: list[Target]) -> list[tuple[Target, str, int]]:
        now_s = self._clock.monotonic_s()
        due = []
        for target in engines:
            if target.name in self._loads or target.is_paused(now_s):
                continue
            if now_s < self._progress.setdefault(target.name, OrderProgress()).blocked_until_s:
                continue
            for model, version in target.versions.items():
                newest = self._versions.newest(model)
                if newest is not None and version < newest.version:
                    due.append((target, model, newest.version))
                    break
        # The longest outdated first, then the least loaded, which drains sooner.
        due.sort(
            key=lambda item: (
                -round(self._versions.outdated_for_s(item[1], item[0])),
                item[0].load(now_s),
            )
        )
        return due

    async def _load_target(self, target: Target, model: str, version: int) -> None:
        progress = self._progress[target.name]
        if progress.orders is None:
            await self._refresh_order_count(target, model, version, progress)
        orders = progress.orders
        if orders is None or not self._lease.is_held:
            return
        now_s = self._clock.monotonic_s()
        drain_s = target.backlog.wait_s(PRIORITIES - 1, now_s) + DRAIN_MARGIN_S
        drain_s = min(max(drain_s, MIN_DRAIN_S), MAX_DRAIN_S)
        self._on_loading(
            target, model, version, drain_s + self._expected_load_s * ANNOUNCED_LOAD_FACTOR
        )
        await self._clock.sleep(drain_s)
        if not self._lease.is_held:
            self._on_loading(target, model, version, 0.0)
            return
        result = await self._send_order(target, model, version, orders)
        metrics.ORDERS.inc({"outcome": result.value})
        log.info(
            event(
                "order_given",
                target=target.name,
                model=model,
                version=version,
                orders=orders,
                fencing=self._lease.fencing_token,
                answer=result.value,
            )
        )
        if result is OrderResult.ALREADY_LOADED:
            self._on_loaded(target, model, version)
        elif result is OrderResult.ACCEPTED:
            progress.orders = orders + 1
            await self._await_load(target, model, version)
        elif result is OrderResult.FENCED:
            self._is_fenced = True
        else:
            target.is_replaced = target.is_replaced or result is OrderResult.REPLACED
            # A report may be some hundred milliseconds old and predate the order; a later one shows
            # the order's effect.
            progress.orders = None
            progress.blocked_until_s = self._clock.monotonic_s() + ORDER_RETRY_S
            self._on_loading(target, model, version, 0.0)

    async def _send_order(
        self, target: Target, model: str, version: int, orders: int
    ) -> OrderResult:
        """Send an order, and retry it while it gets no answer.

        All attempts carry the same count of accepted orders, so that the target accepts only one.
        """
        result = OrderResult.UNKNOWN
        for _ in range(MAX_ORDER_ATTEMPTS):
            if not self._lease.is_held:
                return result
            fencing = self._lease.fencing_token
            try:
                result = await self._client.load_version(
                    target, model, version, orders, fencing, lambda: self._lease.is_held
                )
            finally:
                self._last_order_s = self._clock.monotonic_s()
            if result is not OrderResult.UNKNOWN:
                return result
        return result

    async def _await_load(self, target: Target, model: str, version: int) -> None:
        began_s = self._clock.monotonic_s()
        until_s = began_s + max(self._expected_load_s * LOAD_TIMEOUT_FACTOR, MIN_LOAD_TIMEOUT_S)
        await self._clock.sleep(self._expected_load_s * FIRST_POLL_SHARE)
        while not await self._has_loaded(target, model, version):
            is_gone = (
                target.is_unreachable or target.is_replaced or target.missing_since_s is not None
            )
            if is_gone or self._clock.monotonic_s() >= until_s:
                self._progress[target.name].orders = None
                log.info(event("load_given_up", target=target.name, version=version))
                return
            # The state is some hundred milliseconds old and may be from before the order.
            self._on_loading(target, model, version, LOAD_POLL_INTERVAL_S * 3)
            await self._clock.sleep(LOAD_POLL_INTERVAL_S)
        took_s = self._clock.monotonic_s() - began_s
        self._expected_load_s += (
            min(took_s, 2 * self._expected_load_s) - self._expected_load_s
        ) * LOAD_SMOOTHING
        log.info(event("weights_loaded", target=target.name, version=version, took_s=took_s))
        self._on_loaded(target, model, version)

    async def _has_loaded(self, target: Target, model: str, version: int) -> bool:
        if target.versions.get(model, 0) >= version:
            return True
        state = await self._client.read_state(target)
        return state is not None and state.versions.get(model, 0) >= version

    async def _refresh_order_count(
        self, target: Target, model: str, version: int, progress: OrderProgress
    ) -> None:
        """Read how many orders a target has accepted so far."""
        state = await self._client.read_state(target)
        if state is None:
            progress.orders = None
            progress.blocked_until_s = self._clock.monotonic_s() + ORDER_RETRY_S
            return
        progress.orders = state.accepted_orders
        if state.versions.get(model, 0) >= version:
            self._on_loaded(target, model, version)
