"""Tests of draining and of the detection of pauses."""

import unittest

from coltsfootfront.common.pause import PauseDetector
from coltsfootfront.peers.vmlist import STATE_LEAVING, STATE_LIVE, Vm
from coltsfootfront.targets.drain import Drain, Source
from coltsfootfront.tests.support import ManualClock, make_configuration, single_target_document, install_document

WITHDRAWN = single_target_document(target={"withdrawn": True})


class DrainTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.revision = make_configuration(single_target_document())
        self.drain = Drain("t", "10.0.0.1:1", self.revision, self.clock)

    def _note(self, state: str, name: str = "t", address: str = "10.0.0.9:1") -> None:
        self.drain.note_vms([Vm(name, "target", "d", address, state)])

    def _kind(self) -> str | None:
        failure = self.drain.failure()
        return None if failure is None else failure.kind.value

    def test_each_source(self) -> None:
        """Guards against a source that has no effect, and against a lasting one."""
        self.assertIsNone(self._kind())
        install_document(self.revision, 2, WITHDRAWN)
        self.assertEqual("target_withdrawn", self._kind())
        install_document(self.revision, 3, single_target_document())
        self.assertIsNone(self._kind(), "the operator took it back")
        install_document(self.revision, 4, {})
        self.assertEqual("target_withdrawn", self._kind(), "no longer in the document")
        install_document(self.revision, 5, single_target_document())
        for name, address in (("t", "10.0.0.9:1"), ("other", "10.0.0.1:1")):
            self._note(STATE_LEAVING, name, address)
            self.assertEqual("target_leaving", self._kind())
            self._note(STATE_LIVE, name, address)
            self.assertIsNone(self._kind())
        self._note(STATE_LEAVING, "other")
        self.assertIsNone(self._kind(), "another VM")
        self.drain.stop()
        self._note(STATE_LIVE)
        self.assertEqual("target_leaving", self._kind(), "a stop signal is final")

    def test_the_earliest_takes_effect(self) -> None:
        """Guards against a later source that restarts the drain."""
        self._note(STATE_LEAVING)
        first_s = self.drain.since_s
        self.clock.advance(1)
        self.drain.stop()
        install_document(self.revision, 2, WITHDRAWN)
        self.assertEqual((Source.VM_LIST, first_s), (self.drain.source, self.drain.since_s))
        self.drain.note_vms([])
        self.assertEqual(Source.VM_LIST, self.drain.source, "a list that lost the VM")

    def test_pauses_are_seen_before_the_next_tick(self) -> None:
        """Guards against a resumed process that acts before its event loop has ticked."""
        gaps: list[float] = []
        pause = PauseDetector(self.clock, 0.5, gaps.append)
        self.clock.advance(0.4)
        self.assertFalse(pause.check())
        self.clock.advance(30)
        self.assertTrue(pause.check())
        self.assertFalse(pause.check())
        self.assertEqual([30], [round(gap_s) for gap_s in gaps])
