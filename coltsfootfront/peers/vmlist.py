"""The platform's lagging list of live and leaving VMs."""

import json
from abc import ABC, abstractmethod
from dataclasses import dataclass, fields
from http import HTTPStatus
from typing import Any

import aiohttp
from returns.result import Failure as Failed
from returns.result import Result, Success

from coltsfootfront.common.errors import ErrorKind, Failure
from coltsfootfront.keyvalue.etcd import read_bounded

READ_TIMEOUT_S = 2.0
# 1,780 VMs at about 150 bytes are 270 KB.
MAX_LIST_BYTES = 4 * 1024 * 1024

STATE_LIVE = "live"
STATE_LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class Vm:
    """One VM of the platform's list.

    :param name: process or target name that runs there.
    :param role: ``router`` or ``target``.
    :param peer_address: ``host:port`` of the system's process on it.
    :param state: ``live`` or ``leaving``.
    """

    name: str
    role: str
    data_centre: str
    peer_address: str
    state: str


class VmList(ABC):
    """Reads the platform's list of VMs."""

    @abstractmethod
    async def read(self) -> Result[list[Vm], Failure]:
        """Read the list; it may lag behind by some seconds."""

    @abstractmethod
    async def start(self) -> None:
        """Prepare for calls; opens no connection."""

    @abstractmethod
    async def close(self) -> None:
        """Release connections."""


class HttpVmList(VmList):
    """The platform's list over HTTP.

    The list is asked for with the entity tag of the one at hand. At full size it has about 270 KB,
    and read whole once a second it would take 30 times a node's budget for control traffic.

    :param url: base URL; the list is read with ``GET <url>/v1/vms``.
    :param timeout_s: limit for one read.
    """

    def __init__(self, url: str, timeout_s: float = READ_TIMEOUT_S) -> None:
        self._url = url.rstrip("/") + "/v1/vms"
        self._timeout_s = timeout_s
        self._session: aiohttp.ClientSession | None = None
        self._tag = ""
        self._vms: list[Vm] = []

    async def read(self) -> Result[list[Vm], Failure]:
        """Read the list; entries that cannot be read are left out."""
        if self._session is None:
            return Failed(_unreachable("the adapter is not started"))
        try:
            headers = {"If-None-Match": self._tag} if self._tag else {}
            async with self._session.get(self._url, headers=headers) as response:
                if response.status == HTTPStatus.NOT_MODIFIED and self._tag:
                    return Success(self._vms)
                if response.status != HTTPStatus.OK:
                    return Failed(_unreachable(f"HTTP {response.status}"))
                body = json.loads(await read_bounded(response, MAX_LIST_BYTES))
                tag = response.headers.get("ETag", "")
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as error:
            return Failed(_unreachable(repr(error)))
        if not isinstance(body, dict) or not isinstance(body.get("vms"), list):
            return Failed(_unreachable("the answer is not a list of VMs"))
        self._vms = [vm for item in body["vms"] if (vm := _vm(item)) is not None]
        self._tag = tag
        return Success(self._vms)

    async def start(self) -> None:
        """Prepare the HTTP session; opens no connection."""
        timeout = aiohttp.ClientTimeout(total=self._timeout_s)
        self._session = aiohttp.ClientSession(timeout=timeout)

    async def close(self) -> None:
        """Close the HTTP session."""
        session, self._session = self._session, None
        if session is not None:
            await session.close()


def _unreachable(message: str) -> Failure:
    return Failure(ErrorKind.TARGET_UNREACHABLE, f"VM list cannot be read: {message}")


def _vm(item: Any) -> Vm | None:
    if not isinstance(item, dict):
        return None
    values: dict[str, str] = {}
    for field in fields(Vm):
        value = item.get(field.name)
        if not isinstance(value, str):
            return None
        values[field.name] = value
    return Vm(**values)
