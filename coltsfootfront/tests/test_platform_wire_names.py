"""Tests that the names of the platform's wire formats are only used in the adapter."""

import re
import unittest
from pathlib import Path

PACKAGE = Path(__file__).resolve().parents[1]
# Names on the wire that do not occur within the project's own names.
WIRE_NAMES = re.compile(
    r"X-(?:Expect|Cache-Salt|Kv-|Tenant|Response-Signature|Not-Executed|Prompt-Prefix|Weight)"
    r"|/v1/kv-|kv-(?:txn|range|watch|lease|keep)|op/config|servers/|cold-left|switch-mode"
    r"|Server-(?:Limit|Leaving|Load)|traffic-split|api-keys|wait-ms|store-revision|COLTSFOOTFRONT_CONFIG"
)


class WireNamesTest(unittest.TestCase):
    def test_wire_names_occur_only_in_the_adapter(self) -> None:
        """Guards against routing code that depends on the platform's wire formats."""
        found = [
            f"{path.relative_to(PACKAGE)}: {match.group(0)}"
            for path in sorted(PACKAGE.rglob("*.py"))
            if "platform" not in path.parts and "tests" not in path.parts
            for match in WIRE_NAMES.finditer(path.read_text(encoding="utf-8"))
        ]
        self.assertEqual([], found)
