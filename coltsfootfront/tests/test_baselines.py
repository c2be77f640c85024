"""Tests of the baseline policies."""

import unittest
from collections import Counter

from coltsfootfront.configuration.document import Grant
from coltsfootfront.placing.baselines import PREFIX_BLOCKS, make_baseline
from coltsfootfront.placing.policy import PlacementRequest, Policy, TargetLoad

GRANTS = [Grant(f"t{number}", "terms", 5, "v1") for number in range(6)]
NAMES = [grant.target for grant in GRANTS]


def _request(prefix: int, tail: int = 0) -> PlacementRequest:
    keys = [bytes([prefix % 256, prefix // 256, depth] + [0] * 5) for depth in range(PREFIX_BLOCKS)]
    keys.append(bytes([tail] * 8))
    return PlacementRequest("c", "m", "", "salt", tuple(keys))


def _policy(name: str) -> Policy:
    policy = make_baseline(name)
    assert policy is not None
    return policy


def _first(name: str, prefixes: int, grants: list[Grant]) -> dict[int, str]:
    policy = _policy(name)
    return {n: policy.candidates(_request(n), grants, {})[0] for n in range(prefixes)}


class BaselineTest(unittest.TestCase):
    def test_unknown_names_are_left_to_others(self) -> None:
        """Guards against a baseline taking the place of the project's own policy."""
        self.assertIsNone(make_baseline("rendezvous"))

    def test_round_robin_visits_every_target_equally(self) -> None:
        """Guards against a target that gets no turn."""
        policy = _policy("round_robin")
        firsts = Counter(policy.candidates(_request(0), GRANTS, {})[0] for _ in range(60))
        self.assertEqual(firsts, Counter(dict.fromkeys(NAMES, 10)))

    def test_least_loaded_prefers_idle_and_alternates_equal_targets(self) -> None:
        """Guards against all requests going to the first name while loads are equal."""
        policy = _policy("least_loaded")
        loads = {name: TargetLoad(in_flight=3) for name in NAMES[:4]}
        firsts = {policy.candidates(_request(0), GRANTS, loads)[0] for _ in range(6)}
        self.assertEqual(firsts, {"t4", "t5"})

    def test_prefix_hash_ignores_the_tail_and_spreads_prefixes(self) -> None:
        """Guards against cases of one dossier being spread, or all prefixes sharing a target."""
        policy = _policy("prefix_hash")
        for tail in range(8):
            self.assertEqual(
                policy.candidates(_request(1, tail), GRANTS, {}),
                policy.candidates(_request(1), GRANTS, {}),
            )
        counts = Counter(_first("prefix_hash", 600, GRANTS).values())
        self.assertEqual(set(counts), set(NAMES))
        self.assertLess(max(counts.values()), 150)

    def test_prefix_hash_moves_only_the_prefixes_of_a_lost_target(self) -> None:
        """Guards against a hash that reshuffles all caches when one target is lost."""
        before = _first("prefix_hash", 300, GRANTS)
        after = _first("prefix_hash", 300, GRANTS[1:])
        moved = {before[n] for n in before if before[n] != after[n]}
        self.assertEqual(moved, {"t0"})

    def test_bounded_load_passes_over_full_targets(self) -> None:
        """Guards against a hot prefix that overloads its home target."""
        policy = _policy("bounded_load")
        home = policy.candidates(_request(7), GRANTS, {})[0]
        loads = {name: TargetLoad(in_flight=4) for name in NAMES}
        self.assertEqual(policy.candidates(_request(7), GRANTS, loads)[0], home)
        loads[home].in_flight = 8
        order = policy.candidates(_request(7), GRANTS, loads)
        self.assertEqual(order[-1], home)
        self.assertEqual(set(order), set(NAMES))

    def test_bounded_load_keeps_a_hot_prefix_within_the_bound(self) -> None:
        """Guards against a bound that is computed from the wrong average."""
        policy = _policy("bounded_load")
        loads = {name: TargetLoad() for name in NAMES}
        for _ in range(60):
            loads[policy.candidates(_request(3), GRANTS, loads)[0]].in_flight += 1
        self.assertLessEqual(max(load.in_flight for load in loads.values()), 13)

    def test_requests_without_a_prefix_are_spread(self) -> None:
        """Guards against all calls to plain services sharing one target."""
        request = PlacementRequest("c", "", "", "", ())
        for name in ("prefix_hash", "bounded_load"):
            policy = _policy(name)
            firsts = {policy.candidates(request, GRANTS, {})[0] for _ in range(6)}
            self.assertEqual(firsts, set(NAMES))
