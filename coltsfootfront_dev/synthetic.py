"""Documents of any size, for measurements of what the configuration costs."""

import hashlib
from typing import Any

from coltsfootfront.configuration.entries import Entries, split_document

CUSTOMERS = 440
TARGETS = 1400
REGIONS = 5
DATA_CENTRES = 12
OWNERS = 24
MODELS = 4
TARGETS_PER_TERMS = 20
CUSTOMERS_PER_TERMS = 10


def document(customers: int = CUSTOMERS, targets: int = TARGETS, terms: int = -1) -> dict[str, Any]:
    """Build a document with the proportions of the scale target.

    :param terms: number of terms; by default one for each group of targets and of customers.
    """
    if terms < 0:
        terms = (targets // TARGETS_PER_TERMS) * max(customers // CUSTOMERS_PER_TERMS // 4, 1)
    return {
        "owners": {f"owner-{n}": {"contact": f"owner-{n}@example.net"} for n in range(OWNERS)},
        "regions": {
            f"region-{n}": {
                "data_centres": [f"dc-{dc}" for dc in range(DATA_CENTRES) if dc % REGIONS == n],
                "link_bytes_per_s": 1_875_000,
            }
            for n in range(REGIONS)
        },
        "models": {f"model-{n}": {"block_bytes": 4000} for n in range(MODELS)},
        "services": {f"llm-{n}": {"kind": "engine"} for n in range(MODELS)},
        "customers": {f"customer-{n}": _customer(n) for n in range(customers)},
        "targets": {f"target-{n}": _target(n) for n in range(targets)},
        "terms": {f"terms-{n}": _terms(n, customers, targets) for n in range(terms)},
        "policy": {"default": {"hysteresis_s": 0.02}},
        "operators": {"root": {"key_hash": hashlib.sha256(b"root").hexdigest()}},
    }


def entries(customers: int = CUSTOMERS, targets: int = TARGETS, terms: int = -1) -> Entries:
    """Build the entries of a document."""
    return split_document(document(customers, targets, terms))


def _customer(number: int) -> dict[str, Any]:
    digest = hashlib.sha256(f"customer-{number}".encode()).hexdigest()
    return {"key_hashes": [digest], "weight": 1.0, "requests_per_s": 50.0, "max_running": 16}


def _group(target: int) -> int:
    return target // TARGETS_PER_TERMS


def _target(number: int) -> dict[str, Any]:
    group = _group(number)
    model = f"model-{group % MODELS}"
    return {
        "owner": f"owner-{group % OWNERS}",
        "service": f"llm-{group % MODELS}",
        "data_centre": f"dc-{number % DATA_CENTRES}",
        "agent_address": f"10.{number // 250}.{number % 250}.7:8090",
        "slots": 8,
        "models": [{"model": model, "version": "v1", "adapters": ["labels", "reports"]}],
    }


def _terms(number: int, customers: int, targets: int) -> dict[str, Any]:
    groups = max(targets // TARGETS_PER_TERMS, 1)
    group = number % groups
    first = number // groups * CUSTOMERS_PER_TERMS + group * 7
    first_target = group * TARGETS_PER_TERMS
    last_target = min(first_target + TARGETS_PER_TERMS, targets)
    chosen = {(first + n) % customers for n in range(CUSTOMERS_PER_TERMS)} if customers else set()
    return {
        "owner": f"owner-{group % OWNERS}",
        "customers": [f"customer-{n}" for n in sorted(chosen)],
        "targets": [f"target-{n}" for n in range(first_target, last_target)],
        "models": [f"model-{group % MODELS}"],
        "adapters": ["labels"],
        "priority": number % 10,
    }
