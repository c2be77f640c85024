"""Tests that the names of the platform's wire stay in the adapter."""

import re
import unittest
from pathlib import Path

PACKAGE = Path(__file__).resolve().parents[1]
# Names on the wire that no word of the product contains.
WIRE_NAMES = re.compile(
    r"X-(?:Expect|Cache-Salt|Kv-|Tenant|Response-Signature|Not-Executed|Prompt-Prefix|Weight)"
    r"|/v1/kv-|kv-(?:txn|range|watch|lease|keep)|op/config|servers/|cold-left|switch-mode"
    r"|traffic-split|api-keys|wait-ms|store-revision|COLTSFOOTFRONT_CONFIG"
)


class WireNamesTest(unittest.TestCase):
    def test_no_module_outside_the_adapter_knows_the_wire(self) -> None:
        """Guards against decisions that depend on how the platform spells things."""
        found = [
            f"{path.relative_to(PACKAGE)}: {match.group(0)}"
            for path in sorted(PACKAGE.rglob("*.py"))
            if "platform" not in path.parts and "tests" not in path.parts
            for match in WIRE_NAMES.finditer(path.read_text(encoding="utf-8"))
        ]
        self.assertEqual([], found)
