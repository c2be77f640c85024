"""Bounds the requests that a router has under way by its memory.

Beyond the bound a request is refused at once: a process that outgrows its memory is ended by the
platform, and all its requests are lost. This answers the load of callers that come faster than
their answers, by whatever cause.
"""

# Memory of the program without requests, measured at 41 MB, with as much again for what it knows.
BASE_BYTES = 80 * 1024 * 1024
# Memory of one request with both its connections, measured at 104 kB with a body of 72 kB.
REQUEST_BYTES = 128 * 1024
# Bound on a VM whose memory is smaller than the program's own needs.
MIN_REQUESTS = 64
# Pause after which a caller may come back; about as long as an answer takes.
RETRY_AFTER_S = 0.5


def max_requests_for_memory(memory_bytes: int) -> int:
    """Requests that may be under way at once on a VM with so much memory."""
    return max(MIN_REQUESTS, (memory_bytes - BASE_BYTES) // REQUEST_BYTES)
