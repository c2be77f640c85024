"""Simulated list of the platform's live and leaving VMs, which is updated with a delay.

``POST /control`` takes ``vms`` (the whole list), ``update`` (entries that replace those with the
same name), ``remove`` (names) and ``lag_s``; changes appear in the list after ``lag_s`` seconds.
"""

import hashlib
import json
import time
from collections import deque
from dataclasses import dataclass
from typing import Any

import cappa
from aiohttp import web

from coltsfootfront_dev.standin import Server, serve

Json = dict[str, Any]


class VmListStandIn(Server):
    """HTTP server of the simulated VM list."""

    def __init__(self) -> None:
        self._latest: dict[str, Json] = {}
        self._visible: dict[str, Json] = {}
        self._pending: deque[tuple[float, dict[str, Json]]] = deque()
        self._lag_s = 0.0
        self._runner: web.AppRunner | None = None

    async def start(self, address: str) -> str:
        """Start listening.

        :returns: bound address as ``host:port``.
        """
        app = web.Application()
        app.router.add_get("/v1/vms", self._handle_list)
        app.router.add_post("/control", self._handle_control)
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.5)
        await self._runner.setup()
        host, _, port = address.rpartition(":")
        await web.TCPSite(self._runner, host, int(port)).start()
        bound = self._runner.addresses[0]
        return f"{bound[0]}:{bound[1]}"

    async def close(self) -> None:
        """Stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    def control(self, settings: Json) -> None:
        """Change the list, or the delay with which this and later changes appear."""
        self._lag_s = float(settings.get("lag_s", self._lag_s))
        vms = dict(self._latest)
        if "vms" in settings:
            vms = {vm["name"]: vm for vm in settings["vms"]}
        vms |= {vm["name"]: vm for vm in settings.get("update", [])}
        for name in settings.get("remove", []):
            vms.pop(name, None)
        self._latest = vms
        self._pending.append((time.monotonic() + self._lag_s, vms))

    def vms(self) -> list[Json]:
        """Return the entries that are visible now."""
        while self._pending and self._pending[0][0] <= time.monotonic():
            self._visible = self._pending.popleft()[1]
        return list(self._visible.values())

    async def _handle_list(self, request: web.Request) -> web.Response:
        text = json.dumps({"vms": self.vms()})
        etag = f'"{hashlib.sha256(text.encode()).hexdigest()[:16]}"'
        if request.headers.get("If-None-Match") == etag:
            return web.Response(status=304, headers={"ETag": etag})
        response = web.json_response(text=text, headers={"ETag": etag})
        response.enable_compression()
        return response

    async def _handle_control(self, request: web.Request) -> web.Response:
        try:
            self.control(await request.json())
        except (ValueError, KeyError, TypeError) as error:
            return web.json_response({"message": repr(error)}, status=400)
        return web.json_response({})


@cappa.command(name="coltsfootfront_dev.vms", default_long=True)
@dataclass
class Arguments:
    """Simulated list of the platform's VMs."""

    address: str = "127.0.0.1:0"


def main() -> None:
    """Run the simulated VM list until SIGTERM."""
    arguments = cappa.parse(Arguments)
    serve(VmListStandIn(), "vms", arguments.address)


if __name__ == "__main__":
    main()
