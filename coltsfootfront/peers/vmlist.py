"""The platform's list of VMs that are live or leaving, that is, about to be shut down.

The list lags behind the actual state by some seconds.
"""

from abc import ABC, abstractmethod
from dataclasses import dataclass, fields
from http import HTTPStatus
from typing import Any

import aiohttp
from returns.result import Failure as Failed
from returns.result import Result, Success

from coltsfootfront.common.decoding import decoding, load_json
from coltsfootfront.common.errors import ErrorKind, Failure
from coltsfootfront.keyvalue.etcd import read_bounded

READ_TIMEOUT_S = 2.0
# 1,780 VMs at about 150 bytes are 270 KB.
MAX_LIST_BYTES = 4 * 1024 * 1024

STATE_LIVE = "live"
STATE_LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class Vm:
    """One entry of the platform's VM list.

    :param name: name of the router or target that runs on the VM.
    :param role: ``router`` or ``target``.
    :param peer_address: ``host:port`` where the VM's router or agent accepts peer connections.
    :param state: ``live``, or ``leaving`` when the VM is about to be shut down.
    """

    name: str
    role: str
    data_centre: str
    peer_address: str
    state: str


class VmList(ABC):
    """Interface to the platform's list of VMs."""

    @abstractmethod
    async def read(self) -> Result[list[Vm], Failure]:
        """Read the list, which may lag behind the actual state by some seconds."""

    @abstractmethod
    async def start(self) -> None:
        """Prepare for calls without opening a connection."""

    @abstractmethod
    async def close(self) -> None:
        """Close all connections."""


class HttpVmList(VmList):
    """Reads the VM list over HTTP.

    Requests are conditional on the entity tag of the last list read. At full size the list has
    about 270 KB; transferring it every second would take 30 times a node's budget for control
    traffic.

    :param url: base URL; the list is read with ``GET <url>/v1/vms``.
    :param timeout_s: time limit for one read.
    """

    def __init__(self, url: str, timeout_s: float = READ_TIMEOUT_S) -> None:
        self._url = url.rstrip("/") + "/v1/vms"
        self._timeout_s = timeout_s
        self._session: aiohttp.ClientSession | None = None
        self._etag = ""
        self._vms: list[Vm] = []

    async def read(self) -> Result[list[Vm], Failure]:
        """Read the list, skipping malformed entries."""
        if self._session is None:
            return Failed(_unreachable("the adapter is not started"))
        try:
            headers = {"If-None-Match": self._etag} if self._etag else {}
            async with self._session.get(self._url, headers=headers) as response:
                if response.status == HTTPStatus.NOT_MODIFIED and self._etag:
                    return Success(self._vms)
                if response.status != HTTPStatus.OK:
                    return Failed(_unreachable(f"HTTP {response.status}"))
                data = await read_bounded(response, MAX_LIST_BYTES)
                with decoding("VM list"):
                    body = load_json(data)
                tag = response.headers.get("ETag", "")
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as error:
            return Failed(_unreachable(repr(error)))
        if not isinstance(body, dict) or not isinstance(body.get("vms"), list):
            return Failed(_unreachable("the answer is not a list of VMs"))
        self._vms = [vm for item in body["vms"] if (vm := _parse_vm(item)) is not None]
        self._etag = tag
        return Success(self._vms)

    async def start(self) -> None:
        """Create the HTTP session without opening a connection."""
        timeout = aiohttp.ClientTimeout(total=self._timeout_s)
        self._session = aiohttp.ClientSession(timeout=timeout)

    async def close(self) -> None:
        """Close the HTTP session."""
        session, self._session = self._session, None
        if session is not None:
            await session.close()


def _unreachable(message: str) -> Failure:
    return Failure(ErrorKind.TARGET_UNREACHABLE, f"VM list cannot be read: {message}")


def _parse_vm(item: Any) -> Vm | None:
    if not isinstance(item, dict):
        return None
    values: dict[str, str] = {}
    for field in fields(Vm):
        value = item.get(field.name)
        if not isinstance(value, str):
            return None
        values[field.name] = value
    return Vm(**values)
