"""Runs all tests but those listed in KNOWN-RED.txt, which it prints.

An entry of that file starts with the dotted name of one test in its first column; indented lines
and lines that start with ``#`` explain it.
"""

import sys
import unittest
from collections.abc import Iterator
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
KNOWN_RED = ROOT / "KNOWN-RED.txt"


def known_red() -> set[str]:
    """Read the dotted names of the listed tests."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return {line.split()[0].rstrip(":") for line in lines if line and line[0] not in " #"}


def _cases(suite: unittest.TestSuite) -> Iterator[unittest.TestCase]:
    for item in suite:
        if isinstance(item, unittest.TestSuite):
            yield from _cases(item)
        else:
            yield item


def main() -> int:
    """Run the tests.

    :returns: exit status, 0 when every test that ran has passed.
    """
    discovered = unittest.defaultTestLoader.discover(
        str(ROOT / "coltsfootfront" / "tests"), top_level_dir=str(ROOT)
    )
    skipped = known_red()
    suite = unittest.TestSuite()
    for case in _cases(discovered):
        if case.id() in skipped:
            print(f"known red, not run: {case.id()}", file=sys.stderr)
        else:
            suite.addTest(case)
    result = unittest.TextTestRunner(verbosity=1).run(suite)
    return 0 if result.wasSuccessful() else 1


if __name__ == "__main__":
    sys.exit(main())
