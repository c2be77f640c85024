"""Formats the analysis of late, failed and refused requests as text or JSON."""

from collections import Counter
from collections.abc import Iterator
from datetime import datetime
from typing import Any

from coltsfootfront.operation.losses import Loss, LossAnalysis, RequestResult, Stage

# Rows of each table; the remaining ones are added up in one row.
MAX_ROWS = 10
BAR_CHARACTERS = 40


def as_json(analysis: LossAnalysis) -> dict[str, Any]:
    """Convert to JSON-compatible values."""
    return {
        "results": [
            {"route": route, "result": result.value, "requests": count}
            for (route, result), count in sorted(
                analysis.results.items(), key=lambda item: (item[0][0], item[0][1].value)
            )
        ],
        "losses": [
            {
                "id": loss.request_id,
                "at_s": round(loss.at_s, 3),
                "route": loss.route,
                "customer": loss.customer,
                "router": loss.router,
                "target": loss.target,
                "result": loss.result.value,
                "stage": loss.stage.value,
                "detail": loss.detail,
            }
            for loss in analysis.losses
        ],
        "unreadable_lines": analysis.unreadable_lines,
        "left_out_lines": analysis.left_out_lines,
    }


def as_text(analysis: LossAnalysis) -> list[str]:
    """Format as lines for a terminal."""
    lines = [f"{'route':24}" + "".join(f"{result.value:>9}" for result in RequestResult)]
    for route in sorted({route for route, _ in analysis.results}):
        counts = (analysis.results[route, result] for result in RequestResult)
        lines.append(f"{route:24}" + "".join(f"{count:9}" for count in counts))
    lines += _table(
        "route, result and stage", Counter(_loss_label(loss) for loss in analysis.losses)
    )
    for title, values in (
        ("router", (loss.router for loss in analysis.losses)),
        ("target", (loss.target or "none" for loss in analysis.losses)),
        ("customer", (loss.customer or "none" for loss in analysis.losses)),
    ):
        lines += _table(title, Counter(values))
    lines += _by_second(analysis.losses)
    if analysis.unreadable_lines:
        lines.append(f"{analysis.unreadable_lines} ended requests could not be read")
    if analysis.left_out_lines:
        lines.append(f"{analysis.left_out_lines} lines were left out by the routers")
    return lines


def _loss_label(loss: Loss) -> str:
    label = f"{loss.route}  {loss.result.value}  {loss.stage.value}"
    return f"{label}: {loss.detail}" if loss.stage is Stage.REFUSED else label


def _table(title: str, counts: Counter[str]) -> Iterator[str]:
    yield ""
    yield f"lost or late by {title}"
    for name, count in counts.most_common(MAX_ROWS):
        yield f"{count:7}  {name}"
    rest = sum(counts.values()) - sum(count for _, count in counts.most_common(MAX_ROWS))
    if rest:
        yield f"{rest:7}  all others"


def _by_second(losses: list[Loss]) -> Iterator[str]:
    """Yield a bar for each second: ``#`` for failed or refused requests, ``-`` for late ones."""
    if not losses:
        return
    yield ""
    yield "by second (# lost, - late)"
    first = int(losses[0].at_s)
    failed_or_refused: Counter[int] = Counter()
    late: Counter[int] = Counter()
    for loss in losses:
        (late if loss.result is RequestResult.LATE else failed_or_refused)[
            int(loss.at_s) - first
        ] += 1
    max_count = max((failed_or_refused + late).values())
    scale = min(1.0, BAR_CHARACTERS / max_count)
    for second in range(int(losses[-1].at_s) - first + 1):
        bar = "#" * round(failed_or_refused[second] * scale) + "-" * round(late[second] * scale)
        start = datetime.fromtimestamp(first + second).astimezone()
        yield f"{start:%H:%M:%S} {failed_or_refused[second] + late[second]:5} {bar}"
