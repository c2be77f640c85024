"""Tests of what operators are told about where a request would go."""

import dataclasses
import json
import random
import unittest
from typing import Any

import aiohttp

from coltsfootfront.common.clock import SystemClock
from coltsfootfront.common.decoding import DecodingError
from coltsfootfront.common.settings import OperatorSettings
from coltsfootfront.costs.model import CostModel
from coltsfootfront.direct.cacheindex import CacheIndex
from coltsfootfront.direct.cacheplanner import CachePlanner
from coltsfootfront.direct.callerrequest import PromptPart
from coltsfootfront.direct.capacitywait import CapacityWait
from coltsfootfront.direct.directory import Directory, Target
from coltsfootfront.direct.explanation import Explainer, Occupancy
from coltsfootfront.direct.limits import TargetLimit
from coltsfootfront.direct.prefillrate import PrefillRates
from coltsfootfront.direct.question import Question, decode_question
from coltsfootfront.direct.routingconfig import RetryPolicy
from coltsfootfront.direct.stopping import StopSchedule
from coltsfootfront.direct.targetselection import PlainTargetSelector, PromptTargetSelector
from coltsfootfront.direct.versions import WeightVersions
from coltsfootfront.operation import cli
from coltsfootfront.scheduling.dispatchqueue import DispatchQueue
from coltsfootfront.tests.direct_support import (
    MODEL,
    REGIONS,
    make_config,
    make_entry,
    make_request,
    make_route,
)
from coltsfootfront.tests.support import ManualClock
from coltsfootfront_dev.platformfleet import API_KEY, CUSTOMER, HOST
from coltsfootfront_dev.rawseries import RawHarness

PARTS = (PromptPart("std", 500), PromptPart("doc", 5000), PromptPart("own", 100))
PROMPT = Question("h", "/prompt/x", "customer", MODEL, 5600, 10, PARTS)
PLAIN = Question("h", "/plain/x", "customer")


class _Quarantine:
    """Holds requests with one part back."""

    def quarantined_for_s(self, parts: tuple[str, ...]) -> float | None:
        return 3.0 if "deadly" in parts else None


class ExplainerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.directory = Directory(self.clock, REGIONS)
        self.cache_index = CacheIndex(self.clock)
        versions = WeightVersions(self.clock, self.directory, 10.0, 4.0)
        planner = CachePlanner(self.clock, REGIONS, self.cache_index, versions)
        self.versions = versions
        self.generator = random.Random(1)
        self.costs = CostModel()
        self.prompt = PromptTargetSelector(
            self.clock, "east", planner, versions, PrefillRates(), self.costs
        )
        self.config = make_config(
            make_route(),
            make_route("/prompt/", "engines", RetryPolicy.RESUMABLE, is_stream=True),
        )
        for customer in self.config.customers_by_key.values():
            self.config.customers[customer.name] = customer
        self.occupancy = Occupancy(0, 100, StopSchedule())
        self.recorded_builds = {"v1"}
        self.queue = DispatchQueue(self.clock)
        self.quota: dict[str, Any] = {"left_tokens": 5, "is_used_up": False}
        self.explainer = Explainer(
            self.clock,
            self.directory,
            PlainTargetSelector(self.clock, "a", "east", self.generator, self.costs),
            self.prompt,
            versions,
            _Quarantine(),  # type: ignore[arg-type]
            lambda: self.config,
            lambda: self.occupancy,
            lambda service, build: build in self.recorded_builds,
            CapacityWait(self.clock, self.queue),
            lambda customer: self.quota if customer.name == "customer" else None,
        )
        for number in range(3):
            self.directory.put(make_entry(f"e{number}", data_centre="ab"[number % 2]))
            self.directory.put(make_entry(f"p{number}", "plain", "abc"[number]))

    def _explain(self, question: Question) -> dict[str, Any]:
        answer = self.explainer.explain(question)
        # Operators get it as JSON.
        found: dict[str, Any] = json.loads(json.dumps(answer, allow_nan=False))
        return found

    def _service(self, question: Question) -> dict[str, Any]:
        (service,) = self._explain(question)["services"]
        return dict(service)

    def _target(self, name: str) -> Target:
        target = self.directory.get(name)
        assert target is not None
        return target

    def _passed_over(self, question: Question, name: str) -> list[str]:
        candidates = self._service(question)["candidates"]
        (found,) = (item["passed_over"] for item in candidates if item["name"] == name)
        return list(found)

    def test_prompt_goes_where_the_selector_would_send_it(self) -> None:
        """Guards against an explanation that names another target than the router would choose."""
        self._target("e0").backlog.add(0, 5.0, self.clock.monotonic_s())
        service = self._service(PROMPT)
        request = make_request("/prompt/x", parts=tuple((part.key, part.tokens) for part in PARTS))
        choice = self.prompt.choose(
            request, "", self.directory.of_service("engines"), 0.0, None, (), 0
        )
        assert choice is not None
        self.assertEqual(choice.target.name, service["target"])  # type: ignore[union-attr]
        self.assertNotEqual("e0", service["target"])
        estimates = {item["name"]: item["estimate"] for item in service["candidates"]}
        least = min(estimates, key=lambda name: float(estimates[name]["expected_s"]))
        self.assertEqual(service["target"], least)
        self.assertGreater(estimates["e0"]["begin_s"], 4.0)
        (backlog_s,) = (item["backlog_s"] for item in service["candidates"] if item["name"] == "e0")
        self.assertAlmostEqual(5.0, backlog_s)

    def test_plain_request(self) -> None:
        """Guards against an explanation without the load that decides."""
        self._target("p0").in_flight = 4
        service = self._service(PLAIN)
        self.assertEqual("p1", service["target"])
        costs = [item["estimate"]["cost"] for item in service["candidates"]]
        self.assertEqual(min(costs), costs[1])
        self.assertEqual([4, 0, 0], [item["in_flight"] for item in service["candidates"]])

    def test_why_targets_are_passed_over(self) -> None:
        """Guards against a target that gets nothing, and an operator who isn't told why."""
        now_s = self.clock.monotonic_s()

        def limit(target: Target) -> None:
            target.limit = TargetLimit(2.0, now_s, now_s, "test", blocked_until_s=now_s + 2)

        cases: tuple[tuple[str, Any], ...] = (
            ("is draining", lambda target: setattr(target, "has_announced_drain", True)),
            ("another target answers", lambda target: setattr(target, "is_replaced", True)),
            ("no requests for 2.00 s", lambda target: target.pause(2.0, now_s)),
            ("limit admits no request for 2.00 s", limit),
            ("is suspended", lambda target: setattr(target, "suspended_until_s", now_s + 1)),
            ("just rejected", lambda target: target.record_rejection(now_s)),
            ("unreachable", lambda target: setattr(target, "is_unreachable", True)),
            ("disappeared", lambda target: setattr(target, "missing_since_s", now_s)),
            ("fails too often", lambda target: self._fail(target, now_s)),
        )
        for question, prefix in ((PROMPT, "e"), (PLAIN, "p")):
            for reason, change in cases:
                self.directory.put(make_entry(f"{prefix}0", _service(prefix), started_ms=2))
                self.directory.put(make_entry(f"{prefix}0", _service(prefix), started_ms=1))
                with self.subTest(prefix=prefix, reason=reason):
                    self.assertEqual([], self._passed_over(question, f"{prefix}0"))
                    change(self._target(f"{prefix}0"))
                    found = self._passed_over(question, f"{prefix}0")
                    self.assertEqual(1, len(found), found)
                    self.assertIn(reason, found[0])
                    self.assertNotEqual(f"{prefix}0", self._service(question)["target"])

    def _fail(self, target: Target, now_s: float) -> None:
        for _ in range(6):
            target.record_failure(now_s, is_unanswered=False)

    def test_loading_weights_and_versions(self) -> None:
        """Guards against engines that are left out for their weights without a word."""
        chosen = str(self._service(PROMPT)["target"])
        self._target(chosen).loading_until_s = self.clock.monotonic_s() + 5
        self.assertIn("is loading weights for 5.00 s", self._passed_over(PROMPT, chosen))
        self.assertNotEqual(chosen, self._service(PROMPT)["target"])
        self._target("e0").versions.clear()
        self.assertIn("does not have the model", self._passed_over(PROMPT, "e0"))
        self.versions.record_published(MODEL, 2, self.clock.monotonic_s() - 60)
        self.assertIn("has weights that are too old", self._passed_over(PROMPT, "e1"))
        self.assertIsNotNone(self._explain(PROMPT)["refusal"])

    def test_unrecorded_software(self) -> None:
        """Guards against a stream that would go elsewhere than the explanation says."""
        self.assertEqual([], self._passed_over(PROMPT, "e0"))
        self.directory.put(make_entry("e9", started_ms=1))
        self._target("e9").entry = dataclasses.replace(self._target("e9").entry, build="v2")
        self.assertIn("not recorded", self._passed_over(PROMPT, "e9")[0])
        self.recorded_builds.clear()
        self.assertEqual([], self._passed_over(PROMPT, "e9"))

    def test_refusals(self) -> None:
        """Guards against an explanation of a placement for a request that would be refused."""
        self.assertIsNone(self._explain(PROMPT)["refusal"])
        self.assertIsNone(self._explain(PLAIN)["refusal"])
        deadly = (PromptPart("deadly", 10), PromptPart("own", 10))
        stop = StopSchedule(self.clock.monotonic_s() + 0.1)
        cases = (
            (Question("h", "/absent"), self.occupancy, "no route"),
            (Question("h", "/plain/x", "other"), self.occupancy, "unknown customer"),
            (Question("h", "/plain/x"), self.occupancy, "API key"),
            (PLAIN, Occupancy(100, 100, StopSchedule()), "100 requests are under way"),
            (PLAIN, Occupancy(0, 100, stop), "stopping"),
            (
                Question("h", "/prompt/x", "customer", MODEL, 20, 0, deadly),
                self.occupancy,
                "crashed",
            ),
        )
        for question, occupancy, reason in cases:
            self.occupancy = occupancy
            with self.subTest(reason):
                self.assertIn(reason, self._explain(question)["refusal"])
        self.occupancy = Occupancy(0, 100, StopSchedule())
        for target in self.directory.all():
            target.has_announced_drain = True
        self.assertIn("no target", self._explain(PLAIN)["refusal"])
        self.config.number = 0
        self.assertIn("no configuration", self._explain(PLAIN)["refusal"])

    def test_it_has_no_effect(self) -> None:
        """Guards against an explanation that changes where the next requests go."""

        def state() -> str:
            targets = sorted(self.directory.all(), key=lambda target: target.name)
            waits_s = [target.backlog.wait_s(0, self.clock.monotonic_s()) for target in targets]
            parts = list(self.cache_index.all_locations())
            return repr((targets, waits_s, parts, self.generator.getstate()))

        self._target("e0").backlog.add(0, 5.0, self.clock.monotonic_s())
        self.cache_index.record_use(f"{MODEL}:1:", "std", "e1")
        before = state().replace(" object at ", "")
        for question in (PROMPT, PLAIN, Question("h", "/absent")):
            self._explain(question)
        self.assertEqual(before, state().replace(" object at ", ""))

    def test_customer_and_keys(self) -> None:
        """Guards against API keys in an explanation, and a quota that is left out."""
        answer = self._explain(PLAIN)
        self.assertEqual(self.quota, answer["customer"]["quota"])
        self.assertEqual("customer", answer["customer"]["name"])
        self.assertNotIn('"key"', json.dumps(answer))

    def test_quota_that_is_used_up(self) -> None:
        """Guards against an explanation of a placement for a request above its customer's quota."""
        self.quota["is_used_up"] = True
        self.assertIn("quota", self._explain(PLAIN)["refusal"])

    def test_placement_by_cost(self) -> None:
        """Guards against an explanation without the estimates and the work that decide."""
        self.costs.has_quotas = True
        for number in range(3):
            self._target(f"e{number}").pending.add(0, 50_000 * number)
        service = self._service(PROMPT)
        self.assertEqual("e0", service["target"])
        first, _, last = service["candidates"]
        self.assertLess(first["estimate"]["estimate_s"], last["estimate"]["estimate_s"])
        self.assertEqual([0, 100_000], [item["pending_tokens"] for item in (first, last)])
        self.assertIn("expected_s", self._service(PLAIN)["candidates"][0]["estimate"])

    def test_prompt_that_would_wait_or_be_refused_for_want_of_capacity(self) -> None:
        """Guards against a target that is named for a prompt which is not sent to it now, and
        against a wait that is told as a refusal."""
        self.costs.has_quotas = True
        route = make_route("/prompt/", "engines", RetryPolicy.RESUMABLE, is_stream=True)
        self.config = make_config(dataclasses.replace(route, priority=1))
        for customer in self.config.customers_by_key.values():
            self.config.customers[customer.name] = customer
        for tokens, is_refused in ((60_000, False), (1_000_000, True)):
            for number in range(3):
                self._target(f"e{number}").pending.add(0, tokens)
            answer = self._explain(PROMPT)
            (service,) = answer["services"]
            with self.subTest(tokens):
                self.assertEqual((None, is_refused), (service["target"], service["is_refused"]))
                self.assertEqual(is_refused, answer["refusal"] is not None)
                self.assertIn("room" if is_refused else "waits at this router", service["reason"])
        self.assertFalse(len(self.queue))

    def test_prompt_that_waits_for_weights(self) -> None:
        """Guards against a short wait that is told as a refusal."""
        for number in range(3):
            self._target(f"e{number}").loading_until_s = self.clock.monotonic_s() + 0.01
        answer = self._explain(PROMPT)
        self.assertIsNone(answer["refusal"])
        (service,) = answer["services"]
        self.assertIn("for weights", service["reason"])
        self.assertIsNotNone(service["target"])

    def test_route_without_keys(self) -> None:
        """Guards against priority and quota of a customer whom the router cannot know."""
        self.config.requires_keys = False
        answer = self._explain(PLAIN)
        self.assertEqual((None, None), (answer["customer"], answer["refusal"]))
        self.assertIsNone(self._explain(Question("h", "/plain/x", "other"))["refusal"])

    def test_malformed_questions(self) -> None:
        """Guards against an unexpected error for a question that cannot be read."""
        for data in (
            b"",
            b"[]",
            b"{}",
            b'{"host": "h"}',
            b'{"host": 1, "path": "/"}',
            b'{"host": "h", "path": "/", "parts": [["a"]]}',
            b'{"host": "h", "path": "/", "parts": [["a", -1]]}',
            b'{"host": "h", "path": "/", "parts": 3}',
            b'{"host": "h", "path": "/", "prompt_tokens": "many"}',
            json.dumps({"host": "h", "path": "/", "parts": [["a", 1]] * 1001}).encode(),
        ):
            with self.subTest(data[:60]), self.assertRaises(DecodingError):
                decode_question(data)
        question = decode_question(b'{"host": "h", "path": "/", "parts": [["a", 3], ["b", 4]]}')
        self.assertEqual(7, question.prompt_tokens)


class ExplainCommandTest(unittest.IsolatedAsyncioTestCase):
    """The operator's command against a router over loopback."""

    async def asyncSetUp(self) -> None:
        self.harness = RawHarness(1)
        await self.harness.start()
        settings = self.harness.node._settings
        self.router = f"{settings.ip}:{settings.metrics_port}"
        self.operator = OperatorSettings("http://127.0.0.1:9", "duty", "secret", 5.0)

    async def asyncTearDown(self) -> None:
        await self.harness.close()

    async def _run(self, **fields: Any) -> dict[str, Any]:
        command = cli.Explain(router=self.router, host=HOST, **fields)
        (text,) = await cli.run(command, self.operator, SystemClock())
        self.assertNotIn(API_KEY, text)
        answer: dict[str, Any] = json.loads(text)
        return answer

    async def test_command(self) -> None:
        """Guards against a command that a router does not understand, and one that sends."""
        answer = await self._run(path="/file/a", customer=CUSTOMER)
        self.assertEqual(["p0"], [service["target"] for service in answer["services"]])
        answer = await self._run(
            path="/ask/a", customer=CUSTOMER, model="m", part=["std:500", "own:20"]
        )
        (service,) = answer["services"]
        self.assertEqual("e0", service["target"])
        self.assertEqual(520, service["candidates"][0]["estimate"]["prefill_tokens"])
        self.assertIn("API key", (await self._run(path="/file/a"))["refusal"])
        self.assertEqual({}, self.harness.book.arrivals)

    async def test_faulty_questions(self) -> None:
        """Guards against errors that do not say what is wrong."""
        with self.assertRaisesRegex(cli.CommandError, "bad_request.*question"):
            await self._run(path="/file/a", prompt_tokens=-1)
        with self.assertRaisesRegex(cli.CommandError, "KEY:TOKENS"):
            await self._run(path="/file/a", part=["std"])
        with self.assertRaisesRegex(cli.CommandError, "--customer and --model"):
            await cli.run(cli.Explain(), self.operator, SystemClock())

    async def test_other_paths_give_the_metrics(self) -> None:
        """Guards against metrics that are gone from their address."""
        for path in ("/metrics", "/"):
            async with (
                aiohttp.ClientSession() as session,
                session.get(f"http://{self.router}{path}") as response,
            ):
                self.assertIn("coltsfootfront_requests_total", await response.text())


def _service(prefix: str) -> str:
    return "engines" if prefix == "e" else "plain"
