"""Prints how quotas are kept in virtual fleets, as a table of Markdown.

Run as ``python -m coltsfootfront.tests.quota_table ROUTERS...``.
"""

import multiprocessing
import sys
from typing import NamedTuple

from coltsfootfront.tests.quota_fleet import WINDOW_S, QuotaFleet, make_quota

RATE_PER_S = 300_000.0
PATTERNS = ("even", "skewed", "moving")
DEMANDS = (0.6, 0.95, 1.5, 4.0)
PROCESSES = 4
# Virtual time in seconds without failures; large fleets take minutes for a run.
DURATIONS_S = ((100, 20.0), (1000, 12.0))
LOSS = 0.05


class Case(NamedTuple):
    """One cell."""

    size: int
    pattern: str
    demand: float
    has_failures: bool


def run(case: Case) -> str:
    """Play one case and return its cell."""
    fleet = QuotaFleet(case.size, make_quota(RATE_PER_S), 1, LOSS if case.has_failures else 0.0)
    choose = fleet.chooser(case.pattern)
    demand_per_s = case.demand * RATE_PER_S
    # Requests wait for the peers after a start.
    fleet.run(0.4, 1e-6)
    duration_s = next(found for size, found in DURATIONS_S if case.size <= size)
    if not case.has_failures:
        fleet.run(duration_s, demand_per_s, choose)
    else:
        fleet.run(3.0, demand_per_s, choose)
        fleet.kill(0)
        fleet.run(2.0, demand_per_s, choose)
        fleet.start(0)
        fleet.run(1.0, demand_per_s, choose)
        fleet.pause(1)
        fleet.run(2.0, demand_per_s, choose)
        fleet.resume(1)
        fleet.run(1.0, demand_per_s, choose)
        fleet.isolate(range(max(1, case.size // 4)))
        fleet.run(3.0, demand_per_s, choose)
        fleet.cuts.clear()
        fleet.run(duration_s - 10.0, demand_per_s, choose)
    limit = RATE_PER_S * WINDOW_S + fleet.quota.burst
    used = f"{fleet.most_used() / limit:.2f}"
    if case.demand < 1:
        return f"{used}, {100 * fleet.wrongly_refused():.1f} %"
    return f"{used}, {fleet.admitted():.2f}"


def main() -> None:
    """Print the table for some numbers of routers."""
    sizes = [int(size) for size in sys.argv[1:]]
    cases = [
        Case(size, pattern, demand, has_failures)
        for size in sizes
        for pattern in PATTERNS
        for has_failures in (False, True)
        for demand in DEMANDS
    ]
    heads = [f"demand {demand:g}" for demand in DEMANDS]
    print("| routers | traffic | failures | " + " | ".join(heads) + " |")
    print("|---|---|---|" + "---|" * len(DEMANDS), flush=True)
    with multiprocessing.Pool(PROCESSES) as pool:
        cells = pool.imap(run, cases)
        for case in cases[:: len(DEMANDS)]:
            row = " | ".join(next(cells) for _ in DEMANDS)
            failures = "yes" if case.has_failures else "no"
            print(f"| {case.size} | {case.pattern} | {failures} | {row} |", flush=True)


if __name__ == "__main__":
    main()
