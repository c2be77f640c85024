"""Tests of the administration API."""

import asyncio
import json
import unittest
from typing import Any
from unittest import mock

import aiohttp

from coltsfootfront.common.clock import SystemClock
from coltsfootfront.common.settings import AdminSettings
from coltsfootfront.operation.admin import Admin
from coltsfootfront.peers.connection import Connection
from coltsfootfront.peers.messages import Explain, ExplainReply, Status, StatusReply
from coltsfootfront.serving.authentication import hash_key
from coltsfootfront.tests.test_configuration_gossip import Node
from coltsfootfront.tests.test_schema import example
from coltsfootfront_dev.store import EtcdStandIn

KEY = "operator-example-key"
AUDITOR_KEY = "auditor-example-key"
BOOTSTRAP_KEY = "bootstrap-key"
MAX_BODY_BYTES = 100_000

Json = dict[str, Any]


class RouterStandIn(Node):
    """A router that also answers the requests of the administration API."""

    async def serve(self, connection: Connection) -> None:
        while True:
            message, revision = await connection.receive()
            await self.gossip.handle_client_message(connection, message, revision)
            if isinstance(message, Status):
                state = {"name": self.identity.name, "role": "router", "ready": True}
                state["revision"] = self.configuration.number
                await connection.send(StatusReply(message.call, json.dumps(state).encode()))
            elif isinstance(message, Explain):
                await connection.send(ExplainReply(message.call, message.body))


class AdminCase(unittest.IsolatedAsyncioTestCase):
    """Fixture: an instance of the API, a stand-in for the store, and a router as seed."""

    async def asyncSetUp(self) -> None:
        self.stand_in = EtcdStandIn()
        self.store_address = await self.stand_in.start("127.0.0.1:0")
        self.addAsyncCleanup(self.stand_in.close)
        self.router = RouterStandIn("router-1")
        await self.router.start([])
        self.addAsyncCleanup(self.router.close)
        self.admin = await self.make_admin("admin-1")

    async def make_admin(self, name: str) -> Admin:
        """Start an instance of the API."""
        settings = AdminSettings(
            name,
            "brasov-a",
            "s",
            f"http://{self.store_address}",
            http_address="127.0.0.1:0",
            seed_addresses=[self.router.address],
            bootstrap_key_hash=hash_key(BOOTSTRAP_KEY),
            max_body_bytes=MAX_BODY_BYTES,
            store_timeout_s=0.5,
            drain_wait_s=0,
        )
        admin = Admin(settings, SystemClock())
        await admin.start()
        self.addAsyncCleanup(admin.close)
        return admin

    async def call(
        self,
        method: str,
        path: str,
        body: Json | bytes | None = None,
        key: str = KEY,
        admin: Admin | None = None,
    ) -> tuple[int, Json]:
        """Call the API; return status and decoded body."""
        address = (admin or self.admin).address
        data = json.dumps(body).encode() if isinstance(body, dict) else body
        headers = {"Authorization": f"Bearer {key}"} if key else {}
        async with (
            aiohttp.ClientSession() as session,
            session.request(
                method, f"http://{address}{path}", data=data, headers=headers
            ) as response,
        ):
            answer: Json = await response.json()
            return response.status, answer

    async def apply(self, document: Json, expected: int, **fields: Any) -> tuple[int, Json]:
        """Apply a document, using the bootstrap key for the first one."""
        body = {"document": document, "expected_revision": expected, **fields}
        return await self.call("POST", "/v1/apply", body, KEY if expected else BOOTSTRAP_KEY)

    async def revision(self) -> int:
        """Active revision according to the API."""
        _, answer = await self.call("GET", "/v1/document")
        return int(answer["revision"])


class AdminTest(AdminCase):
    """Tests of the HTTP interface."""

    async def test_apply_is_pushed_to_the_seeds(self) -> None:
        """Guards against a change that reaches routers only by a watch or by periodic gossip."""
        status, answer = await self.apply(example(), 0)
        self.assertEqual((200, 1), (status, answer["revision"]))
        await self.router.wait_for_revision(1)
        status, answer = await self.call("POST", "/v1/drain", {"target": "assessor-1"})
        self.assertEqual((200, 2), (status, answer["revision"]))
        await self.router.wait_for_revision(2)
        self.assertTrue(self.router.configuration.document.targets["assessor-1"].withdrawn)
        status, answer = await self.call("POST", "/v1/drain", {"target": "assessor-1"})
        self.assertEqual((200, 2), (status, answer["revision"]))

    async def test_bootstrap_key_ends_with_the_first_operator(self) -> None:
        """Guards against a bootstrap key that stays valid."""
        status, _ = await self.call("GET", "/v1/document", key=BOOTSTRAP_KEY)
        self.assertEqual(200, status)
        await self.apply(example(), 0)
        status, answer = await self.call("GET", "/v1/document", key=BOOTSTRAP_KEY)
        self.assertEqual((401, "unauthenticated"), (status, answer["error"]["kind"]))

    async def test_bootstrap_key_needs_the_store(self) -> None:
        """Guards against accepting the bootstrap key while its validity is unknown."""
        self.stand_in.control({"outage": True})
        status, answer = await self.call("GET", "/v1/document", key=BOOTSTRAP_KEY)
        self.assertEqual((503, "store_unavailable"), (status, answer["error"]["kind"]))

    async def test_two_operators_race(self) -> None:
        """Guards against conflicting changes both taking effect, and a conflict without details."""
        await self.apply(example(), 0)
        other = await self.make_admin("admin-2")
        documents = [example(), example()]
        documents[0]["targets"]["assessor-1"]["slots"] = 9
        documents[1]["targets"]["assessor-2"]["slots"] = 9
        bodies = [{"document": item, "expected_revision": 1} for item in documents]
        answers = await asyncio.gather(
            self.call("POST", "/v1/apply", bodies[0]),
            self.call("POST", "/v1/apply", bodies[1], admin=other),
        )
        self.assertEqual([200, 409], sorted(status for status, _ in answers))
        winner = 0 if answers[0][0] == 200 else 1
        error = answers[1 - winner][1]["error"]
        self.assertEqual("conflict", error["kind"])
        self.assertEqual([f"targets/assessor-{winner + 1}"], error["difference"]["changed"])
        _, answer = await self.call("GET", "/v1/document")
        loser = f"assessor-{2 - winner}"
        self.assertEqual(8, answer["document"]["targets"][loser]["slots"])

    async def test_lost_store_responses(self) -> None:
        """Guards against a change that fails or is applied twice when a store response is lost."""
        for lost in (1, 2, 3):
            with self.subTest(lost=lost):
                base = 0 if lost == 1 else lost - 1
                document = example()
                document["targets"]["assessor-1"]["slots"] = 10 + lost
                self.stand_in.control({"lose_answers": lost if lost < 3 else 1})
                status, answer = await self.apply(document, base)
                self.assertEqual((200, base + 1), (status, answer.get("revision")))

    async def test_nothing_of_a_rejected_document_takes_effect(self) -> None:
        """Guards against an invalid document becoming active."""
        await self.apply(example(), 0)
        document = example()
        document["targets"]["assessor-1"]["slots"] = 11
        document["terms"]["registry-office-calls"]["owner"] = "nobody"
        status, answer = await self.apply(document, 1)
        error = answer["error"]
        self.assertEqual(
            (422, "invalid_document", "not_run"), (status, error["kind"], error["run"])
        )
        self.assertIn("terms/registry-office-calls: owner", error["message"])
        self.assertTrue(error["faults"])
        self.assertEqual(1, await self.revision())

    async def test_store_down(self) -> None:
        """Guards against changes without the store, and against losing the document meanwhile."""
        await self.apply(example(), 0)
        self.stand_in.control({"outage": True})
        status, answer = await self.apply(example(), 1)
        error = answer["error"]
        self.assertEqual((503, "not_run"), (status, error["run"]))
        self.assertEqual(1, await self.revision())
        self.stand_in.control({"outage": False})
        self.assertEqual(1, await self.revision())

    async def test_stale_store_reads(self) -> None:
        """Guards against serving a stale document or basing a change on it."""
        await self.apply(example(), 0)
        await self.call("POST", "/v1/drain", {"target": "assessor-1"})
        self.stand_in.control({"stale_reads": True})
        self.assertEqual(2, await self.revision())
        status, _ = await self.apply(example(), 1)
        self.assertEqual(409, status)
        body = {"revision": 1, "expected_revision": 2}
        status, _ = await self.call("POST", "/v1/rollback", body)
        self.assertEqual(200, status)

    async def test_rollback_and_history(self) -> None:
        """Guards against a rollback that does not create a new revision."""
        await self.apply(example(), 0)
        await self.call("POST", "/v1/drain", {"target": "assessor-1"})
        body = {"revision": 1, "expected_revision": 2, "operation_id": "undo"}
        for _ in range(2):
            status, answer = await self.call("POST", "/v1/rollback", body)
            self.assertEqual((200, 3), (status, answer["revision"]))
        _, answer = await self.call("GET", "/v1/history?limit=2")
        numbers = [item["revision"] for item in answer["revisions"]]
        self.assertEqual([3, 2], numbers)
        self.assertEqual(
            ("duty", 1), (answer["revisions"][0]["operator"], answer["revisions"][0]["restored"])
        )
        _, answer = await self.call("GET", "/v1/document")
        self.assertEqual(example(), answer["document"])

    async def test_status_and_explain(self) -> None:
        """Guards against an unresponsive process that hides the status of others."""
        await self.apply(example(), 0)
        await self.router.wait_for_revision(1)
        status, answer = await self.call("GET", "/v1/status")
        rows = answer["processes"]
        self.assertEqual((200, 11), (status, len(rows)))
        ready = [(row["name"], row["revision"]) for row in rows if row["ready"]]
        self.assertEqual([("router-1", 1)], ready)
        self.assertTrue(all("error" in row for row in rows if not row["ready"]))
        explain_request = {"customer": "archive", "model": "dossier-large", "prompt": "x"}
        self.assertEqual(
            (200, explain_request), await self.call("POST", "/v1/explain", explain_request)
        )

    async def test_diff(self) -> None:
        """Guards against a difference that lists the wrong entries."""
        await self.apply(example(), 0)
        document = example()
        document["targets"]["assessor-1"]["slots"] = 11
        del document["operators"]["auditor"]
        document["owners"]["new"] = {}
        _, answer = await self.call("POST", "/v1/diff", {"document": document})
        expected = {
            "added": ["owners/new"],
            "changed": ["targets/assessor-1"],
            "removed": ["operators/auditor"],
        }
        self.assertEqual(expected, answer["difference"])
        self.assertEqual(11, answer["entries"]["targets/assessor-1"]["new"]["slots"])

    async def test_invalid_requests(self) -> None:
        """Guards against bad input that crashes the process or gets a nonstandard error body."""
        await self.apply(example(), 0)
        document = example()
        table: tuple[tuple[str, str, Json | bytes | None, str, int, str], ...] = (
            ("GET", "/v1/document", None, "", 401, "unauthenticated"),
            ("GET", "/v1/document", None, "wrong", 401, "unauthenticated"),
            ("GET", "/v1/document", None, "x" * 600, 401, "unauthenticated"),
            ("GET", "/v1/nothing", None, KEY, 404, "not_found"),
            ("PUT", "/v1/apply", {}, KEY, 405, "method_not_allowed"),
            ("POST", "/v1/apply", b"{", KEY, 400, "bad_request"),
            ("POST", "/v1/apply", b"[" * 50_000, KEY, 400, "bad_request"),
            ("POST", "/v1/apply", b"\xff\xfe", KEY, 400, "bad_request"),
            ("POST", "/v1/apply", b"[]", KEY, 400, "bad_request"),
            ("POST", "/v1/apply", {"document": document}, KEY, 400, "bad_request"),
            ("POST", "/v1/apply", {"document": 3, "expected_revision": 1}, KEY, 400, "bad_request"),
            ("POST", "/v1/apply", b" " * (MAX_BODY_BYTES + 1), KEY, 413, "body_too_large"),
            (
                "POST",
                "/v1/apply",
                {"document": document, "expected_revision": 1},
                AUDITOR_KEY,
                403,
                "forbidden",
            ),
            (
                "POST",
                "/v1/apply",
                {"document": document, "expected_revision": 1, "operation_id": "x" * 200},
                KEY,
                400,
                "bad_request",
            ),
            ("POST", "/v1/drain", {"target": "none"}, KEY, 404, "not_found"),
            ("POST", "/v1/drain", {"target": 3}, KEY, 400, "bad_request"),
            ("GET", "/v1/history?limit=x", None, KEY, 400, "bad_request"),
            (
                "POST",
                "/v1/rollback",
                {"revision": 9, "expected_revision": 1},
                KEY,
                404,
                "not_found",
            ),
        )
        for method, path, body, key, expected_status, kind in table:
            with self.subTest(path=path, key=key[:10], kind=kind):
                status, answer = await self.call(method, path, body, key)
                error = answer["error"]
                self.assertEqual((expected_status, kind), (status, error["kind"]))
                self.assertEqual("not_run", error["run"])
                self.assertTrue(error["request_id"])
        self.assertEqual(1, await self.revision())

    async def test_revoked_operator(self) -> None:
        """Guards against a change by an operator that was removed through another instance."""
        await self.apply(example(), 0)
        self.assertEqual(1, await self.revision())
        other = await self.make_admin("admin-2")
        document = example()
        document["operators"] = {"next": {"key_hash": hash_key("next-key")}}
        body = {"document": document, "expected_revision": 1}
        status, _ = await self.call("POST", "/v1/apply", body, admin=other)
        self.assertEqual(200, status)
        status, _ = await self.call("POST", "/v1/drain", {"target": "assessor-1"})
        self.assertEqual(401, status)

    async def test_slow_body(self) -> None:
        """Guards against a client that occupies a request slot by sending its body slowly."""
        host, _, port = self.admin.address.rpartition(":")
        head = f"POST /v1/apply HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {BOOTSTRAP_KEY}\r\n"
        with mock.patch("coltsfootfront.operation.admin.BODY_TIMEOUT_S", 0.2):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(f"{head}Content-Length: 100\r\n\r\n{{".encode())
            async with asyncio.timeout(3):
                line = await reader.readline()
            writer.close()
        self.assertIn(b" 400 ", line)

    async def test_readiness_ends_with_the_drain(self) -> None:
        """Guards against a load balancer that sends operators to a stopping instance."""
        self.assertEqual(200, (await self.call("GET", "/readyz", key=""))[0])
        await self.admin.drain()
        self.assertEqual(503, (await self.call("GET", "/readyz", key=""))[0])
        self.assertEqual(200, (await self.call("GET", "/healthz", key=""))[0])


if __name__ == "__main__":
    unittest.main()
