"""Tests of the operators' command line against the administration API."""

import contextlib
import io
import json
import sys
import tempfile
import unittest
from pathlib import Path
from typing import Any
from unittest import mock

from coltsfootfront import __version__
from coltsfootfront.common import settings
from coltsfootfront.common.clock import SystemClock
from coltsfootfront.common.settings import OperatorSettings
from coltsfootfront.operation import cli
from coltsfootfront.operation.cli import (
    Apply,
    Check,
    Command,
    CommandError,
    Diff,
    Document,
    Drain,
    Explain,
    History,
    Rollback,
    Status,
)
from coltsfootfront.tests.test_admin import BOOTSTRAP_KEY, KEY, AdminCase
from coltsfootfront.tests.test_schema import EXAMPLES, ROOT, example

AGENCY = EXAMPLES / "agency" / "document.json"


class CommandTestCase(unittest.TestCase):
    """Base of tests that run the command on files in a temporary directory."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def write(self, name: str, content: Any) -> Path:
        """Write a file; content other than text is encoded as JSON."""
        path = self.folder / name
        path.write_text(content if isinstance(content, str) else json.dumps(content))
        return path

    def run_main(self, *arguments: str, stdin: str = "") -> tuple[int, str, str]:
        """Run ``main``; return exit code, standard output and standard error."""
        out, err = io.StringIO(), io.StringIO()
        code: Any = 0
        with (
            mock.patch.object(sys, "argv", ["coltsfootfront", *arguments]),
            mock.patch.object(sys, "stdin", io.StringIO(stdin)),
            contextlib.redirect_stdout(out),
            contextlib.redirect_stderr(err),
        ):
            try:
                cli.main()
            except SystemExit as error:
                code = error.code
        return int(code or 0), out.getvalue(), err.getvalue()


class MainTest(CommandTestCase):
    """Tests of the program without the API."""

    def test_exit_codes(self) -> None:
        """Guards against wrong exit codes and against errors that do not name their location."""
        faulty = example()
        faulty["targets"]["assessor-1"]["slots"] = 0
        faulty["targets"]["assessor-2"]["slots"] = 0
        fault = self.write("fault.json", faulty)
        broken = self.write("broken.json", "{")
        unknown = self.write("unknown.toml", 'colour = "red"')
        closed = self.write("closed.toml", 'admin_url = "http://127.0.0.1:9"')
        table: tuple[tuple[list[str], int, list[str]], ...] = (
            (["check", str(AGENCY)], 0, ["valid"]),
            (["--version"], 0, [__version__]),
            (["--help"], 0, ["explain"]),
            (["check", str(fault)], 2, [str(fault), "targets/assessor-1: slots = 0", "1 to 1024"]),
            (["apply", str(fault)], 2, [str(fault), "targets/assessor-1: slots = 0", "1 to 1024"]),
            (["check", str(broken)], 2, [str(broken), "JSON object"]),
            (["check", "absent.json"], 2, ["absent.json"]),
            (
                ["history", "--config", str(unknown)],
                2,
                [str(unknown), "colour", "red", "admin_url"],
            ),
            (["history", "--config", str(closed)], 1, ["127.0.0.1:9"]),
            (["apply", str(AGENCY), "--config", str(closed)], 1, ["127.0.0.1:9"]),
            (["fetch"], 2, []),
        )
        for arguments, code, parts in table:
            with self.subTest(arguments=arguments):
                found, out, err = self.run_main(*arguments)
                self.assertEqual(code, found, err)
                if parts and code:
                    self.assertEqual(1, len(err.splitlines()), err)
                for part in parts:
                    self.assertIn(part, out + err)

    def test_settings_page_is_current(self) -> None:
        """Guards against a reference page that lacks a setting."""
        page = (ROOT / "docs" / "settings.md").read_text()
        self.assertEqual(settings.reference(), page)


class CommandsTest(AdminCase):
    """Tests of each command against an instance of the API."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.file = Path(folder.name) / "document.json"

    async def run_command(self, command: Command, key: str = KEY) -> str:
        """Run one command; return its output."""
        operator = OperatorSettings(f"http://{self.admin.address}", "duty", key, 5.0)
        return "\n".join(await cli.run(command, operator, SystemClock()))

    async def test_commands(self) -> None:
        """Guards against a command that is incompatible with the API."""
        edited = example()
        edited["targets"]["assessor-1"]["slots"] = 9
        self.file.write_text(json.dumps(edited))
        prompt = self.file.with_name("prompt.txt")
        prompt.write_text("a prompt")
        table: tuple[tuple[Command, list[str]], ...] = (
            (Check(AGENCY), ["valid"]),
            (Diff(self.file), ["revision 1", "~ targets/assessor-1", "slots: 8 -> 9"]),
            (Apply(self.file, 1), ["revision 2 accepted"]),
            (Drain("assessor-2"), ["assessor-2 withdrawn with revision 3"]),
            (Drain("assessor-2", undo=True), ["assessor-2 lent again with revision 4"]),
            (Rollback(1), ["revision 5 accepted"]),
            (Apply(self.file), ["revision 6 accepted"]),
            (History(2), ["6  ", "5  ", "restored 1", "duty"]),
            (Document(), ['"slots": 9']),
            (Status(), ["revision 6", "router-1", "ready", "assessor-1", "no answer"]),
            (Explain("archive", "dossier-large", prompt), ["a prompt"]),
        )
        first = await self.run_command(Apply(AGENCY), BOOTSTRAP_KEY)
        self.assertEqual("revision 1 accepted", first)
        for command, parts in table:
            with self.subTest(command=command):
                output = await self.run_command(command)
                for part in parts:
                    self.assertIn(part, output)

    async def test_refusals(self) -> None:
        """Guards against a refusal with a wrong exit code or without its reason."""
        await self.run_command(Apply(AGENCY), BOOTSTRAP_KEY)
        table: tuple[tuple[Command, str, int, str], ...] = (
            (Apply(AGENCY, 0), KEY, 1, "expected revision 0, found 1; changed since: added"),
            (Status(), "wrong", 1, "unauthenticated"),
            (Drain("none"), KEY, 1, "not_found"),
            (Rollback(7), KEY, 1, "not_found"),
            (Explain("archive", "m", Path("absent.txt")), KEY, 2, "absent.txt"),
        )
        for command, key, code, part in table:
            with self.subTest(command=command):
                with self.assertRaises(CommandError) as caught:
                    await self.run_command(command, key)
                self.assertEqual(code, caught.exception.exit_code)
                self.assertIn(part, str(caught.exception))

    async def test_a_lost_response_of_the_api(self) -> None:
        """Guards against a change that is made twice because the API's response was lost."""
        await self.run_command(Apply(AGENCY), BOOTSTRAP_KEY)
        edited = example()
        edited["targets"]["assessor-1"]["slots"] = 9
        self.file.write_text(json.dumps(edited))
        real_call = cli.AdminClient._call
        lost: list[str] = []

        async def lose_first(api: cli.AdminClient, method: str, path: str, body: Any) -> Any:
            answer = await real_call(api, method, path, body)
            if path == "/v1/apply" and not lost:
                lost.append(path)
                raise cli.UnknownOutcomeError("answer lost")
            return answer

        with mock.patch.object(cli.AdminClient, "_call", lose_first):
            self.assertEqual("revision 2 accepted", await self.run_command(Apply(self.file, 1)))
        self.assertEqual(["/v1/apply"], lost)
        self.assertEqual(2, await self.revision())


if __name__ == "__main__":
    unittest.main()
