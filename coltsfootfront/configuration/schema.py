"""Validation of the configuration document: JSON Schema and cross-checks.

Each fault names section, entry, key, value and what is allowed.
"""

import itertools
import json
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Any

from jsonschema import Draft202012Validator, validators
from jsonschema.exceptions import ValidationError

from coltsfootfront.configuration.document import (
    KIND_ENGINE,
    KIND_KEPT_CACHE,
    KIND_SERVICE,
    SECTIONS,
)
from coltsfootfront.configuration.entries import canonical_json, pack, split_document

# The store takes values up to 1 MB; a chunk holds at least one whole entry and stays below
# 512 KiB.
MAX_ENTRY_BYTES = 256 * 1024
# The packed document travels in one frame of at most 4 MiB.
MAX_PACKED_BYTES = 3 * 1024 * 1024
MAX_FAULTS = 20
# Faults collected before they are sorted and cut; bounds the work for a useless document.
MAX_COLLECTED = 1000
MAX_SHOWN_CHARACTERS = 80

# ``$`` alone also matches before a final line break in Python's regular expressions.
NAME_PATTERN = r"^[a-z0-9][a-z0-9._-]{0,62}$(?!\n)"
KEY_HASH_PATTERN = r"^[0-9a-f]{64}$(?!\n)"
ADDRESS_PATTERN = r"^[0-9A-Za-z.:\[\]-]+:[0-9]{1,5}$(?!\n)"
PATH_PATTERN = r"^/"

Json = dict[str, Any]


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault of a document.

    :param entry: entry name, empty when the section itself is at fault.
    :param key: path of the key within the entry, empty for the entry itself.
    :param value: the value found, shortened.
    :param allowed: what is allowed instead.
    """

    section: str
    entry: str
    key: str
    value: str
    allowed: str

    def __str__(self) -> str:
        parts = [_one_line(part) for part in (self.section, self.entry) if part]
        place = "/".join(parts) or "document"
        key = f": {_one_line(self.key)}" if self.key else ""
        return f"{place}{key} = {self.value}: allowed: {self.allowed}"

    def as_json(self) -> dict[str, str]:
        """JSON form."""
        return {
            "section": self.section,
            "entry": self.entry,
            "key": self.key,
            "value": self.value,
            "allowed": self.allowed,
        }


def _text(pattern: str, allowed: str) -> Json:
    return {"type": "string", "pattern": pattern, "description": allowed}


def _whole(minimum: int, maximum: int) -> Json:
    return {"type": "integer", "minimum": minimum, "maximum": maximum}


def _number(minimum: float, maximum: float) -> Json:
    return {"type": "number", "minimum": minimum, "maximum": maximum}


def _list(items: Json, minimum: int = 0) -> Json:
    return {"type": "array", "items": items, "minItems": minimum, "uniqueItems": True}


def _entry(required: list[str], **properties: Json) -> Json:
    return {
        "type": "object",
        "properties": properties,
        "required": required,
        "additionalProperties": False,
    }


_NAME = _text(NAME_PATTERN, "1 to 63 of a-z 0-9 . _ - beginning with a letter or digit")
_HASH = _text(KEY_HASH_PATTERN, "SHA-256 of the key as 64 hexadecimal digits")
_ADDRESS = _text(ADDRESS_PATTERN, "host:port")
_PATH = _text(PATH_PATTERN, "a path that begins with /")
_BOOLEAN: Json = {"type": "boolean"}

_ENTRIES: dict[str, Json] = {
    "owners": _entry([], contact={"type": "string", "maxLength": 200}),
    "regions": _entry(
        ["data_centres"],
        data_centres=_list(_NAME, 1),
        link_bytes_per_s=_whole(1, 10**11),
    ),
    "models": _entry([], block_bytes=_whole(16, 1024 * 1024), max_output_tokens=_whole(1, 10**6)),
    "services": _entry(
        ["kind"],
        kind={"enum": [KIND_ENGINE, KIND_SERVICE, KIND_KEPT_CACHE]},
        idempotent_paths=_list(_PATH),
    ),
    "customers": _entry(
        ["key_hashes"],
        key_hashes=_list(_HASH),
        weight=_number(0.01, 1000),
        requests_per_s=_number(0.01, 100_000),
        max_running=_whole(1, 10_000),
        max_queued=_whole(0, 10_000),
    ),
    "targets": _entry(
        ["owner", "service", "data_centre", "agent_address"],
        owner=_NAME,
        service=_NAME,
        data_centre=_NAME,
        agent_address=_ADDRESS,
        slots=_whole(1, 1024),
        models=_list(
            _entry(["model", "version"], model=_NAME, version=_NAME, adapters=_list(_NAME))
        ),
        checks_fencing=_BOOLEAN,
        role={"enum": ["serve", "prefill", "decode"]},
        withdrawn=_BOOLEAN,
    ),
    "terms": _entry(
        ["owner", "customers", "targets"],
        owner=_NAME,
        customers=_list(_NAME, 1),
        targets=_list(_NAME, 1),
        models=_list(_NAME),
        adapters=_list(_NAME),
        versions=_list(_NAME),
        priority=_whole(0, 9),
        max_running=_whole(1, 10_000),
    ),
    "policy": _entry(
        [],
        hysteresis_s=_number(0, 60),
        recompute_weight=_number(0, 100),
        cross_region_s=_number(0, 600),
    ),
    "operators": _entry(["key_hash"], key_hash=_HASH, may_apply=_BOOLEAN),
}


def _section(section: str) -> Json:
    names: Json = {"enum": ["default"]} if section == "policy" else _NAME
    return {
        "type": "object",
        "propertyNames": names,
        "additionalProperties": _ENTRIES[section],
    }


SCHEMA: Json = {
    "$schema": "https://json-schema.org/draft/2020-12/schema",
    "title": "Configuration document of coltsfootfront",
    "type": "object",
    "properties": {section: _section(section) for section in SECTIONS},
    "additionalProperties": False,
}


def _is_integer(_: Any, value: Any) -> bool:
    # JSON Schema takes 8.0 for an integer, the typed document does not.
    return isinstance(value, int) and not isinstance(value, bool)


_VALIDATOR = validators.extend(
    Draft202012Validator,
    type_checker=Draft202012Validator.TYPE_CHECKER.redefine("integer", _is_integer),
)(SCHEMA)


class DuplicateKeyError(ValueError):
    """A JSON object names a key twice."""


def parse(text: str | bytes) -> Any:
    """Decode JSON strictly: no key twice, no NaN or infinity.

    :raises ValueError: the text is not JSON; the message is one line.
    """
    return json.loads(text, object_pairs_hook=_without_duplicates, parse_constant=_no_constant)


def _without_duplicates(pairs: list[tuple[str, Any]]) -> Json:
    value = dict(pairs)
    if len(value) < len(pairs):
        names = [name for name, _ in pairs]
        twice = next(name for name in names if names.count(name) > 1)
        raise DuplicateKeyError(f"key {twice!r} occurs twice in one object")
    return value


def _no_constant(name: str) -> Any:
    raise ValueError(f"{name} is not a JSON number")


def validate(document: Any) -> list[Fault]:
    """Check a document.

    :param document: decoded JSON.
    :returns: faults, at most ``MAX_FAULTS``; empty for a valid document.
    """
    errors = itertools.islice(_VALIDATOR.iter_errors(document), MAX_COLLECTED)
    faults = list(map(_fault, errors))
    if not faults:
        faults = list(itertools.islice(_cross_check(document), MAX_COLLECTED))
    # The library's order differs from run to run.
    return sorted(faults, key=str)[:MAX_FAULTS]


def _shown(value: Any) -> str:
    text = canonical_json(value).decode()
    if len(text) <= MAX_SHOWN_CHARACTERS:
        return text
    return text[: MAX_SHOWN_CHARACTERS - 3] + "..."


def _one_line(name: str) -> str:
    return json.dumps(name)[1:-1][:MAX_SHOWN_CHARACTERS]


def _fault(error: ValidationError) -> Fault:
    path = [str(part) for part in error.absolute_path]
    section = path[0] if path else ""
    entry = path[1] if len(path) > 1 else ""
    key = ".".join(path[2:])
    value = error.instance
    schema = error.schema if isinstance(error.schema, dict) else {}
    if error.validator == "additionalProperties":
        allowed_keys = sorted(schema.get("properties", {}))
        unknown = sorted(set(value) - set(allowed_keys))[0]
        key = ".".join(part for part in (key, unknown) if part)
        if not section:
            section, key = unknown, ""
        return Fault(
            section, entry, key, _shown(value[unknown]), f"one of {', '.join(allowed_keys)}"
        )
    if error.validator == "required":
        missing = next(name for name in error.validator_value if name not in value)
        key = ".".join(part for part in (key, missing) if part)
        return Fault(section, entry, key, "missing", "a value")
    if "propertyNames" in error.absolute_schema_path:
        entry = str(value)
    return Fault(section, entry, key, _shown(value), _allowed(error, schema))


def _allowed(error: ValidationError, schema: Json) -> str:
    if "enum" in schema:
        return "one of " + ", ".join(map(str, schema["enum"]))
    if "description" in schema:
        return str(schema["description"])
    if "minimum" in schema:
        return f"{schema['type']} from {schema['minimum']} to {schema['maximum']}"
    if error.validator == "minItems":
        return f"at least {schema['minItems']} item"
    if error.validator == "uniqueItems":
        return "items that differ from each other"
    if error.validator == "maxLength":
        return f"at most {schema['maxLength']} characters"
    return str(schema.get("type", error.validator))


def _cross_check(document: Mapping[str, Any]) -> Iterator[Fault]:
    yield from _check_sizes(document)
    yield from _check_regions(document)
    yield from _check_targets(document)
    yield from _check_terms(document)
    yield from _check_key_hashes(document)
    yield from _check_operators(document)


def _names(document: Mapping[str, Any], section: str) -> dict[str, Any]:
    names: dict[str, Any] = document.get(section, {})
    return names


def _known(names: Mapping[str, Any]) -> str:
    shown = sorted(names)[:8]
    more = f" and {len(names) - 8} more" if len(names) > 8 else ""
    return f"one of {', '.join(shown)}{more}" if shown else "nothing, since none is defined"


def _check_sizes(document: Mapping[str, Any]) -> Iterator[Fault]:
    entries = split_document(document)
    for key, value in entries.items():
        if len(value) > MAX_ENTRY_BYTES:
            section, _, name = key.partition("/")
            allowed = f"at most {MAX_ENTRY_BYTES} bytes in one entry"
            yield Fault(section, name, "", f"{len(value)} bytes", allowed)
    packed_bytes = len(pack(entries))
    if packed_bytes > MAX_PACKED_BYTES:
        allowed = f"at most {MAX_PACKED_BYTES} bytes compressed"
        yield Fault("", "", "", f"{packed_bytes} bytes compressed", allowed)


def _check_regions(document: Mapping[str, Any]) -> Iterator[Fault]:
    region_by_data_centre: dict[str, str] = {}
    for name, region in _names(document, "regions").items():
        for data_centre in region["data_centres"]:
            other = region_by_data_centre.setdefault(data_centre, name)
            if other != name:
                allowed = f"a data centre in one region only, it is in {other} as well"
                yield Fault("regions", name, "data_centres", _shown(data_centre), allowed)


def _check_targets(document: Mapping[str, Any]) -> Iterator[Fault]:
    owners = _names(document, "owners")
    services = _names(document, "services")
    data_centres = {
        data_centre: name
        for name, region in _names(document, "regions").items()
        for data_centre in region["data_centres"]
    }
    addresses: dict[str, str] = {}
    for name, target in _names(document, "targets").items():
        for key, known in (
            ("owner", owners),
            ("service", services),
            ("data_centre", data_centres),
        ):
            if target[key] not in known:
                yield Fault("targets", name, key, _shown(target[key]), _known(known))
        address = target["agent_address"]
        other = addresses.setdefault(address, name)
        if other != name:
            allowed = f"an address of its own, {other} has it"
            yield Fault("targets", name, "agent_address", _shown(address), allowed)
        if int(address.rpartition(":")[2]) > 65535:
            yield Fault("targets", name, "agent_address", _shown(address), "a port up to 65535")
        yield from _check_loaded_models(document, name, target)


def _check_loaded_models(document: Mapping[str, Any], name: str, target: Json) -> Iterator[Fault]:
    models = _names(document, "models")
    loaded = target.get("models", [])
    kind = _names(document, "services").get(target["service"], {}).get("kind")
    if kind not in (None, KIND_ENGINE) and loaded:
        yield Fault("targets", name, "models", _shown(loaded), "no models, the service has none")
    seen: set[str] = set()
    for number, item in enumerate(loaded):
        key = f"models.{number}.model"
        if item["model"] not in models:
            yield Fault("targets", name, key, _shown(item["model"]), _known(models))
        if item["model"] in seen:
            yield Fault("targets", name, key, _shown(item["model"]), "each model once")
        seen.add(item["model"])


def _check_terms(document: Mapping[str, Any]) -> Iterator[Fault]:
    owners = _names(document, "owners")
    customers = _names(document, "customers")
    models = _names(document, "models")
    for name, terms in _names(document, "terms").items():
        if terms["owner"] not in owners:
            yield Fault("terms", name, "owner", _shown(terms["owner"]), _known(owners))
        for key, known in (("customers", customers), ("models", models)):
            for value in terms.get(key, []):
                if value not in known:
                    yield Fault("terms", name, key, _shown(value), _known(known))
        yield from _check_lent_targets(document, name, terms)


def _check_lent_targets(document: Mapping[str, Any], name: str, terms: Json) -> Iterator[Fault]:
    targets = _names(document, "targets")
    owned = {key: value for key, value in targets.items() if value["owner"] == terms["owner"]}
    for target in terms["targets"]:
        if target not in targets:
            yield Fault("terms", name, "targets", _shown(target), _known(targets))
        elif target not in owned:
            allowed = f"targets of {terms['owner']}: {_known(owned)}"
            yield Fault("terms", name, "targets", _shown(target), allowed)


def _check_key_hashes(document: Mapping[str, Any]) -> Iterator[Fault]:
    holders: dict[str, str] = {}
    for name, customer in _names(document, "customers").items():
        for key_hash in customer["key_hashes"]:
            other = holders.setdefault(key_hash, name)
            if other != name:
                allowed = f"a key of one customer only, {other} has it as well"
                yield Fault("customers", name, "key_hashes", _shown(key_hash), allowed)


def _check_operators(document: Mapping[str, Any]) -> Iterator[Fault]:
    operators = _names(document, "operators")
    holders: dict[str, str] = {}
    for name, operator in operators.items():
        other = holders.setdefault(operator["key_hash"], name)
        if other != name:
            allowed = f"a key of one operator only, {other} has it as well"
            yield Fault("operators", name, "key_hash", _shown(operator["key_hash"]), allowed)
    if operators and not any(operator.get("may_apply", True) for operator in operators.values()):
        yield Fault("operators", "", "may_apply", "false", "at least one operator that may apply")
