"""Tests of the platform's router program, run as a process."""

import asyncio
import os
import signal
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path
from typing import Any

import aiohttp

from coltsfootfront.common.errors import SettingsError
from coltsfootfront.direct.node import PAUSE_LIMIT_S
from coltsfootfront.platform import settings
from coltsfootfront_dev.platformfleet import (
    API_KEY,
    HOST,
    PlatformFleet,
    configuration,
    settings_fields,
    to_toml,
)

ROOT = Path(__file__).resolve().parents[2]
COMMAND = [sys.executable, "-m", "coltsfootfront.platform"]
WAIT_S = 10.0


def _environment(path: Path) -> dict[str, str]:
    return {**os.environ, settings.PATH_VARIABLE: str(path)}


def _start(path: Path) -> subprocess.Popen[str]:
    return subprocess.Popen(
        COMMAND, cwd=ROOT, env=_environment(path), stdout=subprocess.PIPE, text=True
    )


class SettingsTest(unittest.TestCase):
    def _decode(self, **changes: Any) -> None:
        settings.decode(settings_fields("n", "127.0.0.1:1", []) | changes, "boot.toml")

    def test_unknown_fields_are_ignored(self) -> None:
        """Guards against a program that exits when the platform adds a field."""
        self._decode(anything={"new": 1})

    def test_capacity_of_the_link_may_be_missing(self) -> None:
        """Guards against a program that exits where the platform does not tell the capacity."""
        fields = settings_fields("n", "127.0.0.1:1", [])
        self.assertEqual(1000.0, settings.decode(fields, "boot.toml").link_mbit_per_s)
        fields["limits"] = {"memory-mb": 300}
        self.assertIsNone(settings.decode(fields, "boot.toml").link_mbit_per_s)

    def test_invalid_field_is_named(self) -> None:
        """Guards against invalid settings that are only noticed after the start."""
        cases: tuple[tuple[str, dict[str, Any]], ...] = (
            ("node", {"node": 3}),
            ("listen.front", {"listen": {"front": "nowhere"}}),
            ("port-range", {"port-range": [9, 1]}),
            ("provider.address", {"provider": {}}),
            ("bounds.grace-s", {"bounds": {"grace-s": -1}}),
            ("zones", {"zones": {"a": 1}}),
            ("limits.link-mbps", {"limits": {"memory-mb": 300, "link-mbps": "wide"}}),
        )
        for name, changes in cases:
            with self.subTest(name), self.assertRaisesRegex(SettingsError, f"boot.toml: {name}"):
                self._decode(**changes)


class PlatformProgramTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.folder = tempfile.TemporaryDirectory()
        self.path = Path(self.folder.name) / "boot.toml"

    async def asyncTearDown(self) -> None:
        self.folder.cleanup()

    def _run(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        return subprocess.run(
            [*COMMAND, *arguments],
            cwd=ROOT,
            env=_environment(self.path),
            capture_output=True,
            text=True,
            timeout=WAIT_S,
            check=False,
        )

    def test_command_line_and_invalid_settings(self) -> None:
        """Guards against a program that fails without an error message of one line."""
        self.assertEqual(0, self._run("--help").returncode)
        self.assertIn("0.", self._run("--version").stdout)
        self.path.write_text('node = ""\n', encoding="utf-8")
        completed = self._run()
        self.assertEqual(2, completed.returncode)
        self.assertEqual(1, len(completed.stderr.splitlines()))
        self.assertIn("port-range", completed.stderr)

    async def test_serves_reloads_settings_and_stops(self) -> None:
        """Guards against a router that SIGHUP terminates, or that SIGTERM does not."""
        fleet = PlatformFleet(1, 0)
        await fleet.start()
        fields = settings_fields("router-1", fleet.store.address, [])
        self.path.write_text(to_toml(fields), encoding="utf-8")
        process = _start(self.path)
        try:
            await self._until_ready(fields["listen"]["ready"])
            fields["bounds"]["retry-budget-slack"] = 9
            self.path.write_text(to_toml(fields), encoding="utf-8")
            process.send_signal(signal.SIGHUP)
            await asyncio.sleep(0.3)
            self.assertEqual(200, await self._send(fields["listen"]["front"]))
            process.send_signal(signal.SIGTERM)
            output, _ = await asyncio.to_thread(process.communicate, timeout=WAIT_S)
        finally:
            process.kill()
            await fleet.close()
        self.assertEqual(0, process.returncode)
        for name in ("router_started", "settings_changed", "request_ended", "router_stopped"):
            self.assertIn(f"event={name}", output)

    async def test_settings_that_change_during_the_start_do_not_end_the_program(self) -> None:
        """Guards against the default action of SIGHUP before the program can reload."""
        fleet = PlatformFleet(1, 0)
        await fleet.start()
        fields = settings_fields("router-1", fleet.store.address, [])
        # Reading the named pipe blocks the program's start until the settings are written to it.
        os.mkfifo(self.path)
        process = _start(self.path)
        try:
            async with asyncio.timeout(WAIT_S):
                writer = await asyncio.to_thread(self.path.open, "w", encoding="utf-8")
            process.send_signal(signal.SIGHUP)
            self.path.unlink()
            self.path.write_text(to_toml(fields), encoding="utf-8")
            with writer:
                writer.write(to_toml(fields))
            await self._until_ready(fields["listen"]["ready"])
            process.send_signal(signal.SIGTERM)
            await asyncio.to_thread(process.communicate, timeout=WAIT_S)
        finally:
            process.kill()
            await fleet.close()
        self.assertEqual(0, process.returncode)

    async def test_key_revoked_during_a_pause_is_not_accepted_after_it(self) -> None:
        """Guards against a router that accepts revoked keys just after it was suspended."""
        fleet = PlatformFleet(1, 0)
        await fleet.start()
        fields = settings_fields("router-1", fleet.store.address, [])
        self.path.write_text(to_toml(fields), encoding="utf-8")
        process = _start(self.path)
        try:
            await self._until_ready(fields["listen"]["ready"])
            for version in (2, 4, 6):
                self.assertEqual(200, await self._send(fields["listen"]["front"]))
                process.send_signal(signal.SIGSTOP)
                fleet.store.put_json("op/config", configuration(version, ("other",)))
                request = asyncio.create_task(self._send(fields["listen"]["front"]))
                await asyncio.sleep(PAUSE_LIMIT_S + 0.5)
                process.send_signal(signal.SIGCONT)
                self.assertEqual(401, await request)
                fleet.store.put_json("op/config", configuration(version + 1))
                await asyncio.sleep(1.0)
            process.send_signal(signal.SIGTERM)
            await asyncio.to_thread(process.communicate, timeout=WAIT_S)
        finally:
            process.kill()
            await fleet.close()

    async def _until_ready(self, address: str) -> None:
        async with asyncio.timeout(WAIT_S), aiohttp.ClientSession() as session:
            while True:
                try:
                    async with session.get(f"http://{address}/v1/ready") as response:
                        if response.status == 200:
                            return
                except aiohttp.ClientConnectorError:
                    pass
                await asyncio.sleep(0.05)

    async def _send(self, address: str) -> int:
        headers = {
            "Host": HOST,
            "X-Request-Id": "r1",
            "X-Deadline-Ms": "3000",
            "Authorization": f"Token {API_KEY}",
        }
        async with (
            aiohttp.ClientSession() as session,
            session.get(f"http://{address}/look/a", headers=headers) as response,
        ):
            return response.status
