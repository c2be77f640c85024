"""Derives what callers may take up from a VM's memory and descriptors.

Answers a load of callers that together exceed the VM, while each keeps to the limits of one
request.
"""

import resource
import sys
from collections.abc import Iterable
from dataclasses import dataclass

MIB = 1024 * 1024
# Memory of the process without requests, 41 MB, and about as much again for its routing state and
# its connections to the store and to peers.
BASE_BYTES = 80 * MIB
# Floor on a VM with less memory than the process itself needs: the memory of 64 requests.
MIN_MEMORY_BYTES = 8 * MIB
# Memory of one idle connection: 5 to 8 kB were measured with 2,000 open ones, and up to 30 kB for
# single ones.
CONNECTION_BYTES = 24 * 1024
# Memory of one request with both its connections: 104 kB with a body of 72 kB.
REQUEST_BYTES = 128 * 1024
INCLUDED_BODY_BYTES = 72 * 1000
# Memory of a longer body, as a multiple of its size: what waits at the connection to the target is
# a copy, and up to 5.2 MB were seen for 4.2 MB.
BODY_MEMORY_FACTOR = 1.3
# Memory of one field of a head, raw, decoded, and in the request to the target; and its text.
FIELD_BYTES = 768
FIELD_TEXT_FACTOR = 3
# Memory of a head that is part of each request.
INCLUDED_HEAD_BYTES = 24 * 1024
# Descriptors that the platform reserves for files.
FILE_DESCRIPTORS = 200
# Descriptors kept for the store, peers, listeners and idle connections to targets, of which more
# are kept while more are open.
OWN_DESCRIPTORS = 64
# Connections that asyncio accepts in one round of the event loop; with its backlog, as asyncio has
# it, it would be 1,024.
ACCEPTS_PER_ROUND = 32
# Descriptors of accepted connections that the account does not count: it is asked two rounds later,
# and one that it refuses is gone before the next ones are accepted in the round after that.
ACCEPT_DESCRIPTORS = 3 * ACCEPTS_PER_ROUND
# Descriptors of connections that were closed for others and are gone only in a later round.
CLOSING_DESCRIPTORS = 32
MIN_DESCRIPTORS = 64
# Part of a VM's memory that stays free, for what the process takes up between two readings of its
# resident memory: a share, as one round of the event loop serves more connections on larger VMs.
RESIDENT_MARGIN_SHARE = 1 / 16
MIN_RESIDENT_MARGIN_BYTES = 16 * MIB
# Share of the peer, metrics and readiness ports. Its memory is part of BASE_BYTES. Copies of the
# store, at most 8 MiB each, wait there for peers with slow links.
SERVICE_MEMORY_BYTES = 32 * MIB
SERVICE_DESCRIPTOR_SHARE = 0.25


@dataclass(frozen=True, slots=True)
class Budget:
    """What one group of connections may take up.

    :param memory_bytes: bound on the memory of all its connections and their requests.
    :param descriptors: bound on its descriptors and on those of the targets that serve them.
    :param resident_bytes: resident memory of the process above which the group gives way.
    """

    memory_bytes: int
    descriptors: int
    resident_bytes: int = sys.maxsize


def caller_budget(memory_bytes: int, max_descriptors: int | None) -> Budget:
    """Budget of callers on a VM.

    :param memory_bytes: memory of the VM.
    :param max_descriptors: descriptors of the VM; None takes the limit of the process.
    """
    return Budget(
        max(MIN_MEMORY_BYTES, memory_bytes - BASE_BYTES),
        max(
            MIN_DESCRIPTORS,
            _usable_descriptors(max_descriptors)
            - OWN_DESCRIPTORS
            - ACCEPT_DESCRIPTORS
            - CLOSING_DESCRIPTORS,
        ),
        memory_bytes - max(MIN_RESIDENT_MARGIN_BYTES, int(memory_bytes * RESIDENT_MARGIN_SHARE)),
    )


def service_budget(max_descriptors: int | None) -> Budget:
    """Budget of the connections to the peer, metrics and readiness ports."""
    descriptors = int(_usable_descriptors(max_descriptors) * SERVICE_DESCRIPTOR_SHARE)
    return Budget(SERVICE_MEMORY_BYTES, max(MIN_DESCRIPTORS, descriptors))


def body_memory_bytes(body_bytes: int) -> int:
    """Memory of a body beyond what is part of each request."""
    return int(max(0, body_bytes - INCLUDED_BODY_BYTES) * BODY_MEMORY_FACTOR)


def head_memory_bytes(fields: Iterable[tuple[bytes, bytes]]) -> int:
    """Memory of a head beyond what is part of each request.

    :param fields: names and values.
    """
    memory_bytes = 0
    for name, value in fields:
        memory_bytes += FIELD_BYTES + FIELD_TEXT_FACTOR * (len(name) + len(value))
    return max(0, memory_bytes - INCLUDED_HEAD_BYTES)


def _usable_descriptors(max_descriptors: int | None) -> int:
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if max_descriptors is not None and (limit < 0 or max_descriptors < limit):
        limit = max_descriptors
    return limit - FILE_DESCRIPTORS
