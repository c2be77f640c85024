"""Tests of orders."""

import asyncio
import unittest
from collections.abc import Callable

from returns.result import Failure as Failed
from returns.result import Result, Success

from coltsfootfront.common.errors import ErrorKind, Failure, ExecutionState
from coltsfootfront.configuration.document import LoadedModel, Target
from coltsfootfront.keyvalue.leases import LoadSlots, TargetLease
from coltsfootfront.targets.engine import EngineState, Order
from coltsfootfront.targets.reconciler import TargetReconciler, next_order
from coltsfootfront.tests.support import (
    FakeEngine,
    ManualClock,
    InMemoryStore,
    make_configuration,
    single_target_document,
    install_document,
    run_ready_tasks,
)
from coltsfootfront.tests.test_admission import make_admission_controller


class NextOrderTest(unittest.TestCase):
    def test_differences(self) -> None:
        """Guards against a wrong order, or one that is repeated for ever."""
        wanted = Target("o", "s", "d", "a:1", models=[LoadedModel("m", "v2", ["a", "b"])])
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
                self.assertEqual(expected, next_order(wanted, state))


class Loader(FakeEngine):
    """Engine that obeys; one that checks the fencing number refuses old ones."""

    def __init__(self, checks_fencing: bool) -> None:
        super().__init__()
        self.reported_state = EngineState("e1", {"m": ("v0", ("a",))})
        self.on_order = self._obey
        self.highest = 0
        self.checks_fencing = checks_fencing
        self.before: Callable[[Order], None] = lambda order: None

    async def _obey(self, order: Order) -> Result[None, Failure]:
        self.before(order)
        if self.checks_fencing and order.fencing < self.highest:
            return Failed(Failure(ErrorKind.FENCED, "old number"))
        self.highest = max(self.highest, order.fencing)
        self.reported_state = EngineState("e1", {"m": (order.version, ("a",))})
        return Success(None)


class OrdersTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.store = InMemoryStore(self.clock)

    def _agent(self, name: str, engine: Loader) -> TargetReconciler:
        target = {"checks_fencing": engine.checks_fencing}
        self.revision = make_configuration(single_target_document(target=target))
        gate = make_admission_controller(self.revision, self.clock)
        gate.engine_state = engine.reported_state
        self.lease = TargetLease(self.store, self.clock, "t", name, 10.0, 5.0)
        slots = LoadSlots(self.store, self.clock, 20.0)
        return TargetReconciler(gate, engine, self.lease, slots, self.clock, "t", 5.0)

    async def test_the_documents_state_is_reached(self) -> None:
        """Guards against orders without lease, fencing number or slot, and against leftovers."""
        engine = Loader(checks_fencing=True)
        slots: list[int] = []
        engine.before = lambda order: slots.append(
            sum(key.startswith("leases/load/") for key in self.store.values)
        )
        self.assertTrue(await self._agent("a", engine).settle())
        self.assertEqual("v1", engine.reported_state.models["m"][0])
        self.assertEqual([1], slots)
        self.assertGreater(engine.orders[0].fencing, 0)
        self.assertEqual(["leases/last/t"], list(self.store.values))

    async def test_no_order(self) -> None:
        """Guards against orders while they must not be given."""
        engine = Loader(checks_fencing=False)
        orders = self._agent("a", engine)
        self.store.mode = "down"
        self.assertFalse(await orders.settle())
        self.store.mode = "ok"
        slots = [LoadSlots(self.store, self.clock, 20.0) for _ in range(2)]
        held = [(await item.acquire()).unwrap() for item in slots]
        self.assertFalse(await orders.settle(), "no load slot is free")
        for slot in held:
            assert slot is not None
            await slot.release()
        install_document(self.revision, 2, single_target_document(target={"withdrawn": True}))
        self.assertTrue(await orders.settle())
        self.assertEqual([], engine.orders)

    async def test_an_old_holder_wakes_up(self) -> None:
        """Guards against an order of an agent that was stopped while it held the lease."""
        for checks_fencing in (True, False):
            with self.subTest(checks_fencing=checks_fencing):
                self.setUp()
                engine = Loader(checks_fencing)
                old = self._agent("old", engine)
                old_lease = self.lease
                self.assertTrue((await old_lease.acquire(checks_fencing)).unwrap())
                self.clock.advance(11)
                new = self._agent("new", engine)
                settling = asyncio.create_task(new.settle())
                for _ in range(10):
                    await run_ready_tasks()
                    self.clock.advance(2.0)
                self.assertTrue(await asyncio.wait_for(settling, 1.0))
                given = len(engine.orders)
                refused = await old._send(Order("load", "m", "v0"))
                self.assertEqual("fenced", refused.failure().kind.value)
                self.assertEqual(given, len(engine.orders), "its own clock shows the pause")
                old_lease._lock._valid_until_s = self.clock.monotonic_s() + 100
                old_lease._lock._lease = 1
                delayed = await old._send(Order("load", "m", "v0"))
                # A pause between the last check and the order itself: only the target can
                # refuse it. On others the new holder's next comparison puts it right.
                self.assertEqual(checks_fencing, isinstance(delayed, Failed))
                new._admission.engine_state = engine.reported_state
                self.assertTrue(await new.settle())
                self.assertEqual("v1", engine.reported_state.models["m"][0])

    async def test_an_order_without_answer_is_not_a_clean_end(self) -> None:
        """Guards against a successor that does not wait for it."""
        engine = Loader(checks_fencing=False)
        orders = self._agent("a", engine)

        async def lose(order: Order) -> Result[None, Failure]:
            return Failed(Failure(ErrorKind.ENGINE_FAILED, "", ExecutionState.UNKNOWN))

        engine.on_order = lose
        self.assertFalse(await orders.settle())
        self.assertNotEqual(b"", self.store.values["leases/last/t"].value)
