"""Answers the question where a request would go and why."""

import json
from typing import Any

from returns.result import Failure as Failed

from coltsfootfront.calls.callerrequest import KIND_COMPLETION, CallerRequest
from coltsfootfront.common.clock import Clock
from coltsfootfront.common.errors import ErrorKind, Failure
from coltsfootfront.placing.placer import PlacementPlan
from coltsfootfront.serving.dispatch import Dispatcher
from coltsfootfront.serving.responses import error_shape

REQUEST_ID = "explain"


async def explain(question: bytes, dispatcher: Dispatcher, clock: Clock, revision: int) -> bytes:
    """Place a request without sending it.

    :param question: JSON object with ``customer``, ``model`` and ``prompt``.
    :param revision: revision in force.
    :returns: JSON object with the targets in order, the reason and the agents' answers, or an
        error in the one JSON shape.
    """
    job = _job(question, clock)
    if job is None:
        message = "customer, model and prompt must be text"
        return _encode(error_shape(Failure(ErrorKind.BAD_REQUEST, message), REQUEST_ID))
    placed = await dispatcher.explain(job)
    if isinstance(placed, Failed):
        return _encode(error_shape(placed.failure(), REQUEST_ID))
    return _encode(_describe(placed.unwrap(), revision))


def _job(question: bytes, clock: Clock) -> CallerRequest | None:
    try:
        body = json.loads(question)
    except (ValueError, RecursionError):
        return None
    if not isinstance(body, dict):
        return None
    values = [body.get(name) for name in ("customer", "model", "prompt")]
    if not all(isinstance(value, str) for value in values):
        return None
    customer, name, prompt = map(str, values)
    model, _, adapter = name.partition(":")
    return CallerRequest(
        REQUEST_ID,
        customer,
        KIND_COMPLETION,
        clock.unix_s(),
        b"",
        model=model,
        adapter=adapter,
        prompt=prompt.encode(errors="replace"),
    )


def _describe(plan: PlacementPlan, revision: int) -> dict[str, Any]:
    answers = [
        {
            "target": answer.target,
            "matched_blocks": answer.reply.matched,
            "wait_s": answer.reply.wait_s,
            "prefill_s": answer.reply.prefill_s,
            "load": answer.reply.load,
            "refusal": answer.reply.refusal,
            "latency_s": answer.latency_s,
        }
        for answer in plan.answers
    ]
    targets = [place.target for place in plan.destinations]
    return {"revision": revision, "targets": targets, "reason": plan.reason, "answers": answers}


def _encode(value: dict[str, Any]) -> bytes:
    return json.dumps(value).encode()
