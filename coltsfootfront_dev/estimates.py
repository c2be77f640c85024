"""Compares the estimated with the actual times of requests in router logs.

Example: cat router-*.log | python -m coltsfootfront_dev.estimates

For each route and each class of load at the target: the number of requests, the correlation of
estimate and outcome, and the median and the 10th and 90th percentile of outcome to estimate.
Requests that were sent more than once are left out.
"""

import math
import sys
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

from coltsfootfront.operation.losses import LogLine, parse_line

# Smallest number of requests in a row of the table.
MIN_REQUESTS = 5
MIN_ESTIMATE_S = 0.001
ALL = "all"


@dataclass(frozen=True, slots=True)
class Outcome:
    """Estimate and outcome of one request.

    :param load: estimated load of its target when it was placed.
    """

    route: str
    load: int
    estimate_s: float
    took_s: float


@dataclass(frozen=True, slots=True)
class Comparison:
    """Estimates and outcomes of some requests."""

    route: str
    load: str
    count: int
    correlation: float
    ratios: tuple[float, float, float]
    """10th percentile, median and 90th percentile of outcome to estimate."""


def read_outcomes(texts: Iterable[str]) -> list[Outcome]:
    """Read the requests that have a learned estimate; unreadable lines are left out."""
    found = []
    for text in texts:
        line = parse_line(text).value_or(None)
        if line is None or line.event != "request_ended":
            continue
        try:
            outcome = _read_outcome(line)
        except (KeyError, ValueError):
            continue
        if outcome is not None:
            found.append(outcome)
    return found


def compare(outcomes: list[Outcome]) -> list[Comparison]:
    """Compare by route, and by route and load; the loads of a class differ at most twofold."""
    groups: dict[tuple[str, int], list[Outcome]] = defaultdict(list)
    for outcome in outcomes:
        groups[(outcome.route, -1)].append(outcome)
        groups[(outcome.route, 2 ** (outcome.load.bit_length() - 1) if outcome.load else 0)].append(
            outcome
        )
    return [
        _compare(route, ALL if load < 0 else f"{load}+", group)
        for (route, load), group in sorted(groups.items())
        if len(group) >= MIN_REQUESTS
    ]


def correlation(pairs: list[tuple[float, float]]) -> float:
    """Coefficient of correlation; not a number if one of both does not vary."""
    count = len(pairs)
    mean_x, mean_y = (sum(pair[index] for pair in pairs) / count for index in (0, 1))
    xx = sum((x - mean_x) ** 2 for x, _ in pairs)
    yy = sum((y - mean_y) ** 2 for _, y in pairs)
    xy = sum((x - mean_x) * (y - mean_y) for x, y in pairs)
    return xy / math.sqrt(xx * yy) if xx and yy else math.nan


def _read_outcome(line: LogLine) -> Outcome | None:
    fields = line.fields
    if "estimate_s" not in fields or fields["sends"] != "1" or fields["outcome"] != "answered":
        return None
    # Plain calls have no first event of a stream, but their response.
    took_s = float(fields["first_s"] if "prompt_tokens" in fields else fields["took_s"])
    return Outcome(
        fields["route"],
        int(fields["load"]),
        max(MIN_ESTIMATE_S, float(fields["estimate_s"])),
        took_s - float(fields["placed_s"]),
    )


def _compare(route: str, load: str, outcomes: list[Outcome]) -> Comparison:
    ratios = sorted(outcome.took_s / outcome.estimate_s for outcome in outcomes)
    count = len(ratios)
    return Comparison(
        route,
        load,
        count,
        correlation([(outcome.estimate_s, outcome.took_s) for outcome in outcomes]),
        (ratios[count // 10], ratios[count // 2], ratios[count * 9 // 10]),
    )


def main() -> None:
    """Print the table for the log lines on the standard input."""
    print(f"{'route':20} {'load':>5} {'count':>7} {'corr':>6} {'p10':>6} {'median':>6} {'p90':>6}")
    for row in compare(read_outcomes(sys.stdin)):
        figures = " ".join(f"{ratio:6.2f}" for ratio in row.ratios)
        print(f"{row.route:20} {row.load:>5} {row.count:7} {row.correlation:6.2f} {figures}")


if __name__ == "__main__":
    main()
