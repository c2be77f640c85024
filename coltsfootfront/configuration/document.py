"""Typed form of the configuration document."""

from collections.abc import Mapping
from dataclasses import dataclass, field, fields
from typing import Any, TypeVar

from coltsfootfront.common.decoding import decoding, load_json

SECTIONS = (
    "owners",
    "regions",
    "models",
    "services",
    "customers",
    "targets",
    "terms",
    "policy",
    "operators",
)

KIND_ENGINE = "engine"
KIND_SERVICE = "service"
KIND_KEPT_CACHE = "kept_cache"


@dataclass(slots=True)
class Owner:
    """A team that provides targets."""

    contact: str = ""


@dataclass(slots=True)
class Region:
    """A region and its link to the other regions.

    :param link_bytes_per_s: rate limit for requests that leave the region.
    """

    data_centres: list[str] = field(default_factory=list)
    link_bytes_per_s: int = 1_875_000


@dataclass(slots=True)
class Model:
    """A model that engines serve.

    :param block_bytes: prompt bytes in one cached block.
    :param max_output_tokens: maximum number of output tokens that a request may ask for.
    """

    block_bytes: int = 4000
    max_output_tokens: int = 4096


@dataclass(slots=True)
class Service:
    """A group of targets of one kind.

    :param kind: ``engine``, ``service`` or ``kept_cache``.
    :param idempotent_paths: path prefixes whose calls may be retried, whatever the method.
    """

    kind: str
    idempotent_paths: list[str] = field(default_factory=list)


@dataclass(slots=True)
class Customer:
    """A tenant.

    :param key_hashes: SHA-256 hex digests of API keys.
    :param weight: share of a contended target relative to other customers.
    :param requests_per_s: sustained request rate at one router.
    :param max_running: requests running at one target.
    :param max_queued: requests waiting at one target.
    """

    key_hashes: list[str]
    weight: float = 1.0
    requests_per_s: float = 100.0
    max_running: int = 64
    max_queued: int = 64


@dataclass(slots=True)
class LoadedModel:
    """A model, version and adapters that a target is configured to serve."""

    model: str
    version: str
    adapters: list[str] = field(default_factory=list)


@dataclass(slots=True)
class Target:
    """A back end.

    :param agent_address: ``host:port`` of the target's agent.
    :param slots: requests that run at once.
    :param checks_fencing: whether the target refuses orders with a stale fencing token.
    :param role: desired role of an engine.
    """

    owner: str
    service: str
    data_centre: str
    agent_address: str
    slots: int = 8
    models: list[LoadedModel] = field(default_factory=list)
    checks_fencing: bool = False
    role: str = "serve"
    withdrawn: bool = False

    def version_of(self, model: str) -> str | None:
        """Weights version that is configured for a model on this target, or None."""
        for loaded in self.models:
            if loaded.model == model:
                return loaded.version
        return None

    def has_adapter(self, model: str, adapter: str) -> bool:
        """Whether the target is configured for a model and adapter; empty means no adapter."""
        for loaded in self.models:
            if loaded.model == model:
                return not adapter or adapter in loaded.adapters
        return False


@dataclass(slots=True)
class Terms:
    """Access policy: which customers may use an owner's targets, and for which models.

    :param models: allowed models; empty for plain services.
    :param adapters: allowed adapters; the base model is always allowed.
    :param versions: allowed weights versions; empty allows every version.
    :param priority: 0 is the most urgent, 9 the least.
    :param max_running: requests of one customer running at one target under these terms.
    """

    owner: str
    customers: list[str]
    targets: list[str]
    models: list[str] = field(default_factory=list)
    adapters: list[str] = field(default_factory=list)
    versions: list[str] = field(default_factory=list)
    priority: int = 5
    max_running: int = 64

    def allows_model(self, model: str, adapter: str, version: str) -> bool:
        """Whether a model with an adapter and version is covered."""
        if model not in self.models:
            return False
        if adapter and adapter not in self.adapters:
            return False
        return not self.versions or version in self.versions


@dataclass(slots=True)
class PolicySettings:
    """Settings of the placement policy.

    :param hysteresis_s: reduction of the estimated cost of the home target, in seconds.
    :param recompute_weight: additional cost of computing a block, as a multiple of the time that
        it takes. Accounts for the requests that the computation delays and the blocks it evicts.
    :param cross_region_s: minimum saving in seconds for a request to leave its region; also the
        local queueing delay up to which other regions are not probed.
    """

    hysteresis_s: float = 0.02
    recompute_weight: float = 1.0
    cross_region_s: float = 0.2


@dataclass(slots=True)
class Operator:
    """A person or tool that may change the document."""

    key_hash: str
    may_apply: bool = True


_ENTRY_TYPES: dict[str, type] = {
    "owners": Owner,
    "regions": Region,
    "models": Model,
    "services": Service,
    "customers": Customer,
    "targets": Target,
    "terms": Terms,
    "policy": PolicySettings,
    "operators": Operator,
}

T = TypeVar("T")


def build_entry(section: str, value: dict[str, Any]) -> Any:
    """Build the typed form of one entry; unknown fields are ignored."""
    cls = _ENTRY_TYPES[section]
    known = {item.name for item in fields(cls)}
    values = {key: item for key, item in value.items() if key in known}
    if section == "targets":
        values["models"] = [LoadedModel(**loaded) for loaded in values.get("models", [])]
    return cls(**values)


@dataclass(frozen=True, slots=True)
class Grant:
    """One target that a request may use, and on which conditions.

    :param target: target name.
    :param terms: name of the terms that allow it.
    :param priority: priority under these terms.
    :param version: weights version; empty for plain services.
    """

    target: str
    terms: str
    priority: int
    version: str


class Document:
    """The configuration document in typed form, with indexes for lookups.

    :param sections: section name to entry name to typed entry.
    """

    __slots__ = ("_customer_by_key", "_region_by_dc", "_sections", "_terms_by_customer")

    def __init__(self, sections: dict[str, dict[str, Any]]) -> None:
        self._sections = sections
        self._terms_by_customer: dict[str, list[str]] = {}
        for name, terms in self.terms.items():
            for customer in terms.customers:
                self._terms_by_customer.setdefault(customer, []).append(name)
        self._customer_by_key = {
            digest: name
            for name, customer in self.customers.items()
            for digest in customer.key_hashes
        }
        self._region_by_dc = {
            data_centre: name
            for name, region in self.regions.items()
            for data_centre in region.data_centres
        }

    @classmethod
    def empty(cls) -> "Document":
        """A document without entries."""
        return cls({section: {} for section in SECTIONS})

    def with_changes(self, put: Mapping[str, bytes], remove: list[str]) -> "Document":
        """Return a document with some entries replaced and some removed.

        :param put: entry key (``section/name``) to JSON bytes.
        :param remove: entry keys.
        """
        sections = {section: dict(entries) for section, entries in self._sections.items()}
        for key in remove:
            section, _, name = key.partition("/")
            sections.get(section, {}).pop(name, None)
        for key, value in put.items():
            section, _, name = key.partition("/")
            if section in sections:
                with decoding("entry"):
                    sections[section][name] = build_entry(section, load_json(value))
        return Document(sections)

    @property
    def owners(self) -> dict[str, Owner]:
        """Owners by name."""
        return self._sections["owners"]

    @property
    def regions(self) -> dict[str, Region]:
        """Regions by name."""
        return self._sections["regions"]

    @property
    def models(self) -> dict[str, Model]:
        """Models by name."""
        return self._sections["models"]

    @property
    def services(self) -> dict[str, Service]:
        """Services by name."""
        return self._sections["services"]

    @property
    def customers(self) -> dict[str, Customer]:
        """Customers by name."""
        return self._sections["customers"]

    @property
    def targets(self) -> dict[str, Target]:
        """Targets by name."""
        return self._sections["targets"]

    @property
    def terms(self) -> dict[str, Terms]:
        """Terms by name."""
        return self._sections["terms"]

    @property
    def operators(self) -> dict[str, Operator]:
        """Operators by name."""
        return self._sections["operators"]

    @property
    def policy(self) -> PolicySettings:
        """Settings of the placement policy."""
        policy: PolicySettings = self._sections["policy"].get("default") or PolicySettings()
        return policy

    def customer_for_key(self, key_hash: str) -> str | None:
        """Name of the customer that holds a key, by the key's SHA-256 hex digest."""
        return self._customer_by_key.get(key_hash)

    def region_of(self, data_centre: str) -> str:
        """Region of a data centre; the data centre's own name when it is not listed."""
        return self._region_by_dc.get(data_centre, data_centre)

    def model_grants(self, customer: str, model: str, adapter: str) -> list[Grant]:
        """Targets on which a customer may run a model, the best priority for each.

        :returns: at most one grant for each target, ordered by target name.
        """
        best: dict[str, Grant] = {}
        for name in self._terms_by_customer.get(customer, []):
            terms = self.terms[name]
            for target_name in terms.targets:
                grant = self._model_grant(name, terms, target_name, model, adapter)
                if grant is not None:
                    _keep_best(best, grant)
        return [best[name] for name in sorted(best)]

    def service_grants(self, customer: str, service: str) -> list[Grant]:
        """Targets of a plain service that a customer may call."""
        best: dict[str, Grant] = {}
        for name in self._terms_by_customer.get(customer, []):
            terms = self.terms[name]
            for target_name in terms.targets:
                target = self.targets.get(target_name)
                if target is None or target.withdrawn or target.owner != terms.owner:
                    continue
                if target.service == service:
                    _keep_best(best, Grant(target_name, name, terms.priority, ""))
        return [best[name] for name in sorted(best)]

    def grant_for(
        self, customer: str, target: str, model: str, adapter: str, service: str
    ) -> Grant | None:
        """The grant that lets a customer use one target, or None."""
        if model:
            grants = self.model_grants(customer, model, adapter)
        else:
            grants = self.service_grants(customer, service)
        for grant in grants:
            if grant.target == target:
                return grant
        return None

    def models_for(self, customer: str) -> list[str]:
        """Model names that a customer may use, adapters as ``model:adapter``."""
        names: set[str] = set()
        for terms_name in self._terms_by_customer.get(customer, []):
            terms = self.terms[terms_name]
            for model in terms.models:
                for adapter in ["", *terms.adapters]:
                    if self.model_grants(customer, model, adapter):
                        names.add(f"{model}:{adapter}" if adapter else model)
        return sorted(names)

    def _model_grant(
        self, name: str, terms: Terms, target_name: str, model: str, adapter: str
    ) -> Grant | None:
        target = self.targets.get(target_name)
        if target is None or target.withdrawn or target.owner != terms.owner:
            return None
        version = target.version_of(model)
        if version is None or not target.has_adapter(model, adapter):
            return None
        if not terms.allows_model(model, adapter, version):
            return None
        return Grant(target_name, name, terms.priority, version)


def _keep_best(best: dict[str, Grant], grant: Grant) -> None:
    current = best.get(grant.target)
    if current is None or grant.priority < current.priority:
        best[grant.target] = grant
