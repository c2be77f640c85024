"""Tests of admission."""

import unittest
from typing import Any

from returns.result import Success

from coltsfootfront.configuration.activeconfiguration import ActiveConfiguration
from coltsfootfront.targets.drain import Drain
from coltsfootfront.targets.engine import EngineState
from coltsfootfront.targets.fairqueue import FairQueue
from coltsfootfront.targets.admission import Ask, AdmissionController
from coltsfootfront.tests.support import ManualClock, make_configuration, single_target_document, install_document

OK = Ask("small", "", "m", "", "v1")


def make_admission_controller(revision: ActiveConfiguration, clock: ManualClock, max_queued: int = 8) -> AdmissionController:
    """Gate of target ``t`` whose engine runs what the document wants."""
    drain = Drain("t", "127.0.0.1:1", revision, clock)
    gate = AdmissionController("t", revision, drain, FairQueue(clock), clock, max_queued)
    gate.reachable = True
    gate.engine_state = EngineState("e1", {"m": ("v1", ("a",))})
    return gate


class GateTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()

    def _judge(self, gate: AdmissionController, ask: Ask, deadline_s: float = 60.0) -> str:
        judged = gate.admit(ask, self.clock.unix_s() + deadline_s)
        return "ok" if isinstance(judged, Success) else judged.failure().kind.value

    async def test_terms_and_versions(self) -> None:
        """Guards against serving anyone or any version that the owner did not agree to."""
        cases: list[tuple[str, dict[str, Any], Ask, str]] = [
            ("allowed", {}, OK, "ok"),
            ("allowed adapter", {}, Ask("small", "", "m", "a", "v1"), "ok"),
            ("customer without terms", {}, Ask("stranger", "", "m", "", "v1"), "forbidden"),
            ("unknown customer", {}, Ask("nobody", "", "m", "", "v1"), "forbidden"),
            ("model not in terms", {"models": []}, OK, "forbidden"),
            ("adapter not in terms", {"adapters": []}, Ask("small", "", "m", "a"), "forbidden"),
            ("version not in terms", {"versions": ["v2"]}, OK, "forbidden"),
            ("terms of another owner", {"owner": "other"}, OK, "forbidden"),
            (
                "router expects another version",
                {},
                Ask("small", "", "m", "", "v0"),
                "wrong_version",
            ),
            ("withdrawn", {"target": {"withdrawn": True}}, OK, "target_withdrawn"),
            ("call", {"kind": "service"}, Ask("small", "s", method="POST", path="/x"), "ok"),
            (
                "call that may not be repeated",
                {"kind": "service"},
                Ask("small", "s", method="POST", path="/x", idempotent=True),
                "stale_revision",
            ),
            ("another service", {"kind": "service"}, Ask("small", "z"), "forbidden"),
            ("model of a service", {"kind": "service"}, OK, "forbidden"),
            ("call to an engine", {}, Ask("small", "s"), "forbidden"),
            ("kept cache", {"kind": "kept_cache"}, Ask("small", "s"), "forbidden"),
        ]
        for name, change, ask, expected in cases:
            with self.subTest(name):
                gate = make_admission_controller(make_configuration(single_target_document(**change)), self.clock)
                self.assertEqual(expected, self._judge(gate, ask))

    async def test_the_engines_present_state_decides(self) -> None:
        """Guards against reliance on the document while the engine runs something else."""
        reports = {
            "older weights": (EngineState("e1", {"m": ("v0", ("a",))}), "wrong_version"),
            "model not loaded": (EngineState("e1", {}), "wrong_version"),
            "adapter not loaded": (EngineState("e1", {"m": ("v1", ())}), "wrong_version"),
            "other role": (EngineState("e1", {"m": ("v1", ("a",))}, "prefill"), "target_withdrawn"),
            "no report": (None, "target_unreachable"),
        }
        for name, (report, expected) in reports.items():
            with self.subTest(name):
                gate = make_admission_controller(make_configuration(single_target_document()), self.clock)
                gate.engine_state = report
                self.assertEqual(expected, self._judge(gate, Ask("small", "", "m", "a", "v1")))

    async def test_states_without_admission(self) -> None:
        """Guards against work for a target that leaves, is paused or has no configuration."""
        gate = make_admission_controller(ActiveConfiguration(), self.clock)
        self.assertEqual("stale_revision", self._judge(gate, OK))
        gate = make_admission_controller(make_configuration(single_target_document()), self.clock)
        gate.settled = False
        self.assertEqual("ok", self._judge(gate, OK), "a probe is answered")
        self.assertEqual("stale_revision", gate.confirm(OK).failure().kind.value)
        gate.settled, gate.reachable = True, False
        self.assertEqual("target_unreachable", self._judge(gate, OK))

    async def test_a_change_of_terms_holds_for_waiting_requests(self) -> None:
        """Guards against forwarding a request whose terms ended while it waited."""
        revision = make_configuration(single_target_document())
        gate = make_admission_controller(revision, self.clock)
        self.assertIsInstance(gate.confirm(OK), Success)
        install_document(revision, 2, single_target_document(customers=["large"]))
        self.assertEqual("forbidden", gate.confirm(OK).failure().kind.value)

    async def test_limits_and_deadline(self) -> None:
        """Guards against requests that are held until near their deadline."""
        gate = make_admission_controller(make_configuration(single_target_document()), self.clock)
        grant = gate.admit(OK, self.clock.unix_s() + 60).unwrap()
        share = gate.share("small", grant)
        for _ in range(4):
            gate._queue.enter(share)
        self.assertEqual("ok", self._judge(gate, OK, 60))
        self.assertEqual("overloaded", self._judge(gate, OK, 0.5))
        self.assertEqual("deadline_exceeded", self._judge(gate, OK, -1))
        gate._queue.enter(share)
        gate._queue.enter(share)
        refusal = gate.admit(OK, self.clock.unix_s() + 60).failure()
        self.assertEqual("overloaded", refusal.kind.value, "max_queued of the customer")
        self.assertGreater(refusal.effective_retry_after_s or 0, 0.5, "Retry-After follows the queue")
        large = Ask("large", "", "m", "", "v1")
        for _ in range(4):
            gate._queue.enter(gate.share("large", grant))
        self.assertEqual("overloaded", self._judge(gate, large), "max_queued of the agent")
