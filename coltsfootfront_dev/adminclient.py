"""An operator of the system: applies documents and reads which revision each process runs."""

import asyncio
import copy
import time
from dataclasses import dataclass
from typing import Any

import aiohttp

from coltsfootfront_dev.launcher import Fleet
from coltsfootfront_dev.processes import FleetProcess
from coltsfootfront_dev.deployment import OPERATOR_KEY

POLL_S = 0.02


@dataclass(frozen=True, slots=True)
class ApplyReply:
    """Answer of the administration API to one change.

    :param status: HTTP status, 0 when the connection failed.
    :param revision: accepted revision, 0 if none.
    """

    status: int
    revision: int
    value: Any


class AdminClient:
    """Changes the document of a fleet.

    :param fleet: a running fleet.
    """

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet

    async def apply(
        self, document: dict[str, Any], expected_revision: int, operation_id: str = ""
    ) -> ApplyReply:
        """Ask for one change.

        :param operation_id: identifier of the change, or an empty string.
        """
        body: dict[str, Any] = {"document": document, "expected_revision": expected_revision}
        if operation_id:
            body["operation_id"] = operation_id
        return await self._post("apply", body)

    async def rollback(self, revision: int, expected_revision: int) -> ApplyReply:
        """Ask to restore the content of an old revision."""
        return await self._post(
            "rollback", {"revision": revision, "expected_revision": expected_revision}
        )

    async def status(self) -> list[dict[str, Any]]:
        """Read the state of every router and agent."""
        value: list[dict[str, Any]] = (await self._get("status"))["processes"]
        return value

    async def history(self) -> list[dict[str, Any]]:
        """Read the latest records, the newest first."""
        value: list[dict[str, Any]] = (await self._get("history"))["revisions"]
        return value

    def document_with_contact(self, contact: str) -> dict[str, Any]:
        """The fleet's document with another contact of its first owner."""
        document = copy.deepcopy(self._fleet.document)
        owner = next(iter(document["owners"]))
        document["owners"][owner] = {"contact": contact}
        return document

    async def revisions(self) -> dict[str, int]:
        """Revision in force by process name, for routers and agents that answer."""
        processes = [*self._fleet.routers, *self._fleet.agents]
        numbers = await asyncio.gather(*(self._revision(process) for process in processes))
        return {
            process.name: number
            for process, number in zip(processes, numbers, strict=True)
            if number is not None
        }

    async def wait_until_active(
        self, revision: int, timeout_s: float, names: set[str] | None = None
    ) -> float:
        """Wait until a revision or a later one is in force.

        :param names: processes to wait for, all routers and agents by default.
        :returns: seconds waited.
        :raises TimeoutError: a process does not run it within the limit.
        """
        wanted = names or {row.name for row in (*self._fleet.routers, *self._fleet.agents)}
        start_s = time.monotonic()
        while True:
            running = await self.revisions()
            behind = {name for name in wanted if running.get(name, 0) < revision}
            waited_s = time.monotonic() - start_s
            if not behind:
                return waited_s
            if waited_s > timeout_s:
                raise TimeoutError(f"{sorted(behind)} do not run revision {revision}: {running}")
            await asyncio.sleep(POLL_S)

    async def _revision(self, process: FleetProcess) -> int | None:
        try:
            async with asyncio.timeout(0.5):
                return await self._fleet.revision_of(process)
        except (aiohttp.ClientError, OSError, TimeoutError):
            return None

    async def _post(self, path: str, body: dict[str, Any]) -> ApplyReply:
        try:
            async with self._fleet.session.post(
                self._url(path), json=body, headers=self._headers()
            ) as response:
                value = await response.json(content_type=None)
                return ApplyReply(response.status, int(value.get("revision", 0)), value)
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            return ApplyReply(0, 0, repr(error))

    async def _get(self, path: str) -> Any:
        async with self._fleet.session.get(self._url(path), headers=self._headers()) as response:
            return await response.json()

    def _url(self, path: str) -> str:
        return f"http://{self._fleet.of_role('admin')[0].address}/v1/{path}"

    def _headers(self) -> dict[str, str]:
        return {"Authorization": f"Bearer {OPERATOR_KEY}"}
