"""Tests of admission control."""

import unittest
from typing import Any

from returns.result import Success

from coltsfootfront.configuration.activeconfiguration import ActiveConfiguration
from coltsfootfront.targets.admission import AdmissionController, AdmissionRequest
from coltsfootfront.targets.drain import DrainState
from coltsfootfront.targets.engine import EngineState
from coltsfootfront.targets.fairqueue import FairQueue
from coltsfootfront.tests.support import (
    ManualClock,
    install_document,
    make_configuration,
    single_target_document,
)

ALLOWED_REQUEST = AdmissionRequest("small", "", "m", "", "v1")


def make_admission_controller(
    configuration: ActiveConfiguration, clock: ManualClock, max_queued: int = 8
) -> AdmissionController:
    """Create the admission controller of target ``t``, whose engine matches the document."""
    drain = DrainState("t", "127.0.0.1:1", configuration, clock)
    admission = AdmissionController("t", configuration, drain, FairQueue(clock), clock, max_queued)
    admission.reachable = True
    admission.engine_state = EngineState("e1", {"m": ("v1", ("a",))})
    return admission


class AdmissionTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()

    def _admit(
        self, admission: AdmissionController, request: AdmissionRequest, deadline_s: float = 60.0
    ) -> str:
        decision = admission.admit(request, self.clock.unix_s() + deadline_s)
        return "ok" if isinstance(decision, Success) else decision.failure().kind.value

    async def test_terms_and_versions(self) -> None:
        """Guards against serving customers or versions that no terms allow."""
        cases: list[tuple[str, dict[str, Any], AdmissionRequest, str]] = [
            ("allowed", {}, ALLOWED_REQUEST, "ok"),
            ("allowed adapter", {}, AdmissionRequest("small", "", "m", "a", "v1"), "ok"),
            (
                "customer without terms",
                {},
                AdmissionRequest("stranger", "", "m", "", "v1"),
                "forbidden",
            ),
            ("unknown customer", {}, AdmissionRequest("nobody", "", "m", "", "v1"), "forbidden"),
            ("model not in terms", {"models": []}, ALLOWED_REQUEST, "forbidden"),
            (
                "adapter not in terms",
                {"adapters": []},
                AdmissionRequest("small", "", "m", "a"),
                "forbidden",
            ),
            ("version not in terms", {"versions": ["v2"]}, ALLOWED_REQUEST, "forbidden"),
            ("terms of another owner", {"owner": "other"}, ALLOWED_REQUEST, "forbidden"),
            (
                "router expects another version",
                {},
                AdmissionRequest("small", "", "m", "", "v0"),
                "wrong_version",
            ),
            ("withdrawn", {"target": {"withdrawn": True}}, ALLOWED_REQUEST, "target_withdrawn"),
            (
                "call",
                {"kind": "service"},
                AdmissionRequest("small", "s", method="POST", path="/x"),
                "ok",
            ),
            (
                "call that may not be repeated",
                {"kind": "service"},
                AdmissionRequest("small", "s", method="POST", path="/x", idempotent=True),
                "stale_revision",
            ),
            ("another service", {"kind": "service"}, AdmissionRequest("small", "z"), "forbidden"),
            ("model of a service", {"kind": "service"}, ALLOWED_REQUEST, "forbidden"),
            ("call to an engine", {}, AdmissionRequest("small", "s"), "forbidden"),
            ("kept cache", {"kind": "kept_cache"}, AdmissionRequest("small", "s"), "forbidden"),
        ]
        for name, change, request, expected in cases:
            with self.subTest(name):
                admission = make_admission_controller(
                    make_configuration(single_target_document(**change)), self.clock
                )
                self.assertEqual(expected, self._admit(admission, request))

    async def test_reported_engine_state_decides(self) -> None:
        """Guards against admission by the document while the engine's report differs from it."""
        reports = {
            "older weights": (EngineState("e1", {"m": ("v0", ("a",))}), "wrong_version"),
            "model not loaded": (EngineState("e1", {}), "wrong_version"),
            "adapter not loaded": (EngineState("e1", {"m": ("v1", ())}), "wrong_version"),
            "other role": (EngineState("e1", {"m": ("v1", ("a",))}, "prefill"), "target_withdrawn"),
            "no report": (None, "target_unreachable"),
        }
        for name, (report, expected) in reports.items():
            with self.subTest(name):
                admission = make_admission_controller(
                    make_configuration(single_target_document()), self.clock
                )
                admission.engine_state = report
                self.assertEqual(
                    expected, self._admit(admission, AdmissionRequest("small", "", "m", "a", "v1"))
                )

    async def test_states_without_admission(self) -> None:
        """Guards against requests to an unreachable or unconfigured target, or after a pause."""
        admission = make_admission_controller(ActiveConfiguration(), self.clock)
        self.assertEqual("stale_revision", self._admit(admission, ALLOWED_REQUEST))
        admission = make_admission_controller(
            make_configuration(single_target_document()), self.clock
        )
        admission.revision_checked = False
        self.assertEqual("ok", self._admit(admission, ALLOWED_REQUEST), "a probe gets a reply")
        self.assertEqual("stale_revision", admission.recheck(ALLOWED_REQUEST).failure().kind.value)
        admission.revision_checked, admission.reachable = True, False
        self.assertEqual("target_unreachable", self._admit(admission, ALLOWED_REQUEST))

    async def test_change_of_terms_applies_to_waiting_requests(self) -> None:
        """Guards against forwarding a request whose terms ended while it waited."""
        configuration = make_configuration(single_target_document())
        admission = make_admission_controller(configuration, self.clock)
        self.assertIsInstance(admission.recheck(ALLOWED_REQUEST), Success)
        install_document(configuration, 2, single_target_document(customers=["large"]))
        self.assertEqual("forbidden", admission.recheck(ALLOWED_REQUEST).failure().kind.value)

    async def test_limits_and_deadline(self) -> None:
        """Guards against requests that wait until just before their deadline."""
        admission = make_admission_controller(
            make_configuration(single_target_document()), self.clock
        )
        grant = admission.admit(ALLOWED_REQUEST, self.clock.unix_s() + 60).unwrap()
        params = admission.scheduling_params("small", grant)
        for _ in range(4):
            admission._queue.enqueue(params)
        self.assertEqual("ok", self._admit(admission, ALLOWED_REQUEST, 60))
        self.assertEqual("overloaded", self._admit(admission, ALLOWED_REQUEST, 0.5))
        self.assertEqual("deadline_exceeded", self._admit(admission, ALLOWED_REQUEST, -1))
        admission._queue.enqueue(params)
        admission._queue.enqueue(params)
        refusal = admission.admit(ALLOWED_REQUEST, self.clock.unix_s() + 60).failure()
        self.assertEqual("overloaded", refusal.kind.value, "max_queued of the customer")
        self.assertGreater(
            refusal.effective_retry_after_s or 0, 0.5, "Retry-After is the estimated wait"
        )
        large = AdmissionRequest("large", "", "m", "", "v1")
        for _ in range(4):
            admission._queue.enqueue(admission.scheduling_params("large", grant))
        self.assertEqual("overloaded", self._admit(admission, large), "max_queued of the agent")
