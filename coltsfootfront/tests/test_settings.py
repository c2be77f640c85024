"""Tests of the validation of settings."""

import unittest
from typing import Any

from coltsfootfront.common.errors import SettingsError
from coltsfootfront.common.settings import OperatorSettings, RouterSettings, parse

REQUIRED = {
    "name": "router-1",
    "data_centre": "dc-1",
    "peer_secret": "hidden",
    "store_address": "http://127.0.0.1:1",
}


class SettingsTest(unittest.TestCase):
    def test_defaults(self) -> None:
        """Guards against an optional setting without a default."""
        loaded = parse(dict(REQUIRED), RouterSettings, "router.toml")
        self.assertEqual("rendezvous", loaded.policy)
        self.assertEqual([], loaded.seed_addresses)

    def test_errors_are_one_line_with_file_key_value_and_range(self) -> None:
        """Guards against an invalid setting that is accepted, or not named in the error."""
        cases: list[tuple[str, dict[str, Any], str]] = [
            ("unknown key", {"colour": 1}, "colour = 1: unknown key; allowed:"),
            ("wrong type", {"probe_count": "5"}, "probe_count = '5': allowed: 1 to 16 agents"),
            ("truth value", {"probe_count": True}, "probe_count = True: allowed: 1 to 16 agents"),
            ("too large", {"probe_count": 17}, "probe_count = 17: allowed: 1 to 16 agents"),
            ("choice", {"policy": "best"}, "policy = 'best': allowed: one of rendezvous"),
            ("address", {"http_address": "here"}, "http_address = 'here': allowed: host:port"),
            ("list", {"seed_addresses": [1]}, "seed_addresses = [1]: allowed: list of host:port"),
            ("empty", {"name": ""}, "name = '': allowed: name"),
            ("secret", {"peer_secret": 5}, "peer_secret = ***: allowed: secret"),
        ]
        for name, change, expected in cases:
            with self.subTest(name), self.assertRaises(SettingsError) as caught:
                parse({**REQUIRED, **change}, RouterSettings, "router.toml")
            self.assertIn(f"router.toml: {expected}", str(caught.exception))
            self.assertNotIn("\n", str(caught.exception))

    def test_a_missing_key_is_named(self) -> None:
        """Guards against a program that starts without a required setting."""
        with self.assertRaisesRegex(SettingsError, "router.toml: name: missing"):
            parse({}, RouterSettings, "router.toml")

    def test_operator_settings_need_no_key(self) -> None:
        """Guards against settings that the command requires but does not need."""
        self.assertEqual(10.0, parse({}, OperatorSettings, "x").timeout_s)
