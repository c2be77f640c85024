"""Metrics that every program exposes at ``/metrics``."""

from aiohttp import web
from aioprometheus.collectors import REGISTRY, Counter, Gauge, Histogram
from aioprometheus.renderer import render

REFUSALS = Counter("coltsfootfront_refusals_total", "Requests refused, by reason.")
RETRIES = Counter("coltsfootfront_retries_total", "Attempts repeated, by reason.")
RETRIES_DENIED = Counter(
    "coltsfootfront_retries_denied_total", "Retries that the budget did not allow, by reason."
)
REQUESTS = Counter("coltsfootfront_requests_total", "Requests by customer and outcome.")
STREAM_EVENTS = Counter("coltsfootfront_stream_events_total", "Stream events by name.")
CONNECTION_EVENTS = Counter(
    "coltsfootfront_connection_events_total", "Peer connection events by name."
)
STORE_CALLS = Counter("coltsfootfront_store_calls_total", "Calls to the key-value service.")
ORDERS = Counter("coltsfootfront_orders_total", "Orders to targets by outcome.")
PREFIX_BLOCKS = Counter("coltsfootfront_prefix_blocks_total", "Prompt blocks by cache outcome.")
LINK_BYTES = Counter("coltsfootfront_link_bytes_total", "Bytes sent between regions.")
CACHE_EVENTS = Counter("coltsfootfront_cache_events_total", "Cache events by kind.")
CONFIGURATION_EVENTS = Counter(
    "coltsfootfront_configuration_events_total", "Spread of the configuration by event."
)
# Upper bounds, from a response within one data centre to the longest deadline.
TIME_BUCKETS_S = [0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8]
TIME_TO_FIRST_EVENT_S = Histogram(
    "coltsfootfront_first_event_seconds",
    "Time from a request's arrival to the first event of its answer.",
    buckets=TIME_BUCKETS_S,
)
RESPONSE_DURATION_S = Histogram(
    "coltsfootfront_answer_seconds",
    "Time from a request's arrival to the end of its answer, by outcome.",
    buckets=TIME_BUCKETS_S,
)
ESTIMATE_ERROR_S = Histogram(
    "coltsfootfront_estimate_error_seconds",
    "Difference between the expected and the measured time to the first event.",
    buckets=TIME_BUCKETS_S,
)
HELD_REQUESTS = Gauge(
    "coltsfootfront_held_requests", "Prompts that wait at this router until a target has room."
)
HOLD_DURATION_S = Histogram(
    "coltsfootfront_hold_seconds",
    "Time for which prompts waited until a target had room.",
    buckets=TIME_BUCKETS_S,
)
QUOTA_REQUESTS = Counter(
    "coltsfootfront_quota_requests_total", "Requests of customers with a quota, by outcome."
)
QUOTA_LEVEL = Gauge(
    "coltsfootfront_quota_level",
    "Units of a customer's quota that are available in the whole fleet, by customer.",
)
TARGET_LIMIT_PER_S = Gauge(
    "coltsfootfront_target_limit_per_second",
    "Requests per second that a target accepts from all routers together, by target.",
)
TARGET_LIMIT_SHARE = Gauge(
    "coltsfootfront_target_limit_share",
    "Share of a target's limit that this router gets, by target.",
)
TARGET_PERMITS = Counter(
    "coltsfootfront_target_permits_total",
    "Permits asked for requests to targets with a limit, by target and outcome.",
)
QUARANTINE = Counter(
    "coltsfootfront_quarantine_total",
    "Crashes of targets, prompt parts quarantined and released, requests held back and tried.",
)
MEMORY_LIMITS = Counter(
    "coltsfootfront_memory_limits_total",
    "Connections closed and requests refused for want of memory or descriptors, or as they were "
    "too slow or too large, by group and reason.",
)
CALLER_MEMORY_BYTES = Gauge(
    "coltsfootfront_caller_memory_bytes", "Memory that is charged to callers' connections."
)
CALLER_MEMORY_BOUND_BYTES = Gauge(
    "coltsfootfront_caller_memory_bound_bytes",
    "Bound on that memory, by the VM and by the resident memory of the process.",
)
STORE_ERA = Gauge(
    "coltsfootfront_store_era", "Era of the key-value service, which rises when it is restored."
)
REVISION = Gauge("coltsfootfront_revision", "Configuration revision in force.")
RECEIVED_BYTES = Counter(
    "coltsfootfront_received_bytes_total", "Bytes of bodies and datagrams received, by purpose."
)
SENT_BYTES = Counter(
    "coltsfootfront_sent_bytes_total", "Bytes of bodies and datagrams sent, by purpose."
)

# Values of the label `purpose` of received and sent bytes.
STORE = "store"
PEER_COPY = "peer_copy"
PEER_PARTS = "peer_parts"
GOSSIP = "gossip"
_PURPOSES = (STORE, PEER_COPY, PEER_PARTS, GOSSIP)
# A counter of the registry takes several microseconds, too many for each datagram.
_received_bytes = dict.fromkeys(_PURPOSES, 0)
_sent_bytes = dict.fromkeys(_PURPOSES, 0)


def count_received(purpose: str, size_bytes: int) -> None:
    """Count bytes that this process has received."""
    _received_bytes[purpose] += size_bytes


def count_sent(purpose: str, size_bytes: int) -> None:
    """Count bytes that this process has sent."""
    _sent_bytes[purpose] += size_bytes


def received_bytes(purpose: str) -> int:
    """Bytes that this process has received."""
    return _received_bytes[purpose]


def sent_bytes(purpose: str) -> int:
    """Bytes that this process has sent."""
    return _sent_bytes[purpose]


def count_refusal(reason: str) -> None:
    """Count one refusal.

    :param reason: value of the error kind.
    """
    REFUSALS.inc({"reason": reason})


def count_retry(reason: str) -> None:
    """Count one retry.

    :param reason: value of the error kind that caused it.
    """
    RETRIES.inc({"reason": reason})


async def handle_metrics(request: web.Request) -> web.Response:
    """Answer ``GET /metrics`` in the Prometheus text format."""
    for purpose in _PURPOSES:
        RECEIVED_BYTES.set({"purpose": purpose}, _received_bytes[purpose])
        SENT_BYTES.set({"purpose": purpose}, _sent_bytes[purpose])
    content, headers = render(REGISTRY, request.headers.getall("Accept", []))
    return web.Response(body=content, headers=headers)
