"""Tests of the drain state and the pause detector."""

import unittest

from coltsfootfront.common.pause import PauseDetector
from coltsfootfront.peers.vmlist import STATE_LEAVING, STATE_LIVE, Vm
from coltsfootfront.targets.drain import DrainSource, DrainState
from coltsfootfront.tests.support import (
    ManualClock,
    install_document,
    make_configuration,
    single_target_document,
)

WITHDRAWN = single_target_document(target={"withdrawn": True})


class DrainTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.configuration = make_configuration(single_target_document())
        self.drain = DrainState("t", "10.0.0.1:1", self.configuration, self.clock)

    def _record_vm_state(self, state: str, name: str = "t", address: str = "10.0.0.9:1") -> None:
        self.drain.record_vms([Vm(name, "target", "d", address, state)])

    def _refusal_kind(self) -> str | None:
        failure = self.drain.failure()
        return None if failure is None else failure.kind.value

    def test_each_source(self) -> None:
        """Guards against a source without effect, and against a drain that does not end."""
        self.assertIsNone(self._refusal_kind())
        install_document(self.configuration, 2, WITHDRAWN)
        self.assertEqual("target_withdrawn", self._refusal_kind())
        install_document(self.configuration, 3, single_target_document())
        self.assertIsNone(self._refusal_kind(), "the operator ended the withdrawal")
        install_document(self.configuration, 4, {})
        self.assertEqual(
            "target_withdrawn", self._refusal_kind(), "the target is no longer in the document"
        )
        install_document(self.configuration, 5, single_target_document())
        for name, address in (("t", "10.0.0.9:1"), ("other", "10.0.0.1:1")):
            self._record_vm_state(STATE_LEAVING, name, address)
            self.assertEqual("target_leaving", self._refusal_kind())
            self._record_vm_state(STATE_LIVE, name, address)
            self.assertIsNone(self._refusal_kind())
        self._record_vm_state(STATE_LEAVING, "other")
        self.assertIsNone(self._refusal_kind(), "the list names another VM")
        self.drain.record_stop_signal()
        self._record_vm_state(STATE_LIVE)
        self.assertEqual(
            "target_leaving", self._refusal_kind(), "a stop signal cannot be withdrawn"
        )

    def test_the_earliest_takes_effect(self) -> None:
        """Guards against a later source that resets the start of the drain."""
        self._record_vm_state(STATE_LEAVING)
        first_s = self.drain.since_s
        self.clock.advance(1)
        self.drain.record_stop_signal()
        install_document(self.configuration, 2, WITHDRAWN)
        self.assertEqual((DrainSource.VM_LIST, first_s), (self.drain.source, self.drain.since_s))
        self.drain.record_vms([])
        self.assertEqual(
            DrainSource.VM_LIST, self.drain.source, "a list without the VM changes nothing"
        )

    def test_pauses_are_detected_before_the_next_tick(self) -> None:
        """Guards against a resumed process that acts before its event loop has ticked."""
        gaps: list[float] = []
        pause = PauseDetector(self.clock, 0.5, gaps.append)
        self.clock.advance(0.4)
        self.assertFalse(pause.check())
        self.clock.advance(30)
        self.assertTrue(pause.check())
        self.assertFalse(pause.check())
        self.assertEqual([30], [round(gap_s) for gap_s in gaps])
