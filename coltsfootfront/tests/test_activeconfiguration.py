"""Tests of the configuration in force and of its entries and deltas."""

import unittest
from dataclasses import replace

from coltsfootfront.configuration.entries import EntriesError, digest, join_document, pack, split_document, unpack
from coltsfootfront.configuration.activeconfiguration import KEPT_DELTAS, ActiveConfiguration
from coltsfootfront.peers.messages import Delta


def _entries(count: int, contact: str = "a") -> dict[str, bytes]:
    return split_document({"owners": {f"owner-{index}": {"contact": contact} for index in range(count)}})


def _adopt(revision: ActiveConfiguration, number: int, entries: dict[str, bytes]) -> bool:
    return revision.install(number, entries, digest(entries))


class RevisionTest(unittest.TestCase):
    def test_never_goes_back(self) -> None:
        """Guards against an older value of the store or of a peer replacing a newer one."""
        revision = ActiveConfiguration()
        self.assertTrue(_adopt(revision, 5, _entries(2)))
        cases = {
            "older": (4, _entries(1)),
            "same number, other content": (5, _entries(3)),
        }
        for name, (number, entries) in cases.items():
            with self.subTest(name):
                self.assertFalse(_adopt(revision, number, entries))
                self.assertEqual((5, digest(_entries(2))), (revision.number, revision.digest))

    def test_a_delta_leads_to_the_same_digest(self) -> None:
        """Guards against a peer that drifts away by applying deltas."""
        for behind in (1, 2, 3, 9):
            with self.subTest(behind=behind):
                ahead, peer = ActiveConfiguration(), ActiveConfiguration()
                for number in range(1, 10):
                    _adopt(ahead, number, _entries(10 - number, contact=str(number % 3)))
                    if number <= behind:
                        _adopt(peer, number, ahead.entries)
                delta = ahead.delta_since(peer.number, 0)
                self.assertEqual(behind != 9, peer.apply_delta(delta))
                self.assertEqual(ahead.digest, peer.digest)
                self.assertEqual(ahead.document.owners.keys(), peer.document.owners.keys())

    def test_an_entry_removed_and_added_again_is_kept(self) -> None:
        """Guards against a merged delta that removes what a later change added."""
        ahead, peer = ActiveConfiguration(), ActiveConfiguration()
        for number, count in ((1, 2), (2, 1), (3, 2)):
            _adopt(ahead, number, _entries(count))
            if number == 1:
                _adopt(peer, number, _entries(count))
        self.assertTrue(peer.apply_delta(ahead.delta_since(1, 0)))
        self.assertEqual(2, len(peer.entries))

    def test_a_peer_that_is_too_far_behind_gets_the_whole(self) -> None:
        """Guards against a gap in the kept deltas that would lose a change."""
        ahead, peer = ActiveConfiguration(), ActiveConfiguration()
        _adopt(peer, 1, _entries(1))
        for number in range(1, KEPT_DELTAS + 5):
            _adopt(ahead, number, _entries(number))
        delta = ahead.delta_since(1, 0)
        self.assertEqual(0, delta.base)
        self.assertTrue(peer.apply_delta(delta))
        self.assertEqual(ahead.digest, peer.digest)

    def test_damaged_deltas_change_nothing(self) -> None:
        """Guards against a damaged or mismatching delta being put in force."""
        ahead, peer = ActiveConfiguration(), ActiveConfiguration()
        _adopt(ahead, 1, _entries(1))
        _adopt(peer, 1, _entries(1))
        _adopt(ahead, 2, _entries(2))
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
        """Guards against parts of a process that keep working with an old document."""
        revision = ActiveConfiguration()
        seen: list[int] = []
        revision.changes.subscribe(lambda in_force: seen.append(in_force.number))
        _adopt(revision, 3, _entries(1))
        self.assertEqual([0, 3], seen)


class EntriesTest(unittest.TestCase):
    def test_split_and_join_are_inverse(self) -> None:
        """Guards against parts of a document that do not reach the store."""
        document = {"owners": {"a": {"contact": "é"}}, "terms": {"t/1": {"owner": "a"}}}
        self.assertEqual(document, join_document(split_document(document)))

    def test_packed_entries_are_checked(self) -> None:
        """Guards against values of the store or of a peer that are no entries."""
        import zlib

        import msgpack

        for name, plain in {"list": [1], "keys": {1: b""}, "values": {"a": "b"}}.items():
            with self.subTest(name), self.assertRaises(EntriesError):
                unpack(zlib.compress(msgpack.packb(plain)))
