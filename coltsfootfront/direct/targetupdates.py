"""Applies what peers report of targets, and reports what this router finds."""

from collections.abc import Callable
from typing import Any

from coltsfootfront.common.clock import Clock
from coltsfootfront.common.decoding import decode_each, read_list, read_text
from coltsfootfront.direct import gossip
from coltsfootfront.direct.cacheindex import CacheIndex
from coltsfootfront.direct.directory import Directory, Target
from coltsfootfront.direct.gossip import Gossip
from coltsfootfront.direct.gossipfields import (
    decode_expected,
    decode_load,
    decode_loading,
    decode_location,
    decode_pace,
    decode_pending,
    decode_prefill_work,
    decode_start,
)


class TargetUpdates:
    """Updates on the work, the weights, the cached parts and the reachability of targets."""

    def __init__(
        self, clock: Clock, directory: Directory, cache_index: CacheIndex, channel: Gossip
    ) -> None:
        self._clock = clock
        self._directory = directory
        self._cache_index = cache_index
        self._gossip = channel
        self.handlers: dict[str, Callable[[list[Any]], None]] = {
            gossip.CACHED: self._handle_cached,
            gossip.LEARNED: self._handle_learned,
            gossip.EXPECTED: self._handle_expected,
            gossip.PREFILL_WORK: self._handle_prefill_work,
            gossip.LOAD: self._handle_loads,
            gossip.PACE: self._handle_paces,
            gossip.PENDING: self._handle_pending,
            gossip.DRAINING: lambda found: self._handle_draining(*decode_start(found)),
            gossip.UNREACHABLE: lambda found: directory.suspect(*decode_start(found)),
            gossip.WEIGHTS_LOADING: lambda found: self._handle_loading(
                gossip.WEIGHTS_LOADING, *decode_loading(found)
            ),
            gossip.WEIGHTS_LOADED: lambda found: self._handle_loading(
                gossip.WEIGHTS_LOADED, *decode_loading(found)
            ),
        }
        """Handlers of the peers' updates, by kind."""

    def _handle_cached(self, fields: list[Any]) -> None:
        for salt, key, name in decode_each(gossip.CACHED, read_list(fields), decode_location):
            self._cache_index.record_use(salt, key, name)

    def _handle_learned(self, fields: list[Any]) -> None:
        for salt, key, name in decode_each(gossip.LEARNED, read_list(fields), decode_location):
            self._cache_index.record_held(salt, key, name)

    def _handle_expected(self, fields: list[Any]) -> None:
        for salt, key, name, in_s in decode_each(
            gossip.EXPECTED, read_list(fields), decode_expected
        ):
            self._cache_index.record_expected(salt, key, name, in_s)

    def _handle_draining(self, name: str, started_ms: int) -> None:
        self._directory.mark_draining(name, started_ms, reported_by="a peer")

    def _handle_prefill_work(self, fields: list[Any]) -> None:
        for name, priority, work_s in decode_each(
            gossip.PREFILL_WORK, read_list(fields), decode_prefill_work
        ):
            target = self._directory.get(name)
            if target is not None:
                target.backlog.add(priority, work_s, self._clock.monotonic_s())

    def _handle_loads(self, fields: list[Any]) -> None:
        for name, load in decode_each(gossip.LOAD, read_list(fields), decode_load):
            target = self._directory.get(name)
            if target is not None:
                target.record_load(load, self._clock.monotonic_s())

    def _handle_paces(self, fields: list[Any]) -> None:
        for name, percent in decode_each(gossip.PACE, read_list(fields), decode_pace):
            target = self._directory.get(name)
            if target is not None:
                target.pace.record_sample(percent, self._clock.monotonic_s())

    def _handle_pending(self, fields: list[Any]) -> None:
        router, rows = read_list(fields)
        router = read_text(router)
        for name, totals in decode_each(gossip.PENDING, read_list(rows), decode_pending):
            target = self._directory.get(name)
            if target is not None:
                target.pending.record_peer(router, totals, self._clock.monotonic_s())

    def _handle_loading(self, kind: str, name: str, model: str, version: int, for_s: float) -> None:
        target = self._directory.get(name)
        if target is None:
            return
        if kind == gossip.WEIGHTS_LOADING:
            self._record_loading(target, model, version, for_s)
        elif kind == gossip.WEIGHTS_LOADED:
            self._record_loaded(target, model, version)

    def announce_unreachable(self, target: Target) -> None:
        """Report a target that cannot be reached."""
        self._gossip.broadcast(gossip.UNREACHABLE, [target.name, target.entry.started_ms])

    def announce_loading(self, target: Target, model: str, version: int, for_s: float) -> None:
        """Record and report that a target loads weights.

        :param for_s: expected duration in seconds.
        """
        self._record_loading(target, model, version, for_s)
        self._gossip.broadcast(gossip.WEIGHTS_LOADING, [target.name, model, version, for_s])

    def announce_loaded(self, target: Target, model: str, version: int) -> None:
        """Record and report that a target has loaded weights."""
        self._record_loaded(target, model, version)
        self._gossip.broadcast(gossip.WEIGHTS_LOADED, [target.name, model, version, 0.0])

    def _record_loading(self, target: Target, model: str, version: int, for_s: float) -> None:
        target.loading_until_s = self._clock.monotonic_s() + for_s
        target.ordered_versions[model] = version

    def _record_loaded(self, target: Target, model: str, version: int) -> None:
        target.loading_until_s = 0.0
        if version > target.versions.get(model, 0):
            target.versions[model] = version
            self._cache_index.remove_holder(target.name)
        self._directory.notify()
