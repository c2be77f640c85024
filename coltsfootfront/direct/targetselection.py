"""Chooses the target of a request by an estimate of the time until its first event.

Prompts are of very different length, so that the number of requests at a target says little about
the wait there. Each router keeps an estimate of the prompts that a target has still to read, from
its own requests and from what its peers tell of long ones. A target that already holds the shared
parts of a prompt saves the time of reading them; another may fetch them from a holder.
"""

import bisect
import random
from dataclasses import dataclass
from enum import Enum

from coltsfootfront.common.clock import Clock
from coltsfootfront.common.rendezvous import rank
from coltsfootfront.direct.backlog import PRIORITIES
from coltsfootfront.direct.callerrequest import CallerRequest
from coltsfootfront.direct.directory import Target
from coltsfootfront.direct.prefillrate import PrefillRates
from coltsfootfront.direct.cacheplanner import CachePlanner
from coltsfootfront.direct.routingconfig import EngineProperties, KeptCache
from coltsfootfront.direct.versions import WeightVersions

# Load, as a share of the slots, that another data centre and another region count for.
OTHER_DATA_CENTRE_LOAD = 0.05
OTHER_REGION_LOAD = 0.6

# Delay, there and back, and price of the bytes of a request to another region.
OTHER_REGION_S = 0.06
# Advantage of the target that ranks first, so that routers agree without telling each other.
HOME_S = 0.03
# Reading a part that another target holds costs as much again, since others wait meanwhile.
REREAD_FACTOR = 3.0
# Shorter waits for a part that is being read are not worth it.
MIN_WAIT_S = 0.01
# Cost of an answer on older weights, once these are worth less.
OLD_WEIGHTS_S = 0.15
# Each running request shows what else an engine has to do, that no router has reckoned with, and
# is held up itself while a prompt is read.
RUNNING_S = 0.005
# Share by which an engine reads more slowly for each request that it runs, since it makes their
# next tokens in between.
RUNNING_SHARE = 0.05
# A request beyond the slots waits for one of those that run.
SLOT_WAIT_S = 0.05
# Bounds of the priorities by the tokens that are read; each class takes twice as long.
READ_CLASSES_TOKENS = (800, 1600, 3200, 6400)


@dataclass(frozen=True, slots=True)
class Placement:
    """Where a request goes.

    :param version: version of the weights that must answer, None for plain services.
    :param salt: separates cached parts of different versions and isolated customers.
    :param fetch_from: address of a target that holds more of the prompt, empty for none.
    :param save_to: kept-cache service to which the prompt's parts should go, None for none.
    :param held_tokens: tokens of the prompt that the target is believed to hold.
    :param read_tokens: tokens of the prompt that it is expected to read.
    :param shared_tokens: tokens of the prompt that other requests may share.
    :param priority: 0 to 9 for the target, 0 is the most urgent.
    :param begin_s: expected time until the target begins to read.
    :param expected_s: expected time until the first event.
    :param load: estimated load of the target when it was chosen.
    """

    target: Target
    version: int | None = None
    salt: str = ""
    fetch_from: str = ""
    save_to: KeptCache | None = None
    held_tokens: int = 0
    read_tokens: int = 0
    shared_tokens: int = 0
    priority: int = 0
    begin_s: float = 0.0
    expected_s: float = 0.0
    load: int = 0


class WaitReason(Enum):
    """Why a request waits for its target."""

    WEIGHTS = "weights"
    """The target loads weights."""
    PREFILL = "part"
    """The target reads a shared part for another request."""
    PAUSE = "pause"
    """Every target has asked for a pause."""


@dataclass(frozen=True, slots=True)
class Wait:
    """The request should wait for its target.

    :param until_s: monotonic time at which the target is expected to be back.
    """

    until_s: float
    reason: WaitReason


def salt_of(model: str, version: int, wall: str) -> str:
    """Salt of the cached parts that one version of a model made for those behind one wall."""
    return f"{model}:{version}:{wall}"


def is_salt_of(salt: str, model: str, version: int) -> bool:
    """Whether a version of a model made the parts under a salt."""
    return salt.startswith(salt_of(model, version, ""))


def read_priority(read_tokens: int, rank_offset: int) -> int:
    """Priority of a prompt at its target: the shortest first.

    When targets have more to read than they can, most requests then still get their first event
    in time, and an answer is worth more for each token the shorter its prompt is.
    """
    return min(PRIORITIES - 1, bisect.bisect_right(READ_CLASSES_TOKENS, read_tokens) + rank_offset)


def preferred(targets: list[Target], now_s: float) -> list[Target]:
    """Leave out targets that fail or whose entry is missing, unless no other is left."""
    sound = [item for item in targets if item.is_healthy(now_s) and item.missing_since_s is None]
    if sound:
        return sound
    return [item for item in targets if now_s >= item.suspended_until_s] or targets


class PlainTargetSelector:
    """Chooses targets of plain services, for many short requests on few slots.

    :param clock: time source.
    :param data_centre: data centre of this router.
    :param region: region of this router.
    """

    def __init__(
        self, clock: Clock, data_centre: str, region: str, generator: random.Random
    ) -> None:
        self._clock = clock
        self._data_centre = data_centre
        self._region = region
        self._generator = generator

    def choose(self, targets: list[Target]) -> Placement | None:
        """Choose the target with the lowest load in proportion to its slots."""
        now_s = self._clock.monotonic_s()
        usable = [target for target in targets if target.is_usable()]
        if not usable:
            return None
        return Placement(min(preferred(usable, now_s), key=lambda item: self._cost(item, now_s)))

    def _cost(self, target: Target, now_s: float) -> tuple[float, float]:
        cost = target.load(now_s) / max(1, target.entry.slots)
        if target.region != self._region:
            cost += OTHER_REGION_LOAD
        elif target.entry.data_centre != self._data_centre:
            cost += OTHER_DATA_CENTRE_LOAD
        return cost, self._generator.random()


class PromptTargetSelector:
    """Chooses targets of model engines, for prompts that share long parts.

    :param clock: time source.
    :param region: region of this router.
    :param sources: where targets get parts from.
    :param versions: named versions of the weights.
    :param paces: how fast engines read.
    """

    def __init__(
        self,
        clock: Clock,
        region: str,
        sources: CachePlanner,
        versions: WeightVersions,
        paces: PrefillRates,
    ) -> None:
        self._clock = clock
        self._paces = paces
        self._region = region
        self._sources = sources
        self._versions = versions

    def choose(
        self,
        call: CallerRequest,
        cache_scope: str,
        targets: list[Target],
        wait_until_s: float,
        engine_properties: EngineProperties | None,
        kept_caches: tuple[KeptCache, ...],
        rank_offset: int,
    ) -> Placement | Wait | None:
        """Choose a target.

        :param cache_scope: name of the customer if it shares no cached part, empty otherwise.
        :param targets: targets of the service that have not been tried.
        :param wait_until_s: monotonic time until which the request may wait for its target.
        :param engine_properties: what the configuration says of the engines.
        :param kept_caches: where engines may save parts and fetch them.
        :param rank_offset: priority of the route or the customer, 0 is the most urgent.
        """
        now_s = self._clock.monotonic_s()
        usable = [target for target in targets if target.is_usable()]
        usable = self._versions.allowed(call.model, usable)
        if not usable:
            return None
        usable = preferred(usable, now_s)
        home = self._home(call, cache_scope, usable)
        places = [
            self._place(call, cache_scope, target, home, engine_properties, kept_caches, rank_offset)
            for target in usable
        ]
        places = [
            place
            for place in places
            if self._versions.allows(call.model, place.target, place.expected_s)
        ]
        if not places:
            return None
        ready = [place for place in places if not place.target.is_loading(now_s)]
        best = min(places, key=lambda place: place.expected_s)
        if not best.target.is_loading(now_s):
            return self._after_reading(call, best, wait_until_s)
        if best.target.loading_until_s <= wait_until_s or not ready:
            return Wait(best.target.loading_until_s, WaitReason.WEIGHTS)
        return self._after_reading(
            call, min(ready, key=lambda place: place.expected_s), wait_until_s
        )

    def record_placement(self, call: CallerRequest, place: Placement) -> None:
        """Note that a request was given to the place chosen for it."""
        if place.save_to is not None:
            self._sources.note_save(place.save_to, call.prompt_tokens)

    def _after_reading(self, call: CallerRequest, place: Placement, wait_until_s: float) -> Placement | Wait:
        """Let a request wait while its target reads a shared part for another request.

        An engine finds a part only once it has been read whole; of two prompts that are given to
        it closely after each other, both would be read. This answers a part that many requests
        have in common and that is new, or hot.
        """
        now_s = self._clock.monotonic_s()
        ready_s = self._sources.ready_s(call, place.salt, place.target)
        if ready_s <= now_s + MIN_WAIT_S:
            return place
        # Waiting for longer would cost this request more than the second reading costs all.
        saved_s = self._paces.get(place.target.entry.service).read_s(place.held_tokens)
        until_s = min(wait_until_s, now_s + REREAD_FACTOR * saved_s)
        return Wait(ready_s, WaitReason.PREFILL) if ready_s <= until_s else place

    def _home(self, call: CallerRequest, wall: str, targets: list[Target]) -> str:
        shared = call.shared_parts
        key = shared[-1].key if shared else call.request_id
        return rank(f"{wall}/{key}".encode(), [target.name for target in targets], 1)[0]

    def _place(
        self,
        call: CallerRequest,
        wall: str,
        target: Target,
        home: str,
        facts: EngineProperties | None,
        kept_caches: tuple[KeptCache, ...],
        rank_offset: int,
    ) -> Placement:
        now_s = self._clock.monotonic_s()
        version = target.versions.get(call.model)
        salt = salt_of(call.model, version, wall) if version is not None else ""
        source = self._sources.find(call, salt, target, facts, kept_caches)
        read_tokens = max(0, call.prompt_tokens - source.held_tokens - source.fetched_tokens)
        priority = read_priority(read_tokens, rank_offset)
        pace = self._paces.get(target.entry.service)
        begin_s = target.wait_s(priority, now_s)
        ready_s = self._sources.ready_s(call, salt, target)
        load = target.load(now_s)
        cost_s = max(begin_s, ready_s - now_s)
        cost_s += pace.read_s(read_tokens) * (1 + RUNNING_SHARE * load)
        cost_s += pace.read_s(source.reread_tokens) * REREAD_FACTOR
        cost_s += source.transfer_s
        cost_s += RUNNING_S * load + SLOT_WAIT_S * max(0, load - target.entry.slots)
        if target.region != self._region:
            cost_s += OTHER_REGION_S
        if target.name != home:
            cost_s += HOME_S
        if self._versions.is_outdated(call.model, target):
            cost_s += OLD_WEIGHTS_S
        return Placement(
            target=target,
            version=version,
            salt=salt,
            fetch_from=source.fetch_from,
            save_to=self._sources.save_to(call, salt, target, kept_caches),
            held_tokens=source.held_tokens,
            read_tokens=read_tokens,
            shared_tokens=sum(part.tokens for part in call.shared_parts),
            priority=priority,
            begin_s=begin_s + source.transfer_s,
            expected_s=cost_s,
            load=load,
        )
