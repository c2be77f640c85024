"""Explains which targets a request would be sent to and why."""

import json
from typing import Any

from returns.result import Failure as Failed

from coltsfootfront.calls.callerrequest import KIND_COMPLETION, CallerRequest
from coltsfootfront.common.clock import Clock
from coltsfootfront.common.errors import ErrorKind, Failure
from coltsfootfront.placing.placer import PlacementPlan
from coltsfootfront.serving.dispatch import Dispatcher
from coltsfootfront.serving.responses import error_body

REQUEST_ID = "explain"


async def explain(
    request_body: bytes, dispatcher: Dispatcher, clock: Clock, revision: int
) -> bytes:
    """Choose the targets of a request without sending it.

    :param request_body: JSON object with ``customer``, ``model`` and ``prompt``.
    :param revision: number of the active revision.
    :returns: JSON object with the targets in order, the reason and the agents' probe replies, or
        an error in the common JSON format.
    """
    caller_request = _parse_request(request_body, clock)
    if caller_request is None:
        message = "customer, model and prompt must be text"
        return _encode(error_body(Failure(ErrorKind.BAD_REQUEST, message), REQUEST_ID))
    plan_result = await dispatcher.explain(caller_request)
    if isinstance(plan_result, Failed):
        return _encode(error_body(plan_result.failure(), REQUEST_ID))
    return _encode(_describe(plan_result.unwrap(), revision))


def _parse_request(request_body: bytes, clock: Clock) -> CallerRequest | None:
    try:
        body = json.loads(request_body)
    except (ValueError, RecursionError):
        return None
    if not isinstance(body, dict):
        return None
    values = [body.get(name) for name in ("customer", "model", "prompt")]
    if not all(isinstance(value, str) for value in values):
        return None
    customer, model_name, prompt = map(str, values)
    model, _, adapter = model_name.partition(":")
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
    targets = [destination.target for destination in plan.destinations]
    return {"revision": revision, "targets": targets, "reason": plan.reason, "answers": answers}


def _encode(value: dict[str, Any]) -> bytes:
    return json.dumps(value).encode()
