"""Tests of the reconciliation of engines with the configuration document."""

import asyncio
import unittest
from collections.abc import Callable

from returns.result import Failure as Failed
from returns.result import Result, Success

from coltsfootfront.common.errors import ErrorKind, ExecutionState, Failure
from coltsfootfront.configuration.document import LoadedModel, Target
from coltsfootfront.keyvalue.leases import LoadSlots, TargetLease
from coltsfootfront.targets.engine import EngineState, Order
from coltsfootfront.targets.reconciler import TargetReconciler, next_order
from coltsfootfront.tests.support import (
    FakeEngine,
    InMemoryStore,
    ManualClock,
    install_document,
    make_configuration,
    run_ready_tasks,
    single_target_document,
)
from coltsfootfront.tests.test_admission import make_admission_controller


class NextOrderTest(unittest.TestCase):
    def test_differences(self) -> None:
        """Guards against a wrong order, or one that is repeated forever."""
        desired = Target("o", "s", "d", "a:1", models=[LoadedModel("m", "v2", ["a", "b"])])
        cases = {
            "nothing": (EngineState("e", {"m": ("v2", ("b", "a"))}), None),
            "role": (EngineState("e", {}, "idle"), Order("role", role="serve")),
            "model": (EngineState("e", {}), Order("load", "m", "v2")),
            "version": (EngineState("e", {"m": ("v1", ("a", "b"))}), Order("load", "m", "v2")),
            "adapter": (
                EngineState("e", {"m": ("v2", ("a",))}),
                Order("load_adapter", "m", "v2", "b"),
            ),
            "extra adapter": (
                EngineState("e", {"m": ("v2", ("a", "b", "c"))}),
                Order("unload_adapter", "m", "v2", "c"),
            ),
        }
        for name, (state, expected) in cases.items():
            with self.subTest(name):
                self.assertEqual(expected, next_order(desired, state))


class OrderExecutingEngine(FakeEngine):
    """Engine that carries out every order, except those that its fencing check rejects.

    :param checks_fencing: whether orders with an outdated fencing token are rejected.
    """

    def __init__(self, checks_fencing: bool) -> None:
        super().__init__()
        self.reported_state = EngineState("e1", {"m": ("v0", ("a",))})
        self.on_order = self._execute
        self.highest_fencing = 0
        self.checks_fencing = checks_fencing
        self.before_order: Callable[[Order], None] = lambda order: None

    async def _execute(self, order: Order) -> Result[None, Failure]:
        self.before_order(order)
        if self.checks_fencing and order.fencing < self.highest_fencing:
            return Failed(Failure(ErrorKind.FENCED, "old number"))
        self.highest_fencing = max(self.highest_fencing, order.fencing)
        self.reported_state = EngineState("e1", {"m": (order.version, ("a",))})
        return Success(None)


class TargetReconcilerTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.store = InMemoryStore(self.clock)

    def _make_reconciler(self, name: str, engine: OrderExecutingEngine) -> TargetReconciler:
        target = {"checks_fencing": engine.checks_fencing}
        self.configuration = make_configuration(single_target_document(target=target))
        admission = make_admission_controller(self.configuration, self.clock)
        admission.engine_state = engine.reported_state
        self.lease = TargetLease(self.store, self.clock, "t", name, 10.0, 5.0)
        slots = LoadSlots(self.store, self.clock, 20.0)
        return TargetReconciler(admission, engine, self.lease, slots, self.clock, "t", 5.0)

    async def test_the_desired_state_is_reached(self) -> None:
        """Guards against orders without lease, fencing token or slot, and leftover keys."""
        engine = OrderExecutingEngine(checks_fencing=True)
        slots: list[int] = []
        engine.before_order = lambda order: slots.append(
            sum(key.startswith("leases/load/") for key in self.store.values)
        )
        self.assertTrue(await self._make_reconciler("a", engine).reconcile())
        self.assertEqual("v1", engine.reported_state.models["m"][0])
        self.assertEqual([1], slots)
        self.assertGreater(engine.orders[0].fencing, 0)
        self.assertEqual(["leases/last/t"], list(self.store.values))

    async def test_orders_are_withheld(self) -> None:
        """Guards against orders without the store, a free slot or an active target."""
        engine = OrderExecutingEngine(checks_fencing=False)
        reconciler = self._make_reconciler("a", engine)
        self.store.mode = "down"
        self.assertFalse(await reconciler.reconcile())
        self.store.mode = "ok"
        slots = [LoadSlots(self.store, self.clock, 20.0) for _ in range(2)]
        held = [(await item.acquire()).unwrap() for item in slots]
        self.assertFalse(await reconciler.reconcile(), "no load slot is free")
        for slot in held:
            assert slot is not None
            await slot.release()
        install_document(self.configuration, 2, single_target_document(target={"withdrawn": True}))
        self.assertTrue(await reconciler.reconcile())
        self.assertEqual([], engine.orders)

    async def test_orders_after_the_lease_has_expired(self) -> None:
        """Guards against orders of an agent that resumes after its lease has expired."""
        for checks_fencing in (True, False):
            with self.subTest(checks_fencing=checks_fencing):
                self.setUp()
                engine = OrderExecutingEngine(checks_fencing)
                old = self._make_reconciler("old", engine)
                old_lease = self.lease
                self.assertTrue((await old_lease.acquire(checks_fencing)).unwrap())
                self.clock.advance(11)
                new = self._make_reconciler("new", engine)
                reconciling = asyncio.create_task(new.reconcile())
                for _ in range(10):
                    await run_ready_tasks()
                    self.clock.advance(2.0)
                self.assertTrue(await asyncio.wait_for(reconciling, 1.0))
                order_count = len(engine.orders)
                rejected = await old._send_fenced(Order("load", "m", "v0"))
                self.assertEqual("fenced", rejected.failure().kind.value)
                self.assertEqual(
                    order_count,
                    len(engine.orders),
                    "the monotonic clock shows that the lease has expired",
                )
                old_lease._lock._valid_until_s = self.clock.monotonic_s() + 100
                old_lease._lock._lease = 1
                delayed = await old._send_fenced(Order("load", "m", "v0"))
                # Simulates a pause between the lease check and the order, in which only a target
                # that checks fencing tokens rejects the order. On other targets the new holder's
                # next reconciliation reverts it.
                self.assertEqual(checks_fencing, isinstance(delayed, Failed))
                new._admission.engine_state = engine.reported_state
                self.assertTrue(await new.reconcile())
                self.assertEqual("v1", engine.reported_state.models["m"][0])

    async def test_an_order_without_response_is_not_a_clean_end(self) -> None:
        """Guards against a next lease holder that does not wait for the order to end."""
        engine = OrderExecutingEngine(checks_fencing=False)
        reconciler = self._make_reconciler("a", engine)

        async def lose(order: Order) -> Result[None, Failure]:
            return Failed(Failure(ErrorKind.ENGINE_FAILED, "", ExecutionState.UNKNOWN))

        engine.on_order = lose
        self.assertFalse(await reconciler.reconcile())
        self.assertNotEqual(b"", self.store.values["leases/last/t"].value)
