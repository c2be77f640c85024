"""Which targets have read which parts of prompts.

An estimate: entries come from this router's own requests and from its peers, and targets evict
without telling. A wrong entry costs a fetch that finds nothing; what a target reuses is decided
by the target alone, under the salt of the request.
"""

import math
from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass

from coltsfootfront.common.clock import Clock

# Parts that have not been used for this long have mostly been evicted.
CACHED_TTL_S = 20.0
# A use is told to peers again after this time.
RENEW_S = 1.5
# A part that was used within this time has hardly been evicted, even on a busy target: one of
# 157 thousand tokens that reads 40 thousand a second keeps a part for 4 s.
FRESH_S = 2.0
MAX_PARTS = 8192
# A part that a target was to read is believed to be there for this long past the expected time
# without an answer that shows it.
UNCONFIRMED_S = 1.0
# Begins the names under which kept-cache services stand among the holders.
_KEPT_PREFIX = "kept/"


def kept_cache_name(service: str) -> str:
    """Name under which a kept-cache service stands among the holders."""
    return _KEPT_PREFIX + service


def is_kept_name(name: str) -> bool:
    """Whether a holder is a kept-cache service."""
    return name.startswith(_KEPT_PREFIX)


@dataclass(slots=True)
class _Use:
    """One target's use of a part.

    :param ready_s: monotonic time from which the target is expected to have it; in the past once
        an answer has shown that it has.
    """

    used_s: float
    told_s: float
    ready_s: float = -math.inf
    is_confirmed: bool = True


class CacheIndex:
    """Targets that hold a part, by salt and key of the part.

    :param clock: time source.
    """

    __slots__ = ("_clock", "_parts")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._parts: OrderedDict[tuple[str, str], dict[str, _Use]] = OrderedDict()

    def record_use(self, salt: str, key: str, target: str) -> bool:
        """Note that a target has just read or used a part.

        :returns: whether peers should be told.
        """
        now_s = self._clock.monotonic_s()
        entry = self._parts.get((salt, key))
        if entry is None:
            entry = self._parts[(salt, key)] = {}
            if len(self._parts) > MAX_PARTS:
                self._parts.popitem(last=False)
        else:
            self._parts.move_to_end((salt, key))
        use = entry.get(target)
        if use is None:
            entry[target] = _Use(now_s, now_s)
            return True
        use.used_s = now_s
        if use.is_confirmed and now_s - use.told_s < RENEW_S:
            return False
        use.is_confirmed, use.ready_s = True, now_s
        use.told_s = now_s
        return True

    def record_held(self, salt: str, key: str, target: str) -> None:
        """Note that a target holds a part, used at an unknown time, unless more is known."""
        if self._parts.get((salt, key), {}).get(target) is not None:
            return
        self.record_use(salt, key, target)
        use = self._parts[(salt, key)][target]
        use.used_s -= FRESH_S
        use.told_s = -math.inf

    def all_locations(self) -> Iterator[tuple[str, str, str]]:
        """Salt, key and holder of each part that is believed to be held, the oldest first."""
        for salt, key in self._parts:
            for holder in self.find_holders(salt, key):
                yield salt, key, holder

    def record_expected(self, salt: str, key: str, target: str, in_s: float) -> bool:
        """Note that a target has been given a prompt and is about to read a part.

        Later requests with the part follow to the same target instead of having it read twice.

        :param in_s: time until it is expected to have the part.
        :returns: whether peers should be told.
        """
        if self.holds(salt, key, target):
            return False
        now_s = self._clock.monotonic_s()
        self.record_use(salt, key, target)
        ready_s = now_s + in_s
        self._parts[(salt, key)][target] = _Use(ready_s, now_s, ready_s, is_confirmed=False)
        return True

    def remove_expected(self, salt: str, key: str, target: str) -> None:
        """Note that a target does not read a part as expected."""
        use = self._parts.get((salt, key), {}).get(target)
        if use is not None and not use.is_confirmed:
            del self._parts[(salt, key)][target]

    def ready_s(self, salt: str, key: str, target: str) -> float:
        """Monotonic time from which a target can give a part to another."""
        use = self._parts.get((salt, key), {}).get(target)
        return use.ready_s if use else math.inf

    def holds(self, salt: str, key: str, target: str) -> bool:
        """Whether a target has used a part lately, or is about to read it."""
        return self._age_s(salt, key, target) < CACHED_TTL_S

    def is_recently_used(self, salt: str, key: str, target: str) -> bool:
        """Whether a target has used a part so lately that it hardly evicted it."""
        return self._age_s(salt, key, target) < FRESH_S

    def _age_s(self, salt: str, key: str, target: str) -> float:
        use = self._parts.get((salt, key), {}).get(target)
        return _age_s(use, self._clock.monotonic_s()) if use else math.inf

    def find_holders(self, salt: str, key: str) -> Iterator[str]:
        """Targets that have used a part lately, or are about to read it."""
        now_s = self._clock.monotonic_s()
        for target, use in self._parts.get((salt, key), {}).items():
            if _age_s(use, now_s) < CACHED_TTL_S or is_kept_name(target):
                yield target

    def remove_holder(self, target: str) -> None:
        """Forget what a target held; it was started again or has taken new weights."""
        for entry in self._parts.values():
            entry.pop(target, None)


def _age_s(use: _Use, now_s: float) -> float:
    age_s = now_s - use.used_s
    if not use.is_confirmed and age_s > UNCONFIRMED_S:
        return math.inf
    return age_s
