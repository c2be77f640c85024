"""Tests that long prompts wait at the router for room, and for no longer than they may."""

import asyncio
import unittest
from dataclasses import replace
from unittest.mock import patch

from coltsfootfront.common.clock import SystemClock
from coltsfootfront.costs.promptcost import PromptCost
from coltsfootfront.direct.capacitywait import CapacityWait, NoCapacityError
from coltsfootfront.direct.directory import Target
from coltsfootfront.direct.requeststate import RequestState
from coltsfootfront.direct.routingconfig import Customer
from coltsfootfront.direct.targetselection import Placement
from coltsfootfront.scheduling.dispatchqueue import DispatchQueue
from coltsfootfront.tests.direct_support import make_entry, make_request, make_route

OBJECTIVE_S = 0.4
COST = PromptCost(0.0, 0.1, (1.0,))


class CapacityWaitTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.clock = SystemClock()
        self.queue = DispatchQueue(self.clock)
        self.wait = CapacityWait(self.clock, self.queue)
        self.begin_s = 5.0
        self.priority = 2
        self.placement = Placement(
            Target(make_entry("t1"), "east"), prefill_tokens=8000, expected_s=0.1, prompt_cost=COST
        )

    def _state(self, deadline_s: float = 10.0, customer: str = "c") -> RequestState:
        request = make_request(parts=(("p", 8000),), deadline_s=deadline_s)
        route = make_route(
            service="engines", is_stream=True, aim_s=OBJECTIVE_S, timeout_s=deadline_s
        )
        route = replace(route, priority=self.priority)
        return RequestState(request, route, "engines", Customer(customer), request.deadline_s)

    async def _choose(self, state: RequestState, wait_until_s: float) -> Placement:
        return replace(self.placement, begin_s=self.begin_s, expected_s=self.begin_s + 0.1)

    def _place(self, state: RequestState) -> "asyncio.Task[Placement]":
        wait_until_s = self.clock.monotonic_s() + 1.0
        return asyncio.create_task(self.wait.place(state, wait_until_s, self._choose))

    async def test_a_prompt_waits_until_a_target_has_room(self) -> None:
        """Guards against prompts that wait at an engine, where they cannot move any more."""
        placing = self._place(self._state())
        for _ in range(3):
            await asyncio.sleep(0.01)
            self.queue.start_interval()
        self.assertFalse(placing.done())
        self.begin_s = 0.0
        self.queue.start_interval()
        self.assertEqual((await placing).begin_s, 0.0)
        self.assertFalse(len(self.queue))

    async def test_a_prompt_does_not_overtake_those_that_wait(self) -> None:
        """Guards against new prompts taking the room that others have waited for."""
        first = self._place(self._state())
        await asyncio.sleep(0.01)
        self.begin_s = 0.0
        second = self._place(self._state())
        await asyncio.sleep(0.01)
        self.assertFalse(second.done())
        self.queue.start_interval()
        await asyncio.gather(first, second)

    async def test_a_prompt_is_sent_in_any_case_after_a_part_of_its_time(self) -> None:
        """Guards against starvation, and against holding a request until its caller has left."""
        placement = await asyncio.wait_for(self._place(self._state(deadline_s=0.3)), 1.0)
        self.assertEqual(placement.begin_s, self.begin_s)

    async def test_a_prompt_is_refused_at_once_if_it_cannot_be_sent_in_time(self) -> None:
        """Guards against holding a prompt that will not be served."""
        with (
            patch.object(DispatchQueue, "expected_wait_s", return_value=60.0),
            self.assertRaises(NoCapacityError) as refused,
        ):
            await self._place(self._state())
        self.assertEqual(refused.exception.room_after_s, 60.0)
        self.assertFalse(len(self.queue))

    async def test_a_caller_that_leaves_frees_its_place(self) -> None:
        """Guards against a queue that grows by requests whose callers have left."""
        placing = self._place(self._state())
        await asyncio.sleep(0.01)
        placing.cancel()
        await asyncio.gather(placing, return_exceptions=True)
        self.assertFalse(len(self.queue))

    async def test_prompts_of_the_most_urgent_route_are_not_held(self) -> None:
        """Guards against quick checks that wait at the router behind long prompts."""
        self.priority = 0
        self.assertEqual((await self._place(self._state())).begin_s, self.begin_s)

    async def test_a_prompt_without_a_first_event_in_time_is_refused_at_once(self) -> None:
        """Guards against sending what its caller will not wait for, which delays the others."""
        # Callers wait for two seconds, whatever their deadline is.
        for first_event_s, is_refused in ((1.8, False), (5.0, True)):
            with self.subTest(first_event_s):
                cost = PromptCost(1.0, first_event_s, (1.0,))
                self.placement = replace(self.placement, prompt_cost=cost)
                self.begin_s = 0.0
                placing = self._place(self._state(deadline_s=10.0))
                await asyncio.gather(placing, return_exceptions=True)
                error = placing.exception()
                self.assertEqual(isinstance(error, NoCapacityError), is_refused)
                if isinstance(error, NoCapacityError):
                    self.assertAlmostEqual(error.room_after_s, 1.0 - 0.25 * OBJECTIVE_S)

    async def test_a_prompt_that_has_waited_in_vain_is_refused(self) -> None:
        """Guards against sending a prompt after its wait although its caller will have left by its
        first event."""
        cost = PromptCost(1.0, 3.0, (1.0,))
        self.placement = replace(self.placement, prompt_cost=cost)
        placing = self._place(self._state(deadline_s=10.0))
        await asyncio.sleep(0.05)
        # Twice the two seconds that callers wait are left at first, and less after the wait.
        self.assertFalse(placing.done())
        with self.assertRaises(NoCapacityError):
            await asyncio.wait_for(placing, 2.0)
        self.assertFalse(len(self.queue))

    async def test_prompts_are_sent_at_once_where_their_cost_is_not_learned(self) -> None:
        """Guards against a change for deployments that do not call for holding."""
        self.placement = replace(self.placement, prompt_cost=None)
        placement = await self._place(self._state())
        self.assertEqual(placement.begin_s, self.begin_s)
