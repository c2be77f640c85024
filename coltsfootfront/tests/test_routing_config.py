"""Tests of the routing configuration: how routes are found, and what a large one costs."""

import asyncio
import json
import time
import unittest

from coltsfootfront.direct.routingconfig import RoutingConfig
from coltsfootfront.platform.decoder import decode_config
from coltsfootfront.tests.direct_support import make_route

# The longest pause between the events of a stream that users accept.
ACCEPTED_PAUSE_S = 0.2


class _CountingPrefix(str):
    """Prefix that counts how often its length is taken."""

    lengths_taken = 0

    def __len__(self) -> int:
        _CountingPrefix.lengths_taken += 1
        return super().__len__()


class RoutingConfigTest(unittest.TestCase):
    def test_longest_prefix_wins(self) -> None:
        """Guards against a request that takes the route of a shorter prefix, or of another host."""
        config = RoutingConfig()
        for prefix in ("/a/", "/a/b/c/", "/", "/a/b/", "/b/"):
            config.add_route(make_route(prefix))
        cases = (
            ("/a/b/c/d", "/a/b/c/"),
            ("/a/b/c/", "/a/b/c/"),
            ("/a/b/c", "/a/b/"),
            ("/a/b/x/c/", "/a/b/"),
            ("/a/", "/a/"),
            ("/a", "/"),
            ("/a//b/", "/a/"),
            ("/b/?q=/a/b/c/", "/b/"),
            ("/?q=/b/", "/"),
            ("/", "/"),
        )
        for path, prefix in cases:
            with self.subTest(path):
                route = config.find_route("h", path)
                assert route is not None
                self.assertEqual(prefix, route.prefix)
        self.assertIsNone(config.find_route("other", "/a/"))
        self.assertIsNone(config.find_route("h", ""))

    def test_prefix_without_slashes_is_found_as_written(self) -> None:
        """Guards against a route that is never found as its prefix does not end with a slash."""
        config = RoutingConfig()
        for prefix in ("/a", "/a/bc"):
            config.add_route(make_route(prefix))
        found = [config.find_route("h", path) for path in ("/abc", "/a/bcd", "/a/b")]
        self.assertEqual(["/a", "/a/bc", "/a"], [route and route.prefix for route in found])

    def test_first_of_two_routes_with_the_same_prefix_wins(self) -> None:
        """Guards against routers that choose different routes for the same request."""
        config = RoutingConfig()
        first = make_route("/a/", timeout_s=1.0)
        config.add_route(first)
        config.add_route(make_route("/a/", timeout_s=2.0))
        self.assertIs(first, config.find_route("h", "/a/x"))

    def test_adding_routes_of_one_host_takes_time_in_proportion_to_their_number(self) -> None:
        """Guards against a stall of the event loop that grows with the square of the routes."""
        config = RoutingConfig()
        _CountingPrefix.lengths_taken = 0
        count = 2000
        for number in range(count):
            config.add_route(make_route(_CountingPrefix(f"/r{number}/")))
        self.assertLess(_CountingPrefix.lengths_taken, 50 * count)


class LargeConfigurationTest(unittest.IsolatedAsyncioTestCase):
    async def test_decoding_many_routes_of_one_host_does_not_pause_streams(self) -> None:
        """Guards against streams that pause at each change of a large configuration."""
        routes = [
            {
                "name": f"r{number}",
                "host": "h.example",
                "prefix": f"/r{number}/x/",
                "service": "s",
                "kind": "stream",
                "timeout-ms": 3000,
            }
            for number in range(4200)
        ]
        value = json.dumps({"version": 1, "services": [{"name": "s"}], "routes": routes}).encode()
        loop = asyncio.get_running_loop()
        began_s = time.process_time()
        config = decode_config(value).unwrap()
        self.assertLess(time.process_time() - began_s, ACCEPTED_PAUSE_S)
        began_s = loop.time()
        for _ in range(1000):
            self.assertIsNone(config.find_route("h.example", "/absent/x/y"))
        self.assertLess(loop.time() - began_s, ACCEPTED_PAUSE_S)
