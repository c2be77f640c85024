"""Counters and gauges that every program exposes at ``/metrics``."""

from aiohttp import web
from aioprometheus.collectors import REGISTRY, Counter, Gauge
from aioprometheus.renderer import render

REFUSALS = Counter("coltsfootfront_refusals_total", "Requests refused, by reason.")
RETRIES = Counter("coltsfootfront_retries_total", "Attempts repeated, by reason.")
RETRIES_DENIED = Counter(
    "coltsfootfront_retries_denied_total", "Retries that the budget did not allow, by reason."
)
REQUESTS = Counter("coltsfootfront_requests_total", "Requests by customer and outcome.")
STREAMS = Counter("coltsfootfront_stream_events_total", "Stream events by name.")
CONNECTIONS = Counter("coltsfootfront_connection_events_total", "Peer connection events by name.")
STORE_CALLS = Counter("coltsfootfront_store_calls_total", "Calls to the key-value service.")
ORDERS = Counter("coltsfootfront_orders_total", "Orders to targets by outcome.")
PREFIX_BLOCKS = Counter("coltsfootfront_prefix_blocks_total", "Prompt blocks by cache outcome.")
LINK_BYTES = Counter("coltsfootfront_link_bytes_total", "Bytes sent between regions.")
CACHE_EVENTS = Counter("coltsfootfront_cache_events_total", "Cache events by kind.")
CONFIGURATION = Counter(
    "coltsfootfront_configuration_events_total", "Spread of the configuration by event."
)
REVISION = Gauge("coltsfootfront_revision", "Configuration revision in force.")


def refused(reason: str) -> None:
    """Count one refusal.

    :param reason: value of the error kind.
    """
    REFUSALS.inc({"reason": reason})


def retried(reason: str) -> None:
    """Count one repeated attempt.

    :param reason: value of the error kind that caused it.
    """
    RETRIES.inc({"reason": reason})


async def handle_metrics(request: web.Request) -> web.Response:
    """Answer ``GET /metrics`` in the Prometheus text format."""
    content, headers = render(REGISTRY, request.headers.getall("Accept", []))
    return web.Response(body=content, headers=headers)
