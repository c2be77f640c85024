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
KEPT_S = 20.0
# A use is told to peers again after this time.
RENEW_S = 1.5
# A part that was used within this time has hardly been evicted, even on a busy target.
FRESH_S = 3.0
MAX_PARTS = 8192
# Name under which the kept-cache service stands among the holders.
KEPT_CACHE = "kept-cache"


@dataclass(slots=True)
class _Use:
    used_s: float
    told_s: float


class Holders:
    """Targets that hold a part, by salt and key of the part.

    :param clock: time source.
    """

    __slots__ = ("_clock", "_parts")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._parts: OrderedDict[tuple[str, str], dict[str, _Use]] = OrderedDict()

    def note(self, salt: str, key: str, target: str) -> bool:
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
        if now_s - use.told_s < RENEW_S:
            return False
        use.told_s = now_s
        return True

    def holds(self, salt: str, key: str, target: str) -> bool:
        """Whether a target has used a part lately."""
        return self._age_s(salt, key, target) < KEPT_S

    def is_fresh(self, salt: str, key: str, target: str) -> bool:
        """Whether a target has used a part so lately that it hardly evicted it."""
        return self._age_s(salt, key, target) < FRESH_S

    def _age_s(self, salt: str, key: str, target: str) -> float:
        use = self._parts.get((salt, key), {}).get(target)
        return self._clock.monotonic_s() - use.used_s if use else math.inf

    def of(self, salt: str, key: str) -> Iterator[str]:
        """Targets that have used a part lately."""
        now_s = self._clock.monotonic_s()
        for target, use in self._parts.get((salt, key), {}).items():
            if now_s - use.used_s < KEPT_S or target == KEPT_CACHE:
                yield target

    def forget(self, target: str) -> None:
        """Forget what a target held; it was started again or has taken new weights."""
        for entry in self._parts.values():
            entry.pop(target, None)
