"""Published versions of weights, and which targets may still answer with an older one."""

from dataclasses import dataclass

import logbook

from coltsfootfront.common.clock import Clock
from coltsfootfront.common.logs import event
from coltsfootfront.direct.directory import Directory, Target

log = logbook.Logger(__name__)

# Age of a newer version from which targets that have it are preferred. Responses on older weights
# are worth less from 1.5 s.
PREFER_NEWEST_AFTER_S = 1.4
# Requests stop going to older weights this long before the limit, to allow for the transmission.
LIMIT_MARGIN_S = 1.0
# A router that has started or was paused stops using older weights this long before the limit
# binds it.
STARTUP_MARGIN_S = 1.0
# Older versions are dropped; targets that far behind have long ceased to get requests.
MAX_VERSIONS_PER_MODEL = 64


@dataclass(frozen=True, slots=True)
class PublishedVersion:
    """A published version of a model's weights.

    :param published_s: earliest monotonic time at which it can have been published, as far as this
        router knows.
    """

    version: int
    published_s: float


class WeightVersions:
    """Published versions of the weights of each model.

    The limit counts from each version by itself: a target that is two versions behind must not be
    used once the limit of the first of these two has passed.

    :param clock: time source.
    :param directory: targets.
    :param max_outdated_s: time after the publication of a version from which a request must not
        begin on older weights.
    :param settle_s: time after its start from which the limit binds a router.
    """

    def __init__(
        self, clock: Clock, directory: Directory, max_outdated_s: float, settle_s: float
    ) -> None:
        self._clock = clock
        self._settle_s = settle_s
        self._directory = directory
        self.max_outdated_s = max_outdated_s
        self._published: dict[str, list[PublishedVersion]] = {}

    def record_published(
        self,
        model: str,
        version: int,
        written_after_s: float | None,
        is_after_pause: bool = False,
    ) -> bool:
        """Record a published version.

        :param written_after_s: monotonic time after which it was published, None if that is unknown
            as this router has just started.
        :param is_after_pause: this process was paused since then.
        :returns: whether it is newer than all recorded ones.
        """
        known = self._published.setdefault(model, [])
        if known and version <= known[-1].version:
            return False
        now_s = self._clock.monotonic_s()
        # After a start or a pause, older weights are usable until the limit binds this router.
        assumed_age_s = self.max_outdated_s - LIMIT_MARGIN_S - (self._settle_s - STARTUP_MARGIN_S)
        published_s = now_s - max(PREFER_NEWEST_AFTER_S, assumed_age_s)
        if written_after_s is not None:
            published_s = max(published_s, written_after_s) if is_after_pause else written_after_s
        known.append(PublishedVersion(version, published_s))
        del known[:-MAX_VERSIONS_PER_MODEL]
        log.info(
            event(
                "version_named",
                model=model,
                version=version,
                age_s=now_s - published_s,
                is_age_known=written_after_s is not None,
                is_after_pause=is_after_pause,
            )
        )
        return True

    def newest(self, model: str) -> PublishedVersion | None:
        """The newest version of a model, None before any was published."""
        known = self._published.get(model)
        return known[-1] if known else None

    def get_target(self, name: str) -> Target | None:
        """Return a target by name, None if it is not in the directory."""
        return self._directory.get(name)

    def outdated_for_s(self, model: str, target: Target) -> float:
        """Time since the first version that the target lacks was published, 0 if it lacks none."""
        version = target.versions.get(model, 0)
        for published in self._published.get(model, ()):
            if published.version > version:
                return self._clock.monotonic_s() - published.published_s
        return 0.0

    def correct_target_version(self, model: str, target: Target) -> None:
        """Assume another version of a target that rejected a request for the assumed one.

        A router that has just started may have read an entry from before the target's last load.
        """
        assumed_version = target.versions.get(model, 0)
        newest = self.newest(model)
        if newest is not None and assumed_version < newest.version:
            target.versions[model] = target.ordered_versions.get(model) or newest.version
        else:
            target.versions[model] = target.entry.versions.get(model, assumed_version)
        log.info(
            event(
                "version_corrected",
                target=target.name,
                before=assumed_version,
                version=target.versions[model],
            )
        )

    def allowed(self, model: str, targets: list[Target]) -> list[Target]:
        """Targets whose weights a request may use now."""
        return [target for target in targets if self.allows(model, target, 0.0)]

    def allows(self, model: str, target: Target, start_delay_s: float) -> bool:
        """Whether a request may begin to run on the weights of a target.

        :param start_delay_s: time until the request's first event is expected.
        """
        begin_s = self.outdated_for_s(model, target) + start_delay_s
        return begin_s < self.max_outdated_s - LIMIT_MARGIN_S or not self.outdated_for_s(
            model, target
        )

    def is_outdated(self, model: str, target: Target) -> bool:
        """Whether a target's responses are worth less because newer weights were published."""
        return self.outdated_for_s(model, target) >= PREFER_NEWEST_AFTER_S
