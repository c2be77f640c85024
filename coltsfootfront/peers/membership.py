"""Live routers and leaving targets, from the platform's VM list and routers' heartbeats."""

from collections.abc import Callable

import logbook
from returns.result import Failure as Failed

from coltsfootfront.common.clock import Clock
from coltsfootfront.common.logs import event
from coltsfootfront.peers.messages import Heartbeat
from coltsfootfront.peers.vmlist import STATE_LEAVING, STATE_LIVE, Vm, VmList

log = logbook.Logger(__name__)

ROLE_ROUTER = "router"
ROLE_TARGET = "target"
# Heartbeat intervals without a heartbeat after which a router that is not on the VM list no longer
# counts as live.
MISSED_HEARTBEATS = 4
# Limit of routers known from heartbeats; a data centre has about 32 at full size.
MAX_HEARTBEAT_ROUTERS = 1024


class _HeartbeatRecord:
    """A router known from its last heartbeat."""

    __slots__ = ("address", "data_centre", "received_s")

    def __init__(self, data_centre: str, address: str, received_s: float) -> None:
        self.data_centre = data_centre
        self.address = address
        self.received_s = received_s


class Membership:
    """Tracks live routers and leaving targets, whose VMs are about to be shut down.

    The state is in memory only; after a restart the VM list and heartbeats restore it.

    :param name: name of this router.
    :param data_centre: data centre of this router.
    :param clock: time source.
    :param vm_list: the platform's VM list, or None if there is none.
    :param interval_s: time between reads of the VM list.
    :param heartbeat_interval_s: time between heartbeats of a router.
    :param on_change: called after the routers, their addresses or the leaving targets change.
    """

    def __init__(
        self,
        name: str,
        data_centre: str,
        clock: Clock,
        vm_list: VmList | None,
        interval_s: float,
        heartbeat_interval_s: float,
        on_change: Callable[[], None] | None = None,
    ) -> None:
        self._name = name
        self._data_centre = data_centre
        self._clock = clock
        self._vm_list = vm_list
        self._interval_s = interval_s
        self._heartbeat_timeout_s = heartbeat_interval_s * MISSED_HEARTBEATS
        self._on_change = on_change
        self._routers: dict[str, Vm] = {}
        self._agents: list[str] = []
        self._leaving: frozenset[str] = frozenset()
        self._leaving_routers: frozenset[str] = frozenset()
        self._heartbeats: dict[str, _HeartbeatRecord] = {}
        self._reported_state = self._state()

    @property
    def leaving(self) -> frozenset[str]:
        """Names of targets whose VM is about to be shut down."""
        return self._leaving

    def is_leaving(self, target: str) -> bool:
        """Whether a target's VM is about to be shut down."""
        return target in self._leaving

    def routers(self) -> list[str]:
        """Sorted names of the live routers of this data centre, including this one."""
        names = {self._name}
        names.update(
            name for name, vm in self._routers.items() if vm.data_centre == self._data_centre
        )
        for name, record in self._live_heartbeats().items():
            if record.data_centre == self._data_centre:
                names.add(name)
        return sorted(names)

    def count_routers(self, data_centres: list[str]) -> int:
        """Number of live routers known in the given data centres; this one always counts."""
        names = {self._name}
        names.update(name for name, vm in self._routers.items() if vm.data_centre in data_centres)
        for name, record in self._live_heartbeats().items():
            if record.data_centre in data_centres:
                names.add(name)
        return len(names)

    def peers(self) -> list[str]:
        """Sorted peer addresses of all other known live routers."""
        addresses = {vm.peer_address for name, vm in self._routers.items() if name != self._name}
        for name, record in self._live_heartbeats().items():
            if name != self._name and record.address:
                addresses.add(record.address)
        return sorted(addresses)

    def agents(self) -> list[str]:
        """Peer addresses of the agents on the VM list's live VMs."""
        return list(self._agents)

    def record_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Record a heartbeat from another process; those of other roles than router are ignored."""
        if heartbeat.role != ROLE_ROUTER or heartbeat.name == self._name:
            return
        if (
            heartbeat.name not in self._heartbeats
            and len(self._heartbeats) >= MAX_HEARTBEAT_ROUTERS
        ):
            self._drop_expired_heartbeats()
            if len(self._heartbeats) >= MAX_HEARTBEAT_ROUTERS:
                return
        known = self._heartbeats.get(heartbeat.name)
        now_s = self._clock.monotonic_s()
        self._heartbeats[heartbeat.name] = _HeartbeatRecord(
            heartbeat.data_centre, heartbeat.address, now_s
        )
        if known is None or known.address != heartbeat.address:
            self._report_change()

    async def run(self) -> None:
        """Read the VM list periodically, forever."""
        while True:
            await self.refresh()
            await self._clock.sleep(self._interval_s)

    async def refresh(self) -> bool:
        """Read the VM list once and drop expired heartbeats.

        :returns: False if the list could not be read; the last one read stays in effect.
        """
        self._drop_expired_heartbeats()
        is_read = await self._read_list()
        self._report_change()
        return is_read

    def _state(self) -> tuple[list[str], list[str], frozenset[str]]:
        return self.routers(), self.peers(), self._leaving

    def _report_change(self) -> None:
        state = self._state()
        if state == self._reported_state:
            return
        self._reported_state = state
        if self._on_change is not None:
            self._on_change()

    async def _read_list(self) -> bool:
        if self._vm_list is None:
            return True
        result = await self._vm_list.read()
        if isinstance(result, Failed):
            log.warning(event("vm_list_unavailable", reason=result.failure().message))
            return False
        vms = result.unwrap()
        routers = [vm for vm in vms if vm.role == ROLE_ROUTER]
        self._routers = {vm.name: vm for vm in routers if vm.state == STATE_LIVE}
        self._leaving_routers = frozenset(vm.name for vm in routers if vm.state == STATE_LEAVING)
        targets = [vm for vm in vms if vm.role == ROLE_TARGET]
        self._agents = [vm.peer_address for vm in targets if vm.state == STATE_LIVE]
        self._leaving = frozenset(vm.name for vm in targets if vm.state == STATE_LEAVING)
        return True

    def _live_heartbeats(self) -> dict[str, _HeartbeatRecord]:
        oldest_s = self._clock.monotonic_s() - self._heartbeat_timeout_s
        return {
            name: record
            for name, record in self._heartbeats.items()
            if record.received_s >= oldest_s and name not in self._leaving_routers
        }

    def _drop_expired_heartbeats(self) -> None:
        oldest_s = self._clock.monotonic_s() - self._heartbeat_timeout_s
        for name in [name for name, item in self._heartbeats.items() if item.received_s < oldest_s]:
            del self._heartbeats[name]
