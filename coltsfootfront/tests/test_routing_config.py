"""Tests of the routing configuration: how routes are found, and what a large one costs."""

import json
import subprocess
import sys
import unittest
from pathlib import Path

from coltsfootfront.direct.routingconfig import RoutingConfig
from coltsfootfront.platform.configdecoder import decode_config
from coltsfootfront.tests.direct_support import make_route
from coltsfootfront_dev.platformfleet import ENGINE_SERVICE, configuration

ROOT = Path(__file__).resolve().parents[2]
# Prints the processor time to decode 4,200 routes, and to look 1,000 paths up, in seconds.
MEASURE_DECODING = """
import json, time
from coltsfootfront.platform.configdecoder import decode_config

fields = {"host": "h.example", "service": "s", "kind": "stream", "timeout-ms": 3000}
routes = [{"name": f"r{n}", "prefix": f"/r{n}/x/"} | fields for n in range(4200)]
value = json.dumps({"version": 1, "services": [{"name": "s"}], "routes": routes}).encode()
began_s = time.process_time()
config = decode_config(value).unwrap()
decoded_s = time.process_time()
assert config.find_route("h.example", "/r7/x/y").name == "r7"
assert not any(config.find_route("h.example", "/absent/x/y") for _ in range(1000))
print(json.dumps([decoded_s - began_s, time.process_time() - decoded_s]))
"""
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


class LargeConfigurationTest(unittest.TestCase):
    def test_decoding_many_routes_of_one_host_does_not_pause_streams(self) -> None:
        """Guards against streams that pause at each change of a large configuration."""
        # In a process of its own, as a router is: the heap and threads of other tests count too.
        measured = subprocess.run(
            [sys.executable, "-c", MEASURE_DECODING], cwd=ROOT, check=True, capture_output=True
        )
        decode_s, find_s = json.loads(measured.stdout)
        self.assertLess(decode_s, ACCEPTED_PAUSE_S)
        self.assertLess(find_s, ACCEPTED_PAUSE_S)

    def test_capacity_of_engines(self) -> None:
        """Guards against a configuration that is lost for a capacity that cannot be read."""
        cases = ((449_952, 449_952), (0, 0), (None, 0), ("many", 0), (-1, 0), (1.5, 0), (True, 0))
        for value, capacity_tokens in cases:
            document = configuration(1)
            (engine,) = (item["engine"] for item in document["services"] if "engine" in item)
            engine["kv-capacity"] = value
            with self.subTest(value):
                config = decode_config(json.dumps(document).encode()).unwrap()
                properties = config.services[ENGINE_SERVICE].engine
                assert properties is not None
                self.assertEqual(capacity_tokens, properties.capacity_tokens)
