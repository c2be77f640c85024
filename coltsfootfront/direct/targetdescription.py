"""Describes targets, routes and placements to operators, in JSON."""

import math
from typing import Any

from coltsfootfront.direct.backlog import PRIORITIES
from coltsfootfront.direct.directory import Target
from coltsfootfront.direct.routingconfig import Route
from coltsfootfront.direct.targetselection import Placement

Json = dict[str, Any]


def describe_route(route: Route) -> Json:
    """Describe a route."""
    return {
        "name": route.name,
        "host": route.host,
        "prefix": route.prefix,
        "retries": route.retry_policy.value,
        "is_stream": route.is_stream,
        "has_prompt": route.has_prompt,
        "timeout_s": route.timeout_s,
        "latency_objective_s": route.latency_objective_s,
        "priority": route.priority,
        "max_attempts": route.max_attempts,
    }


def describe_placement(placement: Placement) -> Json:
    """Describe a placement, with the learned estimate where prompts are placed by it."""
    cost = placement.prompt_cost
    return {
        "estimate_s": finite(cost.first_event_s) if cost is not None else None,
        "overtaking_s": finite(placement.overtaking_s),
        "expected_s": finite(placement.expected_s),
        "begin_s": finite(placement.begin_s),
        "priority": placement.priority,
        "prefill_tokens": placement.prefill_tokens,
        "held_tokens": placement.held_tokens,
        "fetch_from": placement.fetch_from,
        "version": placement.version,
    }


def describe_target(target: Target, now_s: float) -> Json:
    """Describe a target, and what it still has to do as this router sees it."""
    limit = target.limit
    return {
        "name": target.name,
        "address": target.entry.address,
        "data_centre": target.entry.data_centre,
        "region": target.region,
        "slots": target.entry.slots,
        "in_flight": target.in_flight,
        "load": target.load(now_s),
        "pace": finite(target.pace.expected(now_s)),
        "pending_tokens": target.pending.ahead_tokens(PRIORITIES - 1),
        "pending_calls": len(target.calls),
        "backlog_s": finite(target.backlog.wait_s(PRIORITIES - 1, now_s)),
        "loading_s": finite(max(0.0, target.loading_until_s - now_s)),
        "is_healthy": target.is_healthy(now_s),
        "failure_rate": target.failure_rate,
        "heard_s_ago": finite(now_s - target.last_heard_s),
        "limit_per_s": limit.rate_per_s if limit is not None else None,
        "versions": dict(target.versions),
    }


def find_absence(target: Target) -> list[str]:
    """Why a target gets no requests any more."""
    found = []
    if target.entry.is_draining or target.has_announced_drain:
        found.append("is draining")
    if target.is_replaced:
        found.append("another target answers at its address")
    return found


def find_waits(target: Target, now_s: float) -> list[str]:
    """Why a target gets no requests for a while."""
    found = []
    if target.is_paused(now_s):
        found.append(f"has asked for no requests for {target.paused_until_s - now_s:.2f} s")
    limit = target.limit
    if limit is not None and limit.blocked_until_s > now_s:
        found.append(f"its limit admits no request for {limit.blocked_until_s - now_s:.2f} s")
    return found


def describe_bad_health(target: Target, now_s: float) -> str:
    """Why a target gets requests only while there is no better one."""
    if target.missing_since_s is not None:
        return "its entry has disappeared from the store"
    if now_s < target.suspended_until_s:
        return f"is suspended for {target.suspended_until_s - now_s:.2f} s"
    if now_s < target.rejection_cooldown_until_s:
        return "has just rejected a request"
    return "is unreachable" if target.is_unreachable else "fails too often"


def finite(value: float) -> float | None:
    """A number that JSON can express, else None."""
    return value if math.isfinite(value) else None
