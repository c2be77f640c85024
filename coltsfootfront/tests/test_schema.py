"""Tests of the validation of documents."""

import copy
import json
import unittest
from collections.abc import Callable
from pathlib import Path
from typing import Any

from coltsfootfront.common.settings import (
    AdminSettings,
    AgentSettings,
    OperatorSettings,
    RouterSettings,
    load,
)
from coltsfootfront.configuration import schema
from coltsfootfront.configuration.document import Document
from coltsfootfront.configuration.entries import split_document
from coltsfootfront.serving.authentication import hash_key

ROOT = Path(__file__).resolve().parents[2]
EXAMPLES = ROOT / "examples"
DEPLOYMENTS = ("agency", "granite")

Json = dict[str, Any]


def example(deployment: str = "agency") -> Json:
    """One of the example documents."""
    document: Json = json.loads((EXAMPLES / deployment / "document.json").read_text())
    return document


class ExamplesTest(unittest.TestCase):
    """The example documents and settings."""

    def test_documents_are_valid_and_complete(self) -> None:
        """Guards against examples that no longer fit the schema or the deployments."""
        for deployment in DEPLOYMENTS:
            with self.subTest(deployment=deployment):
                content = example(deployment)
                self.assertEqual([], schema.validate(content))
                document = Document.empty().with_changes(split_document(content), [])
                self.assertEqual(8, len(document.customers))
                kinds = [document.services[item.service].kind for item in document.targets.values()]
                counts = {kind: kinds.count(kind) for kind in ("engine", "service", "kept_cache")}
                self.assertEqual({"engine": 6, "service": 3, "kept_cache": 1}, counts)
                self.assertGreaterEqual(len({item.owner for item in document.terms.values()}), 2)

    def test_example_keys(self) -> None:
        """Guards against example keys that nobody can use."""
        for deployment in DEPLOYMENTS:
            document = Document.empty().with_changes(split_document(example(deployment)), [])
            for customer in document.customers:
                with self.subTest(deployment=deployment, customer=customer):
                    key_hash = hash_key(f"{customer}-example-key")
                    self.assertEqual(customer, document.customer_for_key(key_hash))
                    self.assertTrue(document.models_for(customer))

    def test_settings_are_valid(self) -> None:
        """Guards against example settings that a program refuses."""
        for deployment in DEPLOYMENTS:
            folder = EXAMPLES / deployment
            load(folder / "router.toml", RouterSettings)
            agent = load(folder / "agent.toml", AgentSettings)
            load(folder / "admin.toml", AdminSettings)
            load(folder / "operator.toml", OperatorSettings)
            self.assertIn(agent.target, example(deployment)["targets"])


Edit = Callable[[Json], Any]


class FaultsTest(unittest.TestCase):
    """Faulty documents and the place that the message names."""

    def fault_of(self, edit: Edit) -> schema.Fault:
        """The only or first fault after an edit of the example."""
        document = copy.deepcopy(example())
        edit(document)
        faults = schema.validate(document)
        self.assertTrue(faults)
        return faults[0]

    def test_faults(self) -> None:
        """Guards against faults that pass, and against messages that do not name the place."""
        terms = "assessment-dossiers"
        same_hash = hash_key("archive-example-key")
        table: tuple[tuple[Edit, tuple[str, str, str, str]], ...] = (
            (lambda d: d.update(extra={}), ("extra", "", "", "one of customers")),
            (
                lambda d: d["models"]["label-small"].update(blok=1),
                ("models", "label-small", "blok", "block_bytes"),
            ),
            (lambda d: d["owners"].update({"A b": {}}), ("owners", "A b", "", "a-z")),
            (lambda d: d["owners"].update({"a\n": {}}), ("owners", "a\n", "", "a-z")),
            (
                lambda d: d["customers"]["archive"].pop("key_hashes"),
                ("customers", "archive", "key_hashes", "value"),
            ),
            (
                lambda d: d["terms"][terms].update(priority=10),
                ("terms", terms, "priority", "from 0 to 9"),
            ),
            (
                lambda d: d["targets"]["assessor-1"].update(slots=8.0),
                ("targets", "assessor-1", "slots", "integer"),
            ),
            (
                lambda d: d["targets"]["assessor-1"].update(slots=True),
                ("targets", "assessor-1", "slots", "integer"),
            ),
            (
                lambda d: d["targets"]["assessor-1"].update(owner="nobody"),
                ("targets", "assessor-1", "owner", "assessment"),
            ),
            (
                lambda d: d["targets"]["assessor-1"].update(service="none"),
                ("targets", "assessor-1", "service", "assessor-models"),
            ),
            (
                lambda d: d["targets"]["assessor-1"].update(data_centre="moon"),
                ("targets", "assessor-1", "data_centre", "brasov-a"),
            ),
            (
                lambda d: d["targets"]["assessor-1"].update(agent_address="127.0.0.1:19102"),
                ("targets", "assessor-2", "agent_address", "assessor-1 has it"),
            ),
            (
                lambda d: d["targets"]["assessor-1"].update(agent_address="127.0.0.1:99999"),
                ("targets", "assessor-1", "agent_address", "65535"),
            ),
            (
                lambda d: d["targets"]["assessor-1"]["models"].append(
                    {"model": "other", "version": "v1"}
                ),
                ("targets", "assessor-1", "models.2.model", "dossier-large"),
            ),
            (
                lambda d: d["targets"]["prompt-keep-1"].update(
                    models=[{"model": "label-small", "version": "v1"}]
                ),
                ("targets", "prompt-keep-1", "models", "no models"),
            ),
            (
                lambda d: d["terms"][terms]["targets"].append("assessor-2"),
                ("terms", terms, "targets", "targets of assessment"),
            ),
            (
                lambda d: d["terms"][terms]["targets"].append("gone"),
                ("terms", terms, "targets", "assessor-1"),
            ),
            (
                lambda d: d["terms"][terms]["customers"].append("gone"),
                ("terms", terms, "customers", "archive"),
            ),
            (
                lambda d: d["terms"][terms]["models"].append("gone"),
                ("terms", terms, "models", "dossier-large"),
            ),
            (
                lambda d: d["regions"]["ro-moldova"]["data_centres"].append("sibiu-a"),
                ("regions", "ro-moldova", "data_centres", "ro-centru"),
            ),
            (
                lambda d: d["customers"]["sleep-panel"]["key_hashes"].append(same_hash),
                ("customers", "archive", "key_hashes", "sleep-panel"),
            ),
            (
                lambda d: d["operators"]["duty"].update(may_apply=False),
                ("operators", "", "may_apply", "at least one"),
            ),
            (lambda d: d["policy"].update(other={}), ("policy", "other", "", "default")),
            (
                lambda d: d["terms"][terms].update(
                    targets=[f"t-{number:050d}" for number in range(6000)]
                ),
                ("terms", terms, "", "bytes in one entry"),
            ),
        )
        for edit, (section, entry, key, allowed) in table:
            with self.subTest(section=section, entry=entry, key=key, allowed=allowed):
                fault = self.fault_of(edit)
                self.assertEqual((section, entry, key), (fault.section, fault.entry, fault.key))
                self.assertIn(allowed, fault.allowed)
                self.assertNotIn("\n", str(fault))

    def test_not_a_document(self) -> None:
        """Guards against a crash on JSON that is not an object of objects."""
        values: tuple[Any, ...] = (None, [], 3, "x", {"owners": 1}, {"owners": {"a": 1}})
        for value in values:
            with self.subTest(value=value):
                self.assertTrue(schema.validate(value))

    def test_strict_json(self) -> None:
        """Guards against an entry that a second one of the same name hides, and against NaN."""
        for text in ('{"owners":{"a":{},"a":{}}}', '{"policy":{"default":{"hysteresis_s":NaN}}}'):
            with self.subTest(text=text), self.assertRaises(ValueError):
                schema.parse(text)


if __name__ == "__main__":
    unittest.main()
