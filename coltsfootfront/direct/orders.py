"""Brings targets to the newest version of their weights, from one router at a time.

The holder of a lease in the store gives the orders. The lease's creation revision goes along as
fencing number. Where targets do not check it, a new holder waits before its first order, so that
orders of two holders never follow each other closely.
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
from coltsfootfront.direct.versions import WeightVersions
from coltsfootfront.keyvalue.leases import LeaseLock

log = logbook.Logger(__name__)

# Loads slow each other down when more than a third of the targets load at once.
LOAD_SHARE = 0.38
# A load of weights is expected to take this long before one was seen.
FIRST_LOAD_S = 0.5
# Weight of the latest load in the expected duration, and how much of that is waited for before
# the target is asked.
LOAD_SMOOTHING = 0.4
UNASKED_SHARE = 0.6
# Interval at which a loading target is asked for its state.
POLL_INTERVAL_S = 0.08
# A target that has not taken the version after this multiple of the expected time is left alone.
LOAD_PATIENCE = 6.0
MIN_PATIENCE_S = 2.0
# Pause before an order that was not accepted is tried again.
ORDER_PAUSE_S = 0.4
CHECK_INTERVAL_S = 0.05
# Orders to a target that get no answer before it is asked for its state.
MAX_UNANSWERED = 4
# Time between telling routers and the order, in which prompts that wait are read and runs under
# way mostly end: what a run makes after new weights came is worth nothing, and requests that have
# not started are rejected.
MIN_DRAIN_S = 0.25
MAX_DRAIN_S = 0.9
SPARE_DRAIN_S = 0.15
# Routers pass over a target for longer than a load takes; its end is told to them.
LOADING_FACTOR = 1.5
# The directory is filled from the store within this time after a start.
FIRST_QUESTION_S = 0.5
TAKE_INTERVAL_S = 0.5


class OrderResult(Enum):
    """What a target said to an order."""

    ACCEPTED = "accepted"
    ALREADY_LOADED = "holds_already"
    BUSY = "busy"
    FENCED = "fenced"
    REPLACED = "replaced"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    WITHHELD = "withheld"
    """The right to give orders ended before this one was sent."""


@dataclass(frozen=True, slots=True)
class TargetState:
    """What a target reports of itself.

    :param accepted_orders: number of orders it has accepted since its start.
    :param is_busy: an order is being carried out.
    """

    versions: dict[str, int]
    accepted_orders: int
    is_busy: bool
    running: int
    waiting: int


class OrderClient(ABC):
    """Gives orders to targets and asks for their state."""

    @abstractmethod
    async def start(self) -> None:
        """Prepare for orders; opens no connection."""

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
        """Order a target to take a version of a model's weights.

        :param accepted_orders: the order is void unless the target has accepted exactly this many.
        :param may_send: asked right before the order goes out on an open connection; it is
            withheld when the answer is no.
        """

    @abstractmethod
    async def read_state(self, target: Target) -> TargetState | None:
        """Ask a target for its state; None when it does not answer."""


@dataclass(slots=True)
class Progress:
    """What the holder knows of one target.

    :param orders: number of orders the target has accepted, None when not known.
    :param blocked_until_s: no order goes to the target before.
    """

    orders: int | None = None
    blocked_until_s: float = 0.0


class OrderIssuer:
    """Gives orders while this router holds the lease.

    :param lease: the right to give orders.
    :param settle_s: wait of a new holder before its first order.
    :param on_loading: called with target, model, version and expected time.
    :param on_loaded: called with target, model and version.
    """

    def __init__(
        self,
        clock: Clock,
        lease: LeaseLock,
        settle_s: float,
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
        self._directory = directory
        self._versions = versions
        self._client = client
        self._on_loading = on_loading
        self._on_loaded = on_loaded
        self._generator = generator
        self._load_s = FIRST_LOAD_S
        self._progress: dict[str, Progress] = {}
        self._loads: dict[str, asyncio.Task[None]] = {}
        self._is_fenced = False
        self.lease_may_be_free = True
        """No other router is known to hold the lease."""

    async def run(self) -> None:
        """Hold the lease whenever it is free, and give orders, for ever."""
        while True:
            if not self.lease_may_be_free or not await self._take():
                pause_s = self._generator.uniform(TAKE_INTERVAL_S / 2, TAKE_INTERVAL_S)
                await self._clock.sleep(pause_s)
                continue
            try:
                await self._hold()
            finally:
                await self._stop_loads()

    async def _take(self) -> bool:
        taken = await self._lease.acquire()
        if not isinstance(taken, Success) or not taken.unwrap():
            return False
        log.info(event("orders_lease_taken", fencing=self._lease.fencing_token))
        return True

    async def _hold(self) -> None:
        self._is_fenced = False
        self._progress.clear()
        learner = asyncio.create_task(self._learn_orders())
        keeper = asyncio.create_task(self._lease.renew_forever())
        try:
            settled_s = self._clock.monotonic_s() + self._settle_s
            lost_s: float | None = None
            while not self._is_fenced:
                await self._clock.sleep(CHECK_INTERVAL_S)
                now_s = self._clock.monotonic_s()
                if self._lease.is_held:
                    lost_s = None
                    if now_s >= settled_s:
                        self._start_loads()
                    continue
                lost_s = lost_s or now_s
                if now_s - lost_s > self._settle_s:
                    break
            log.info(event("orders_lease_lost", fencing=self._lease.fencing_token))
        finally:
            keeper.cancel()
            learner.cancel()
            await asyncio.gather(keeper, learner, return_exceptions=True)

    async def _learn_orders(self) -> None:
        """Ask each engine once, so that the first order to it need not wait for the answer."""
        await self._clock.sleep(FIRST_QUESTION_S)
        for target in self._directory.all():
            progress = self._progress.setdefault(target.name, Progress())
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
                self._note_end(name, task)
        engines = [
            target
            for target in self._directory.all()
            if target.versions and target.is_usable() and not target.is_unreachable
        ]
        most = max(1, round(LOAD_SHARE * len(engines)))
        for target, model, version in self._due(engines):
            if len(self._loads) >= most:
                return
            self._loads[target.name] = asyncio.create_task(self._load(target, model, version))

    def _note_end(self, name: str, task: asyncio.Task[None]) -> None:
        error = task.exception()
        if error is not None:
            log.error(event("load_failed", target=name, reason=repr(error)))
            pause_s = self._clock.monotonic_s() + ORDER_PAUSE_S
            self._progress[name].blocked_until_s = pause_s

    def _due(self, engines: list[Target]) -> list[tuple[Target, str, int]]:
        now_s = self._clock.monotonic_s()
        due = []
        for target in engines:
            if target.name in self._loads or target.is_paused(now_s):
                continue
            if now_s < self._progress.setdefault(target.name, Progress()).blocked_until_s:
                continue
            for model, version in target.versions.items():
                named = self._versions.newest(model)
                if named is not None and version < named.version:
                    due.append((target, model, named.version))
                    break
        # The longest outdated first, then the idlest: fewer requests are in their way.
        due.sort(
            key=lambda item: (
                -round(self._versions.outdated_s(item[1], item[0])),
                item[0].load(now_s),
            )
        )
        return due

    async def _load(self, target: Target, model: str, version: int) -> None:
        progress = self._progress[target.name]
        if progress.orders is None:
            await self._refresh(target, model, version, progress)
        orders = progress.orders
        if orders is None or not self._lease.is_held:
            return
        now_s = self._clock.monotonic_s()
        drain_s = target.backlog.wait_s(PRIORITIES - 1, now_s) + SPARE_DRAIN_S
        drain_s = min(max(drain_s, MIN_DRAIN_S), MAX_DRAIN_S)
        self._on_loading(target, model, version, drain_s + self._load_s * LOADING_FACTOR)
        await self._clock.sleep(drain_s)
        if not self._lease.is_held:
            self._on_loading(target, model, version, 0.0)
            return
        answer = await self._give(target, model, version, orders)
        metrics.ORDERS.inc({"outcome": answer.value})
        log.info(
            event(
                "order_given",
                target=target.name,
                model=model,
                version=version,
                orders=orders,
                fencing=self._lease.fencing_token,
                answer=answer.value,
            )
        )
        if answer is OrderResult.ALREADY_LOADED:
            self._on_loaded(target, model, version)
        elif answer is OrderResult.ACCEPTED:
            progress.orders = orders + 1
            await self._await_load(target, model, version)
        elif answer is OrderResult.FENCED:
            self._is_fenced = True
        else:
            target.is_replaced = target.is_replaced or answer is OrderResult.REPLACED
            # Reports are some hundred milliseconds old; the next one shows the order's effect.
            progress.orders = None
            progress.blocked_until_s = self._clock.monotonic_s() + ORDER_PAUSE_S
            self._on_loading(target, model, version, 0.0)

    async def _give(self, target: Target, model: str, version: int, orders: int) -> OrderResult:
        """Give an order, again while it gets no answer.

        The count of accepted orders voids all but one of them, whichever comes first.
        """
        answer = OrderResult.UNKNOWN
        for _ in range(MAX_UNANSWERED):
            if not self._lease.is_held:
                return answer
            fencing = self._lease.fencing_token
            answer = await self._client.load_version(
                target, model, version, orders, fencing, lambda: self._lease.is_held
            )
            if answer is not OrderResult.UNKNOWN:
                return answer
        return answer

    async def _await_load(self, target: Target, model: str, version: int) -> None:
        began_s = self._clock.monotonic_s()
        until_s = began_s + max(self._load_s * LOAD_PATIENCE, MIN_PATIENCE_S)
        await self._clock.sleep(self._load_s * UNASKED_SHARE)
        while not await self._has_loaded(target, model, version):
            is_gone = target.is_unreachable or target.is_replaced or target.missing_since_s is not None
            if is_gone or self._clock.monotonic_s() >= until_s:
                self._progress[target.name].orders = None
                log.info(event("load_given_up", target=target.name, version=version))
                return
            # A report is some hundred milliseconds old and may be from before the order.
            self._on_loading(target, model, version, POLL_INTERVAL_S * 3)
            await self._clock.sleep(POLL_INTERVAL_S)
        took_s = self._clock.monotonic_s() - began_s
        self._load_s += (min(took_s, 2 * self._load_s) - self._load_s) * LOAD_SMOOTHING
        log.info(event("weights_loaded", target=target.name, version=version, took_s=took_s))
        self._on_loaded(target, model, version)

    async def _has_loaded(self, target: Target, model: str, version: int) -> bool:
        if target.versions.get(model, 0) >= version:
            return True
        state = await self._client.read_state(target)
        return state is not None and state.versions.get(model, 0) >= version

    async def _refresh(self, target: Target, model: str, version: int, progress: Progress) -> None:
        """Find out what a target has accepted so far."""
        state = await self._client.read_state(target)
        if state is None:
            progress.orders = None
            progress.blocked_until_s = self._clock.monotonic_s() + ORDER_PAUSE_S
            return
        progress.orders = state.accepted_orders
        if state.versions.get(model, 0) >= version:
            self._on_loaded(target, model, version)
