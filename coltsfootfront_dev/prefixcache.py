"""The prefix cache of the engine stand-in."""

from collections import OrderedDict
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from itertools import islice


@dataclass(slots=True)
class CachedBlock:
    """One cached block.

    :param last_used_s: monotonic time of the last use in seconds.
    """

    model: str
    adapter: str
    last_used_s: float


class PrefixCache:
    """Cached blocks in least-recently-used order.

    :param capacity: number of blocks that fit.
    :param evict_after_s: blocks that stay unused for longer are evicted; 0 for never.
    :param publish: receives ``stored``, ``removed`` or ``cleared`` and the block keys.
    """

    __slots__ = ("_blocks", "_capacity", "_evict_after_s", "_publish")

    def __init__(
        self,
        capacity: int,
        evict_after_s: float,
        publish: Callable[[str, Sequence[bytes]], None],
    ) -> None:
        self._blocks: OrderedDict[bytes, CachedBlock] = OrderedDict()
        self._capacity = capacity
        self._evict_after_s = evict_after_s
        self._publish = publish

    def match(self, keys: Sequence[bytes], now_s: float) -> int:
        """Count the leading blocks that are cached and mark them as used."""
        self.expire(now_s)
        count = 0
        while count < len(keys) and keys[count] in self._blocks:
            count += 1
        # The deepest block is marked first, so that a chain loses its end before its start.
        for key in reversed(keys[:count]):
            self._blocks[key].last_used_s = now_s
            self._blocks.move_to_end(key)
        return count

    def holds(self, key: bytes) -> CachedBlock | None:
        """Look a block up without marking it as used."""
        return self._blocks.get(key)

    def store(self, keys: Sequence[bytes], model: str, adapter: str, now_s: float) -> None:
        """Add blocks and evict the least recently used ones beyond the capacity."""
        added = [key for key in keys if key not in self._blocks]
        for key in reversed(keys):
            self._blocks[key] = CachedBlock(model, adapter, now_s)
            self._blocks.move_to_end(key)
        if added:
            self._publish("stored", added)
        surplus = len(self._blocks) - self._capacity
        self._remove(list(islice(self._blocks, max(surplus, 0))))

    def expire(self, now_s: float) -> None:
        """Evict blocks that were not used for too long."""
        if not self._evict_after_s:
            return
        limit_s = now_s - self._evict_after_s
        expired = []
        for key, block in self._blocks.items():
            if block.last_used_s > limit_s:
                break
            expired.append(key)
        self._remove(expired)

    def drop(self, model: str, adapter: str | None = None) -> None:
        """Remove all blocks of a model, or only those of one of its adapters."""
        self._remove(
            [
                key
                for key, block in self._blocks.items()
                if block.model == model and adapter in (None, block.adapter)
            ]
        )

    def clear(self) -> None:
        """Remove everything."""
        self._blocks.clear()
        self._publish("cleared", ())

    def _remove(self, keys: list[bytes]) -> None:
        for key in keys:
            del self._blocks[key]
        if keys:
            self._publish("removed", keys)
