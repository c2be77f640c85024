"""Tests of the active configuration and of its entries and deltas."""

import unittest
from dataclasses import replace

from coltsfootfront.configuration.activeconfiguration import RETAINED_DELTAS, ActiveConfiguration
from coltsfootfront.configuration.entries import (
    EntriesError,
    digest,
    join_document,
    pack,
    split_document,
    unpack,
)
from coltsfootfront.peers.messages import Delta


def _entries(count: int, contact: str = "a") -> dict[str, bytes]:
    return split_document(
        {"owners": {f"owner-{index}": {"contact": contact} for index in range(count)}}
    )


def _install(configuration: ActiveConfiguration, number: int, entries: dict[str, bytes]) -> bool:
    return configuration.install(number, entries, digest(entries))


class ActiveConfigurationTest(unittest.TestCase):
    def test_revision_never_decreases(self) -> None:
        """Guards against a stale value from the store or a peer replacing a newer one."""
        configuration = ActiveConfiguration()
        self.assertTrue(_install(configuration, 5, _entries(2)))
        cases = {
            "older": (4, _entries(1)),
            "same number, other content": (5, _entries(3)),
        }
        for name, (number, entries) in cases.items():
            with self.subTest(name):
                self.assertFalse(_install(configuration, number, entries))
                self.assertEqual(
                    (5, digest(_entries(2))), (configuration.number, configuration.digest)
                )

    def test_a_delta_leads_to_the_same_digest(self) -> None:
        """Guards against a peer whose content diverges when it applies deltas."""
        for behind in (1, 2, 3, 9):
            with self.subTest(behind=behind):
                ahead, peer = ActiveConfiguration(), ActiveConfiguration()
                for number in range(1, 10):
                    _install(ahead, number, _entries(10 - number, contact=str(number % 3)))
                    if number <= behind:
                        _install(peer, number, ahead.entries)
                delta = ahead.delta_since(peer.number, 0)
                self.assertEqual(behind != 9, peer.apply_delta(delta))
                self.assertEqual(ahead.digest, peer.digest)
                self.assertEqual(ahead.document.owners.keys(), peer.document.owners.keys())

    def test_an_entry_removed_and_added_again_is_kept(self) -> None:
        """Guards against a merged delta that removes what a later change added."""
        ahead, peer = ActiveConfiguration(), ActiveConfiguration()
        for number, count in ((1, 2), (2, 1), (3, 2)):
            _install(ahead, number, _entries(count))
            if number == 1:
                _install(peer, number, _entries(count))
        self.assertTrue(peer.apply_delta(ahead.delta_since(1, 0)))
        self.assertEqual(2, len(peer.entries))

    def test_a_peer_that_is_too_far_behind_gets_the_full_document(self) -> None:
        """Guards against a delta that lacks changes older than the retained deltas."""
        ahead, peer = ActiveConfiguration(), ActiveConfiguration()
        _install(peer, 1, _entries(1))
        for number in range(1, RETAINED_DELTAS + 5):
            _install(ahead, number, _entries(number))
        delta = ahead.delta_since(1, 0)
        self.assertEqual(0, delta.base)
        self.assertTrue(peer.apply_delta(delta))
        self.assertEqual(ahead.digest, peer.digest)

    def test_damaged_deltas_change_nothing(self) -> None:
        """Guards against a damaged or mismatching delta becoming active."""
        ahead, peer = ActiveConfiguration(), ActiveConfiguration()
        _install(ahead, 1, _entries(1))
        _install(peer, 1, _entries(1))
        _install(ahead, 2, _entries(2))
        good = ahead.delta_since(1, 0)
        cases: dict[str, Delta] = {
            "not compressed": replace(good, put=b"x"),
            "other content": replace(good, put=pack(_entries(3))),
            "other base": replace(good, base=7),
            "wrong digest": replace(good, digest="0" * 64),
        }
        for name, delta in cases.items():
            with self.subTest(name):
                self.assertFalse(peer.apply_delta(delta))
                self.assertEqual(1, peer.number)

    def test_changes_are_announced(self) -> None:
        """Guards against components of a process that keep using an old document."""
        configuration = ActiveConfiguration()
        seen: list[int] = []
        configuration.changes.subscribe(lambda active: seen.append(active.number))
        _install(configuration, 3, _entries(1))
        self.assertEqual([0, 3], seen)


class EntriesTest(unittest.TestCase):
    def test_split_and_join_are_inverse(self) -> None:
        """Guards against losing parts of a document when it is stored."""
        document = {"owners": {"a": {"contact": "é"}}, "terms": {"t/1": {"owner": "a"}}}
        self.assertEqual(document, join_document(split_document(document)))

    def test_packed_entries_are_checked(self) -> None:
        """Guards against accepting data from the store or a peer that is not a map of entries."""
        import zlib

        import msgpack

        for name, plain in {"list": [1], "keys": {1: b""}, "values": {"a": "b"}}.items():
            with self.subTest(name), self.assertRaises(EntriesError):
                unpack(zlib.compress(msgpack.packb(plain)))
