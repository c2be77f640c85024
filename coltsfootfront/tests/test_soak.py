"""A short soak test with fixed seeds; ``make soak`` runs longer ones."""

import unittest

from coltsfootfront_dev.soak import soak

# Seeds that have failed are added and stay in the list; the causes are:
# 4: a restarted router expected the weights version that an outdated entry named.
# 20: the proxy passed a reset on as a clean end, so that a truncated answer looked complete.
SEEDS = (1, 4, 20)
# Routers are held to the limit of a target from 4 s after it is named.
FAULTS_S = 8.0


class SoakTest(unittest.IsolatedAsyncioTestCase):
    async def test_promises_hold_under_random_faults(self) -> None:
        """Guards against guarantees that fail when kills, cut connections and changes overlap."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                await self._check(seed)

    async def test_begun_streams_are_kept_while_routers_are_stopped_without_retries(self) -> None:
        """Guards against a router that takes its own pause for the silence of its targets."""
        await self._check(9)

    async def test_streams_are_not_joined_while_engines_are_released(self) -> None:
        """Guards against streams that go on at another software version under faults (ORDER)."""
        await self._check(4812, has_releases=True)

    async def _check(self, seed: int, has_releases: bool = False) -> None:
        report = await soak(seed, FAULTS_S, has_releases=has_releases)
        self.assertEqual([], report.broken, report.to_json())
        self.assertGreater(report.statuses["200"], 100)
