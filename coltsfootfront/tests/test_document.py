"""Tests of the typed document: who may use which target."""

import unittest
from typing import Any

from coltsfootfront.configuration.document import Document
from coltsfootfront.configuration.entries import split_document

TARGET = {
    "owner": "lab",
    "service": "models",
    "data_centre": "dc-1",
    "agent_address": "127.0.0.1:1",
    "models": [{"model": "m", "version": "v1", "adapters": ["ro"]}],
}
TERMS = {"owner": "lab", "customers": ["gate"], "targets": ["t1"], "models": ["m"], "priority": 4}


def _document(**changes: Any) -> Document:
    sections: dict[str, Any] = {
        "owners": {"lab": {}, "other": {}},
        "customers": {"gate": {"key_hashes": ["h"]}, "trial": {"key_hashes": []}},
        "targets": {"t1": TARGET},
        "terms": {"a": TERMS},
    }
    sections.update(changes)
    return Document.empty().with_changes(split_document(sections), [])


class GrantTest(unittest.TestCase):
    def test_terms_decide_who_is_served(self) -> None:
        """Guards against a target serving anyone its owner did not agree to serve."""
        cases: list[tuple[str, Document, tuple[str, str, str], int]] = [
            ("allowed", _document(), ("gate", "m", ""), 1),
            ("other customer", _document(), ("trial", "m", ""), 0),
            ("other model", _document(), ("gate", "n", ""), 0),
            ("adapter not in the terms", _document(), ("gate", "m", "ro"), 0),
            (
                "adapter not on the target",
                _document(terms={"a": {**TERMS, "adapters": ["xx"]}}),
                ("gate", "m", "xx"),
                0,
            ),
            (
                "adapter in both",
                _document(terms={"a": {**TERMS, "adapters": ["ro"]}}),
                ("gate", "m", "ro"),
                1,
            ),
            (
                "version not in the terms",
                _document(terms={"a": {**TERMS, "versions": ["v2"]}}),
                ("gate", "m", ""),
                0,
            ),
            (
                "terms of another owner",
                _document(terms={"a": {**TERMS, "owner": "other"}}),
                ("gate", "m", ""),
                0,
            ),
            (
                "withdrawn target",
                _document(targets={"t1": {**TARGET, "withdrawn": True}}),
                ("gate", "m", ""),
                0,
            ),
        ]
        for name, document, request, expected in cases:
            with self.subTest(name):
                self.assertEqual(expected, len(document.model_grants(*request)))

    def test_the_most_urgent_terms_win(self) -> None:
        """Guards against a request that is queued behind others its terms put after it."""
        document = _document(terms={"a": TERMS, "b": {**TERMS, "priority": 1}})
        self.assertEqual([1], [grant.priority for grant in document.model_grants("gate", "m", "")])

    def test_removed_terms_end_the_grant(self) -> None:
        """Guards against a removed entry that stays in force."""
        changed = _document().with_changes({}, ["terms/a"])
        self.assertEqual([], changed.model_grants("gate", "m", ""))

    def test_unknown_fields_are_ignored(self) -> None:
        """Guards against an older program that fails on a newer document."""
        document = _document(targets={"t1": {**TARGET, "later": 1}})
        self.assertEqual(1, len(document.model_grants("gate", "m", "")))
