"""Admission control: limits a router's concurrent requests, and their bodies, by its memory.

When requests arrive faster than they are answered, those beyond the limit are refused at once.
Otherwise the process would outgrow its memory, and the platform would end it with all its requests.
"""

import math

# Memory of the process without requests, 41 MB, and about as much again for its routing state.
BASE_BYTES = 80 * 1024 * 1024
# Memory of one request with both its connections: 104 kB with a body of 72 kB.
REQUEST_BYTES = 128 * 1024
INCLUDED_BODY_BYTES = 72 * 1000
# Memory of a longer body, as a multiple of its size: what waits at the connection to the target is
# a copy, and up to 5.2 MB were seen for 4.2 MB.
BODY_MEMORY_FACTOR = 1.3
# Limits on a VM with less memory than the process itself needs.
MIN_REQUESTS = 64
MIN_BODIES_BYTES = 8 * 1024 * 1024
# Time after which a refused caller may retry; about as long as a response takes.
RETRY_AFTER_S = 0.5


def max_requests_for_memory(memory_bytes: int) -> int:
    """Limit of concurrent requests on a VM with an amount of memory."""
    return max(MIN_REQUESTS, (memory_bytes - BASE_BYTES) // REQUEST_BYTES)


class BodyMemory:
    """Memory that the bodies of concurrent requests share.

    :param max_requests: limit of concurrent requests, of which long bodies take the place.
    """

    __slots__ = ("_free_bytes", "_held_bytes")

    def __init__(self, max_requests: float = math.inf) -> None:
        self._free_bytes = max(MIN_BODIES_BYTES, (max_requests - MIN_REQUESTS) * REQUEST_BYTES)
        self._held_bytes = 0

    @property
    def held_requests(self) -> float:
        """Number of requests whose memory is held by long bodies."""
        return self._held_bytes / REQUEST_BYTES

    def begin(self) -> "BodyReservation":
        """Begin the reservation of one request."""
        return BodyReservation(self)

    def change(self, by_bytes: int) -> bool:
        """Reserve more memory, or release some.

        :returns: False if there is too little; then nothing has changed.
        """
        if by_bytes > 0 and self._held_bytes + by_bytes > self._free_bytes:
            return False
        self._held_bytes += by_bytes
        return True


class BodyReservation:
    """Memory that is reserved for the body of one request.

    :param memory: what it is taken from.
    """

    __slots__ = ("_memory", "_reserved_bytes")

    def __init__(self, memory: BodyMemory) -> None:
        self._memory = memory
        self._reserved_bytes = 0

    def grow(self, body_bytes: int) -> bool:
        """Reserve the memory of a body.

        :param body_bytes: size of the whole body, as far as it is known.
        :returns: False if there is too little memory.
        """
        needed_bytes = math.ceil(max(0, body_bytes - INCLUDED_BODY_BYTES) * BODY_MEMORY_FACTOR)
        missing_bytes = max(0, needed_bytes - self._reserved_bytes)
        if not self._memory.change(missing_bytes):
            return False
        self._reserved_bytes += missing_bytes
        return True

    def release(self) -> None:
        """Release the memory, when the request has ended."""
        self._memory.change(-self._reserved_bytes)
        self._reserved_bytes = 0
