"""Tests that the installed programs start."""

import subprocess
import sys
import unittest
from pathlib import Path

PROGRAMS = (
    "coltsfootfront",
    "coltsfootfront-admin",
    "coltsfootfront-agent",
    "coltsfootfront-platform",
    "coltsfootfront-router",
)


class ProgramsTest(unittest.TestCase):
    def test_help_and_version(self) -> None:
        """Guards against a documented program that is not installed."""
        directory = Path(sys.executable).parent
        for program in PROGRAMS:
            for option in ("--help", "--version"):
                with self.subTest(program=program, option=option):
                    completed = subprocess.run(
                        [str(directory / program), option],
                        capture_output=True,
                        text=True,
                        timeout=30.0,
                        check=False,
                    )
                    self.assertEqual(0, completed.returncode, completed.stderr)
                    self.assertTrue(completed.stdout)
