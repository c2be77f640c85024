"""Versions of weights: which one is named, and which targets may still answer with an older."""

from dataclasses import dataclass

import logbook

from coltsfootfront.common.clock import Clock
from coltsfootfront.common.logs import event
from coltsfootfront.direct.directory import Directory, Target

log = logbook.Logger(__name__)

# Answers made on older weights are worth less from 1.5 s after a newer version was named; from
# here on targets that have it go first.
PREFER_NEWEST_S = 1.4
# Requests stop going to older weights this long before they must, for the way to the target.
LIMIT_MARGIN_S = 1.0
# A router that has just started leaves older weights this long before its bounds count.
START_MARGIN_S = 1.0
# Versions of a model that are remembered; a target further behind has been left long before.
KEPT_VERSIONS = 64


@dataclass(frozen=True, slots=True)
class Named:
    """A version of a model's weights.

    :param named_s: monotonic time at which this router learned of it.
    """

    version: int
    named_s: float


class WeightVersions:
    """Named versions of the weights of each model.

    Each version has a limit of its own: a target that is two versions behind must be left when
    the time of the first of them is over.

    :param clock: time source.
    :param directory: targets.
    :param max_outdated_s: time after which a request must not begin on older weights.
    :param settle_s: time after its start from which a router is bound by that.
    """

    def __init__(self, clock: Clock, directory: Directory, limit_s: float, settle_s: float) -> None:
        self._clock = clock
        self._settle_s = settle_s
        self._directory = directory
        self.max_outdated_s = limit_s
        self._named: dict[str, list[Named]] = {}

    def record_published(self, model: str, version: int, is_new: bool) -> bool:
        """Note a named version.

        :param is_new: it was named just now; otherwise this router found it when it read the
            store for the first time, and does not know since when it has been named.
        :returns: whether it is newer than the one known.
        """
        known = self._named.setdefault(model, [])
        if known and version <= known[-1].version:
            return False
        now_s = self._clock.monotonic_s()
        # Older weights may be used until this router is bound by the limit.
        unknown_s = self.max_outdated_s - LIMIT_MARGIN_S - (self._settle_s - START_MARGIN_S)
        named_s = now_s if is_new else now_s - max(PREFER_NEWEST_S, unknown_s)
        known.append(Named(version, named_s))
        del known[:-KEPT_VERSIONS]
        log.info(event("version_named", model=model, version=version, is_new=is_new))
        return True

    def newest(self, model: str) -> Named | None:
        """The newest version of a model, None before any was named."""
        known = self._named.get(model)
        return known[-1] if known else None

    def target(self, name: str) -> Target | None:
        """Target of a name."""
        return self._directory.get(name)

    def outdated_s(self, model: str, target: Target) -> float:
        """Time since a version that the target does not have was named, 0 when it has all."""
        version = target.versions.get(model, 0)
        for named in self._named.get(model, ()):
            if named.version > version:
                return self._clock.monotonic_s() - named.named_s
        return 0.0

    def correct_target_version(self, model: str, target: Target) -> None:
        """Believe another version of a target that has rejected the one expected of it.

        A router that has just started may know an entry that is older than the last load.
        """
        believed = target.versions.get(model, 0)
        newest = self.newest(model)
        if newest is not None and believed < newest.version:
            target.versions[model] = target.ordered_versions.get(model) or newest.version
        else:
            target.versions[model] = target.entry.versions.get(model, believed)
        log.info(
            event(
                "version_corrected",
                target=target.name,
                before=believed,
                version=target.versions[model],
            )
        )

    def allowed(self, model: str, targets: list[Target]) -> list[Target]:
        """Targets whose weights a request may use now."""
        return [target for target in targets if self.allows(model, target, 0.0)]

    def allows(self, model: str, target: Target, in_s: float) -> bool:
        """Whether a request may begin to run on the weights of a target.

        :param in_s: time until it is expected to begin, with its first event.
        """
        begin_s = self.outdated_s(model, target) + in_s
        return begin_s < self.max_outdated_s - LIMIT_MARGIN_S or not self.outdated_s(model, target)

    def is_outdated(self, model: str, target: Target) -> bool:
        """Whether answers of a target are worth less, since newer weights were named."""
        return self.outdated_s(model, target) >= PREFER_NEWEST_S
