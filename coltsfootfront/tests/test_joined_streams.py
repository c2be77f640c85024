"""Tests that a stream goes on only at targets of the software version that began it."""

import json
import unittest

from coltsfootfront.common.clock import SystemClock
from coltsfootfront.direct.callerrequest import CallerRequest
from coltsfootfront.direct.directory import Target
from coltsfootfront.direct.routingconfig import RetryPolicy
from coltsfootfront.direct.targetclient import Directive
from coltsfootfront.platform.decoder import decode_target_entry
from coltsfootfront.tests.direct_support import (
    FakeResponse,
    FakeWriter,
    ForwarderFixture,
    exchange_error,
    make_config,
    make_request,
    make_route,
)

FIRST_EVENT = b"id: 0\ndata: a\n\n"
REST = b"id: 1\ndata: b\n\n"


class JoinedStreamTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.asked: list[tuple[str, int | None]] = []
        self.broken: set[str] = set()
        self.fixture = ForwarderFixture(SystemClock(), self.respond)
        self.fixture.forwarder.routing_config = make_config(
            make_route(
                "/s/",
                service="plain",
                retry_policy=RetryPolicy.RESUMABLE,
                is_stream=True,
                max_attempts=4,
            )
        )

    def respond(self, target: Target, request: CallerRequest, directive: Directive) -> FakeResponse:
        self.asked.append((target.name, directive.resume_after))
        if directive.resume_after is not None:
            return FakeResponse(chunks=(REST,))
        if not self.broken:
            self.broken.add(target.name)
            return FakeResponse(chunks=(FIRST_EVENT, exchange_error()))
        return FakeResponse(chunks=(FIRST_EVENT, REST))

    def add(self, **versions: object) -> None:
        for name, version in versions.items():
            entry = {
                "service": "plain",
                "address": f"10.0.0.1:80{len(name):02}",
                "zone": "a",
                "version": version,
                "slots": 8,
                "state": "ready",
                "models": [],
                "born": 1,
            }
            decoded = decode_target_entry(f"servers/{name}", json.dumps(entry).encode())
            self.fixture.add(decoded.unwrap())

    async def test_broken_stream_goes_on_at_the_version_that_began_it(self) -> None:
        """Guards against one answer joined from two versions of a target's software (ORDER)."""
        self.add(t1="v1", t22="v2", t333="v1", t4444="v2", t55555="v2")
        writer = FakeWriter()
        await self.fixture.forwarder.serve(make_request("/s/x"), writer)
        self.assertEqual(FIRST_EVENT + REST, writer.body)
        first, second = (name for name, _ in self.asked)
        versions = {"t1": 1, "t333": 1, "t22": 2, "t4444": 2, "t55555": 2}
        self.assertEqual(versions[first], versions[second])

    async def test_versions_with_long_names_are_told_apart(self) -> None:
        """Guards against streams that end as a version's name has the digest of an image."""
        names = ["registry/" + "x" * 40 + "@sha256:" + digit * 64 for digit in "ab"]
        self.add(t1=names[0], t22=names[1], t333=names[0], t4444=names[1])
        writer = FakeWriter()
        await self.fixture.forwarder.serve(make_request("/s/x"), writer)
        self.assertEqual(FIRST_EVENT + REST, writer.body)
        first, second = (name for name, _ in self.asked)
        versions = {"t1": 1, "t333": 1, "t22": 2, "t4444": 2}
        self.assertEqual(versions[first], versions[second])

    async def test_broken_stream_without_another_target_of_its_version_is_ended_at_once(
        self,
    ) -> None:
        """Guards against a joined answer, and a caller held until its deadline (ORDER)."""
        self.add(t1="v1", t22="v2")
        writer = FakeWriter()
        began_s = self.fixture.clock.monotonic_s()
        await self.fixture.forwarder.serve(make_request("/s/x"), writer)
        self.assertLess(self.fixture.clock.monotonic_s() - began_s, 0.5)
        self.assertTrue(writer.is_aborted)
        self.assertEqual(FIRST_EVENT, writer.body)
        self.assertEqual(1, len(self.asked))

    async def test_unknown_stream_is_not_taken_up_while_several_versions_serve(self) -> None:
        """Guards against a stream joined over a caller's tries (ORDER)."""
        self.add(t1="v1", t22="v2")
        for resumes in ("unknown", ""):
            with self.subTest(resumes):
                request = make_request("/s/x")
                request.resume_after = 0
                request.resumes = resumes
                writer = FakeWriter()
                await self.fixture.forwarder.serve(request, writer)
                assert writer.failure is not None
                self.assertEqual(503, writer.failure.error_response.status)
                self.assertIsNone(writer.failure.effective_retry_after_s)
        self.assertEqual([], self.asked)

    async def test_versions_that_cannot_be_read_are_taken_for_different_ones(self) -> None:
        """Guards against streams joined between targets that do not tell their version (ORDER)."""
        for version in (None, 7, "", "v" * 1000, "v1\ud800", "v1\nv2", ["v1"]):
            with self.subTest(version):
                self.setUp()
                self.add(t1=version, t22=version)
                writer = FakeWriter()
                await self.fixture.forwarder.serve(make_request("/s/x"), writer)
                self.assertTrue(writer.is_aborted)


if __name__ == "__main__":
    unittest.main()
