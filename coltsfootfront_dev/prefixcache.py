"""Prefix cache of the simulated engine."""

from collections import OrderedDict
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from itertools import islice


@dataclass(slots=True)
class CachedBlock:
    """One cached block.

    :param last_used_s: monotonic time of the last use.
    """

    model: str
    adapter: str
    last_used_s: float


class PrefixCache:
    """Block cache with eviction of the least recently used blocks.

    :param capacity: largest number of blocks.
    :param evict_after_s: idle time after which a block is evicted; 0 for never.
    :param publish: called on each change with ``stored``, ``removed`` or ``cleared`` and the
        block keys.
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
        self.evict_idle(now_s)
        count = 0
        while count < len(keys) and keys[count] in self._blocks:
            count += 1
        # The last block of the chain is marked first, so that eviction removes it before the blocks
        # that it depends on.
        for key in reversed(keys[:count]):
            self._blocks[key].last_used_s = now_s
            self._blocks.move_to_end(key)
        return count

    def peek(self, key: bytes) -> CachedBlock | None:
        """Return a block without marking it as used, or None."""
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

    def evict_idle(self, now_s: float) -> None:
        """Evict blocks that were idle for longer than ``evict_after_s``."""
        if not self._evict_after_s:
            return
        oldest_s = now_s - self._evict_after_s
        idle = []
        for key, block in self._blocks.items():
            if block.last_used_s > oldest_s:
                break
            idle.append(key)
        self._remove(idle)

    def remove_model(self, model: str, adapter: str | None = None) -> None:
        """Remove the blocks of a model, or only those of one of its adapters."""
        self._remove(
            [
                key
                for key, block in self._blocks.items()
                if block.model == model and adapter in (None, block.adapter)
            ]
        )

    def clear(self) -> None:
        """Remove all blocks."""
        self._blocks.clear()
        self._publish("cleared", ())

    def _remove(self, keys: list[bytes]) -> None:
        for key in keys:
            del self._blocks[key]
        if keys:
            self._publish("removed", keys)
