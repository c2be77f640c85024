"""Index of the targets that have the KV cache of prompt parts.

The index is an estimate: entries come from this router's own requests and from its peers, and
targets evict parts without notice. A wrong entry costs a fetch that finds nothing. Only the target
decides what it reuses, under the cache salt of the request.
"""

import math
from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass

from coltsfootfront.common.clock import Clock

# Parts that have not been used for this long are assumed to be evicted.
CACHED_TTL_S = 20.0
# Minimum interval between announcements to peers of the same part at the same target.
ANNOUNCE_INTERVAL_S = 1.5
# A part that was used within this time is unlikely to be evicted, even at a busy target: one with a
# cache of 157,000 tokens that prefills 40,000 tokens a second evicts a part after 4 s.
RECENT_USE_S = 2.0
MAX_PARTS = 8192
# A part whose prefill was expected counts as cached for this long after the expected end, unless a
# response confirms it.
UNCONFIRMED_TTL_S = 1.0
_KEPT_CACHE_PREFIX = "kept/"


def kept_cache_name(service: str) -> str:
    """Name under which the index lists a kept cache among the holders."""
    return _KEPT_CACHE_PREFIX + service


def is_kept_cache(name: str) -> bool:
    """Whether a holder is a kept cache."""
    return name.startswith(_KEPT_CACHE_PREFIX)


@dataclass(slots=True)
class _PartEntry:
    """A prompt part at one target.

    :param used_s: monotonic time of the last use.
    :param announced_s: monotonic time of the last announcement to peers.
    :param ready_s: monotonic time from which the target is expected to have the part; in the past
        once a response has confirmed it.
    :param is_confirmed: a response or a peer has shown that the target has the part.
    """

    used_s: float
    announced_s: float
    ready_s: float = -math.inf
    is_confirmed: bool = True


class CacheIndex:
    """Targets that have a prompt part cached, by salt and key of the part.

    :param clock: time source.
    """

    __slots__ = ("_clock", "_parts")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._parts: OrderedDict[tuple[str, str], dict[str, _PartEntry]] = OrderedDict()

    def record_use(self, salt: str, key: str, target: str) -> bool:
        """Record that a target has just prefilled or reused a part.

        :returns: whether to announce the part to peers.
        """
        now_s = self._clock.monotonic_s()
        holders = self._parts.get((salt, key))
        if holders is None:
            holders = self._parts[(salt, key)] = {}
            if len(self._parts) > MAX_PARTS:
                self._parts.popitem(last=False)
        else:
            self._parts.move_to_end((salt, key))
        entry = holders.get(target)
        if entry is None:
            holders[target] = _PartEntry(now_s, now_s)
            return True
        entry.used_s = now_s
        if entry.is_confirmed and now_s - entry.announced_s < ANNOUNCE_INTERVAL_S:
            return False
        entry.is_confirmed, entry.ready_s = True, now_s
        entry.announced_s = now_s
        return True

    def record_held(self, salt: str, key: str, target: str) -> None:
        """Record that a target has a part, last used at an unknown time, unless it is listed."""
        if self._parts.get((salt, key), {}).get(target) is not None:
            return
        self.record_use(salt, key, target)
        entry = self._parts[(salt, key)][target]
        entry.used_s -= RECENT_USE_S
        entry.announced_s = -math.inf

    def all_locations(self) -> Iterator[tuple[str, str, str]]:
        """Salt, key and holder of each part, least recently used parts first."""
        for salt, key in self._parts:
            for holder in self.find_holders(salt, key):
                yield salt, key, holder

    def record_expected(self, salt: str, key: str, target: str, in_s: float) -> bool:
        """Record that a target has been sent a prompt and is about to prefill a part.

        Later requests with the part go to the same target, so that it is not prefilled twice.

        :param in_s: time until the target is expected to have the part.
        :returns: whether to announce the part to peers.
        """
        if self.holds(salt, key, target):
            return False
        now_s = self._clock.monotonic_s()
        self.record_use(salt, key, target)
        ready_s = now_s + in_s
        self._parts[(salt, key)][target] = _PartEntry(ready_s, now_s, ready_s, is_confirmed=False)
        return True

    def remove_expected(self, salt: str, key: str, target: str) -> None:
        """Remove a part whose expected prefill will not take place."""
        entry = self._parts.get((salt, key), {}).get(target)
        if entry is not None and not entry.is_confirmed:
            del self._parts[(salt, key)][target]

    def ready_s(self, salt: str, key: str, target: str) -> float:
        """Monotonic time from which another target can fetch a part, infinity if not listed."""
        entry = self._parts.get((salt, key), {}).get(target)
        return entry.ready_s if entry else math.inf

    def holds(self, salt: str, key: str, target: str) -> bool:
        """Whether a target has used a part recently, or is about to prefill it."""
        return self._age_s(salt, key, target) < CACHED_TTL_S

    def is_recently_used(self, salt: str, key: str, target: str) -> bool:
        """Whether a target used a part so recently that it is unlikely to have evicted it."""
        return self._age_s(salt, key, target) < RECENT_USE_S

    def _age_s(self, salt: str, key: str, target: str) -> float:
        entry = self._parts.get((salt, key), {}).get(target)
        return _age_s(entry, self._clock.monotonic_s()) if entry else math.inf

    def find_holders(self, salt: str, key: str) -> Iterator[str]:
        """Holders that used a part recently or are about to prefill it, and kept caches."""
        now_s = self._clock.monotonic_s()
        for target, entry in self._parts.get((salt, key), {}).items():
            if _age_s(entry, now_s) < CACHED_TTL_S or is_kept_cache(target):
                yield target

    def remove_holder(self, target: str) -> None:
        """Remove a target whose KV cache was lost by a restart or a load of new weights."""
        for holders in self._parts.values():
            holders.pop(target, None)


def _age_s(entry: _PartEntry, now_s: float) -> float:
    age_s = now_s - entry.used_s
    if not entry.is_confirmed and age_s > UNCONFIRMED_TTL_S:
        return math.inf
    return age_s
