"""The platform's lagging list of live and leaving VMs."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from returns.result import Result

from coltsfootfront.errors import Failure

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
