"""Tests of the load tool's arrivals and of the oracle behind the measurements."""

import unittest

from coltsfootfront_dev.load import BLOCK_BYTES, Caller, Phase, Shape, Workload
from coltsfootfront_dev.cachereuse import CacheModel, Oracle, Served, judge

A = [b"a1", b"a2"]
B = [b"b1", b"b2"]
C = [b"c1", b"c2"]
CALLERS = [Caller(f"customer-{n}", f"key-{n}", ("m", "m:x")) for n in range(8)]


class WorkloadTest(unittest.TestCase):
    def test_same_seed_gives_same_arrivals(self) -> None:
        """Guards against policies being compared on different requests."""
        phases = [Phase("steady", 2.0), Phase("shift", 2.0, hot_set=1)]
        first = Workload(5, Shape(), CALLERS).arrivals(phases)
        self.assertEqual(first, Workload(5, Shape(), CALLERS).arrivals(phases))
        self.assertNotEqual(first, Workload(6, Shape(), CALLERS).arrivals(phases))

    def test_levels_share_whole_blocks(self) -> None:
        """Guards against levels that do not align with blocks, which would share nothing."""
        arrivals = Workload(5, Shape(), CALLERS).arrivals([Phase("steady", 5.0)])
        for arrival in arrivals[:20]:
            text = arrival.prompt().encode()
            self.assertEqual(len(text) // BLOCK_BYTES, len(arrival.keys()))
        by_dossier: dict[str, set[bytes]] = {}
        for arrival in arrivals:
            shared = sum(count for _, count in arrival.segments[:2])
            by_dossier.setdefault(arrival.segments[1][0], set()).add(arrival.keys()[shared - 1])
        self.assertTrue(all(len(keys) == 1 for keys in by_dossier.values()))

    def test_hot_dossiers_change_between_phases(self) -> None:
        """Guards against a shift phase that keeps the same hot prefixes."""
        phases = [Phase("steady", 10.0), Phase("shift", 10.0, hot_set=1)]
        arrivals = Workload(5, Shape(), CALLERS).arrivals(phases)
        hot = []
        for phase in phases:
            labels = [a.segments[1][0] for a in arrivals if a.phase == phase.name]
            hot.append(set(sorted(set(labels), key=labels.count)[-3:]))
        self.assertFalse(hot[0] & hot[1])


class OracleTest(unittest.TestCase):
    def test_keeps_what_is_used_next(self) -> None:
        """Guards against an oracle that evicts the oldest use and so understates the ideal."""
        oracle = Oracle([A, B, C, A, B], 4)
        self.assertEqual([oracle.advance() for _ in range(5)], [0, 0, 0, 2, 2])

    def test_never_holds_more_than_its_capacity(self) -> None:
        """Guards against a comparison with more memory than the fleet has."""
        oracle = Oracle([A, B, A, B], 3)
        hits = 0
        for _ in range(4):
            hits += oracle.advance()
            self.assertLessEqual(sum(oracle.holds(key) for key in A + B), 3)
        self.assertEqual(hits, 3)

    def test_model_evicts_the_deepest_of_the_oldest(self) -> None:
        """Guards against a model that loses the start of a prompt and keeps its end."""
        model = CacheModel(3)
        model.served(A, 0)
        model.served(B, 0)
        self.assertEqual([model.holds(key) for key in A + B], [True, False, True, True])


class JudgeTest(unittest.TestCase):
    def test_second_computation_elsewhere_is_wasted(self) -> None:
        """Guards against recomputation on another target passing as unavoidable."""
        reuse = judge([Served(A, "x", 0), Served(A, "y", 0)], 2, 10)
        self.assertEqual((reuse.computed, reuse.wasted, reuse.ideal), (4, 2, 2))

    def test_first_computation_and_lost_caches_are_not_wasted(self) -> None:
        """Guards against blaming a policy for blocks that no target held."""
        served = [Served(A, "x", 0), Served(A, "x", 0, lost_before=("x",))]
        self.assertEqual(judge(served, 2, 10).wasted, 0)
        self.assertEqual(judge([Served(A, "x", 0), Served(A, "x", 2)], 2, 10).hit_rate, 0.5)
