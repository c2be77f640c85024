"""Tests that the rooms of the product import only what docs/internals.md allows."""

import re
import unittest
from pathlib import Path

PACKAGE = Path(__file__).resolve().parents[1]
PAGE = PACKAGE.parent / "docs" / "internals.md"
ROW = re.compile(r"^\| `(\w+)` \|.*\| ([^|]*) \|$", re.MULTILINE)
IMPORT = re.compile(r"^\s*(?:from|import) coltsfootfront\.(\w+)", re.MULTILINE)


def allowed() -> dict[str, set[str]]:
    """Rooms that each room may import, by the table of the page."""
    section = PAGE.read_text(encoding="utf-8").split("## Rooms", 1)[1].split("\n## ", 1)[0]
    return {room: set(re.findall(r"`(\w+)`", others)) for room, others in ROW.findall(section)}


class RoomsTest(unittest.TestCase):
    def test_each_room_is_on_the_page(self) -> None:
        """Guards against a room that a newcomer finds nothing about."""
        rooms = {path.parent.name for path in PACKAGE.glob("*/__init__.py")} - {"tests"}
        self.assertEqual(rooms, set(allowed()))
        flat = {path.name for path in PACKAGE.glob("*.py")}
        self.assertEqual({"__init__.py"}, flat)

    def test_imports_keep_to_the_page(self) -> None:
        """Guards against rooms that grow into each other."""
        for room, others in allowed().items():
            for path in (PACKAGE / room).glob("*.py"):
                found = set(IMPORT.findall(path.read_text(encoding="utf-8")))
                self.assertLessEqual(found, others | {room}, path.name)
