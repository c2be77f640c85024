"""Admission control: limits a router's concurrent requests by its memory.

When requests arrive faster than they are answered, those beyond the limit are refused at once.
Otherwise the process would outgrow its memory, and the platform would end it with all its requests.
"""

# Memory of the process without requests, 41 MB, and about as much again for its routing state.
BASE_BYTES = 80 * 1024 * 1024
# Memory of one request with both its connections: 104 kB with a body of 72 kB.
REQUEST_BYTES = 128 * 1024
# Limit on a VM with less memory than the process itself needs.
MIN_REQUESTS = 64
# Time after which a refused caller may retry; about as long as a response takes.
RETRY_AFTER_S = 0.5


def max_requests_for_memory(memory_bytes: int) -> int:
    """Limit of concurrent requests on a VM with an amount of memory."""
    return max(MIN_REQUESTS, (memory_bytes - BASE_BYTES) // REQUEST_BYTES)
