"""Tests that each subpackage imports only what docs/internals.md allows."""

import re
import unittest
from pathlib import Path

PACKAGE = Path(__file__).resolve().parents[1]
DOCUMENTATION = PACKAGE.parent / "docs" / "internals.md"
TABLE_ROW = re.compile(r"^\| `(\w+)` \|.*\| ([^|]*) \|$", re.MULTILINE)
IMPORT = re.compile(r"^\s*(?:from|import) coltsfootfront\.(\w+)", re.MULTILINE)


def allowed_imports() -> dict[str, set[str]]:
    """Subpackages that each subpackage may import, by the table in the documentation."""
    section = (
        DOCUMENTATION.read_text(encoding="utf-8").split("## Packages", 1)[1].split("\n## ", 1)[0]
    )
    return {
        subpackage: set(re.findall(r"`(\w+)`", importable))
        for subpackage, importable in TABLE_ROW.findall(section)
    }


class SubpackageImportsTest(unittest.TestCase):
    def test_each_subpackage_is_documented(self) -> None:
        """Guards against an undocumented subpackage, and against modules outside of any."""
        subpackages = {path.parent.name for path in PACKAGE.glob("*/__init__.py")} - {"tests"}
        self.assertEqual(subpackages, set(allowed_imports()))
        top_level_modules = {path.name for path in PACKAGE.glob("*.py")}
        self.assertEqual({"__init__.py"}, top_level_modules)

    def test_imports_are_documented(self) -> None:
        """Guards against imports that break the layering of the subpackages."""
        for subpackage, importable in allowed_imports().items():
            for path in (PACKAGE / subpackage).glob("*.py"):
                found = set(IMPORT.findall(path.read_text(encoding="utf-8")))
                self.assertLessEqual(found, importable | {subpackage}, path.name)
