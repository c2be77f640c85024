"""Order in which connections are closed for others when memory or descriptors are short.

Answers a load of callers that hold what others need: idle connections come first, then those that
have stalled, those that are slow, and those that hold the most.
"""

from collections.abc import Callable, Iterable, Iterator

from coltsfootfront.memory.holder import STALL_S, Holder, Phase

# In a shortage, a request that has arrived more slowly is closed for others.
SLOW_BYTES_PER_S = 16_384
# In a shortage, a connection is closed for one that holds at most this share of its memory.
GREEDY_SHARE = 0.5


def closing_order(
    holders: Iterable[Holder],
    requester: Holder | None,
    wanted: tuple[int, int],
    needs_descriptors: bool,
    group_bytes: Callable[[Holder], int],
    now_s: float,
) -> Iterator[tuple[Holder, str]]:
    """Connections that may be closed, in their order.

    New ones are among the first to give up their descriptors, but give up memory to no other
    connection: they hold little, and what they have sent may be waiting to be read.

    :param holders: all connections.
    :param requester: for whom, None for all others.
    :param wanted: what the requester would hold, and its group.
    :param needs_descriptors: whether descriptors are short.
    :param group_bytes: what the address or the customer of a connection holds.
    """
    others = [holder for holder in holders if holder is not requester]
    new = [holder for holder in others if holder.phase is Phase.NEW]
    new.sort(key=lambda holder: holder.progress_s)
    idle = [holder for holder in others if holder.phase is Phase.IDLE]
    if needs_descriptors:
        idle += new
    for holder in sorted(idle, key=lambda holder: holder.progress_s):
        yield holder, "idle"
    active = [holder for holder in others if holder.phase in (Phase.RECEIVING, Phase.WRITING)]
    stalled = [
        holder for holder in active + new if holder.is_open and now_s - holder.progress_s >= STALL_S
    ]
    for holder in sorted(stalled, key=lambda holder: holder.progress_s):
        yield holder, "stalled"
    slow = [
        holder
        for holder in active
        if holder.is_open
        and holder.phase is Phase.RECEIVING
        and holder.rate(now_s) < SLOW_BYTES_PER_S
    ]
    for holder in sorted(slow, key=lambda holder: holder.rate(now_s)):
        yield holder, "slow"
    held = [(group_bytes(holder), holder.held_bytes, holder) for holder in active if holder.is_open]
    greedy = [
        entry
        for entry in held
        if wanted[0] <= GREEDY_SHARE * entry[1] or wanted[1] <= GREEDY_SHARE * entry[0]
    ]
    for _, _, holder in sorted(greedy, key=lambda entry: entry[:2], reverse=True):
        yield holder, "greedy"
    if requester is None:
        yield from ((holder, "new") for holder in new if holder.is_open)
