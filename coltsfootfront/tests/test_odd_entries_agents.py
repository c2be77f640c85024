"""Tests that odd values of other writers do not end the loops of routers with agents."""

import json
import unittest
import zlib
from typing import Any

from hypothesis import example, given, settings
from returns.result import Failure as Failed

from coltsfootfront.common.errors import FailureError
from coltsfootfront.configuration.document import Document
from coltsfootfront.configuration.entries import EntriesError, unpack
from coltsfootfront.configuration.records import RevisionRecord
from coltsfootfront.keyvalue import etcd
from coltsfootfront.keyvalue.etcd import EtcdStore
from coltsfootfront.peers.messages import MessageError, decode
from coltsfootfront.peers.vmlist import HttpVmList
from coltsfootfront.targets import openaiengine
from coltsfootfront.tests.oddvalues import DEEP_JSON, DEEP_MSGPACK, json_like, msgpack_like, to_json
from coltsfootfront.tests.test_odd_entries import OddValuesCase, start_server

repeatable = settings(derandomize=True, deadline=None, max_examples=200)

RECORD = {
    "revision": 1,
    "parent": "",
    "digest": "ab",
    "chunks": ["ab"],
    "operation_id": "o",
    "operator": "a",
    "time": "2026-01-01T00:00:00Z",
    "restored": 0,
}
KEY_VALUE = {"key": "YQ==", "value": "YQ==", "create_revision": "1", "mod_revision": "1"}
WATCH_MESSAGE = {"result": {"events": [{"kv": KEY_VALUE}]}}
HEARTBEAT = {"t": "greet", "call": 1, "name": "n", "role": "router", "data_centre": "d", "rev": 1}
CACHE_EVENT = {"incarnation": "i", "seq": 1, "kind": "stored", "keys": ["00"]}


class OddStoredValuesTest(OddValuesCase):
    @repeatable
    @given(json_like(RECORD))
    @example(DEEP_JSON)
    @example(to_json(RECORD | {"revision": 10**400}))
    def test_odd_record_is_refused(self, data: bytes) -> None:
        """Guards against a head that ends the watch with an error nothing names."""
        try:
            record = RevisionRecord.decode(data)
        except ValueError:
            return
        self.check_sane([record.revision, record.restored, record.chunks])
        json.loads(record.encode())

    @repeatable
    @given(json_like(WATCH_MESSAGE))
    @example(DEEP_JSON)
    @example(to_json({"result": {"events": [{"kv": KEY_VALUE | {"mod_revision": "@exponent"}}]}}))
    def test_odd_message_of_a_watch_ends_it_with_a_reason(self, line: bytes) -> None:
        """Guards against a message of the store that ends the loop of the watch."""
        try:
            etcd._watch_events(line)
        except (ValueError, FailureError):
            pass

    def test_events_around_an_odd_one_are_read(self) -> None:
        """Guards against one event that loses the others of its message."""
        odd: Any
        for odd in (None, 1, {}, {"kv": []}, {"kv": {"key": 1}}):
            events = [{"kv": KEY_VALUE}, odd, {"kv": KEY_VALUE | {"key": "Yg=="}}]
            line = json.dumps({"result": {"events": events}}).encode()
            self.assertEqual(["a", "b"], [found.key for found in etcd._watch_events(line)])

    @repeatable
    @given(json_like({"name": "a"}))
    @example(DEEP_JSON)
    def test_odd_entry_of_a_document_is_refused(self, value: bytes) -> None:
        """Guards against an entry that ends the exchange of configurations with a peer."""
        try:
            Document.empty().with_changes({"owners/a": value}, [])
        except ValueError:
            pass

    @repeatable
    @given(msgpack_like(HEARTBEAT))
    @example(DEEP_MSGPACK)
    def test_odd_message_of_a_peer_is_refused(self, data: bytes) -> None:
        """Guards against a message that ends more than its connection."""
        try:
            decode(data)
        except MessageError:
            pass

    @repeatable
    @given(msgpack_like({"a/b": b"{}"}))
    @example(DEEP_MSGPACK)
    def test_odd_packed_entries_are_refused(self, data: bytes) -> None:
        """Guards against a delta that ends the exchange of configurations with a peer."""
        try:
            unpack(zlib.compress(data))
        except EntriesError:
            pass

    @repeatable
    @given(json_like(CACHE_EVENT))
    @example(DEEP_JSON)
    @example(to_json(CACHE_EVENT | {"seq": "@exponent"}))
    def test_odd_cache_event_is_a_failure_of_the_engine(self, data: bytes) -> None:
        """Guards against an event that ends the following of an engine's cache."""
        try:
            found = openaiengine._parse_cache_event(openaiengine._parse_object(data))
        except FailureError:
            return
        self.check_sane(found.seq)


class OddAnswersTest(unittest.IsolatedAsyncioTestCase):
    async def test_odd_list_of_vms_is_a_failure(self) -> None:
        """Guards against a list that ends the loop of the membership."""
        for data in (DEEP_JSON, b"9" * 5000, b"\xff"):
            runner, address = await start_server(data, "application/json")
            self.addAsyncCleanup(runner.cleanup)
            vm_list = HttpVmList(f"http://{address}")
            await vm_list.start()
            self.addAsyncCleanup(vm_list.close)
            self.assertIsInstance(await vm_list.read(), Failed)

    async def test_odd_answer_of_the_store_is_a_failure(self) -> None:
        """Guards against an answer that ends a loop which calls the store."""
        kvs = [KEY_VALUE | {"mod_revision": "@exponent"}]
        odd = (DEEP_JSON, to_json({"header": {}, "kvs": kvs}), to_json({"header": {}, "kvs": [[]]}))
        for data in odd:
            runner, address = await start_server(data, "application/json")
            self.addAsyncCleanup(runner.cleanup)
            store = EtcdStore(f"http://{address}", 1.0)
            await store.start()
            self.addAsyncCleanup(store.close)
            self.assertIsInstance(await store.get("a"), Failed)
            self.assertIsInstance(await store.list_prefix("a"), Failed)
            self.assertIsInstance(await store.grant_lease(1.0), Failed)


if __name__ == "__main__":
    unittest.main()
