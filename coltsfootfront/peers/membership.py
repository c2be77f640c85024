"""Live routers of the data centre and leaving targets, from the VM list and greetings."""

from collections.abc import Callable

import logbook
from returns.result import Failure as Failed

from coltsfootfront.common.clock import Clock
from coltsfootfront.common.logs import event
from coltsfootfront.peers.vmlist import STATE_LEAVING, STATE_LIVE, Vm, VmList
from coltsfootfront.peers.messages import Heartbeat

log = logbook.Logger(__name__)

ROLE_ROUTER = "router"
ROLE_TARGET = "target"
# A router that greeted no one for this many intervals counts as gone unless the list names it.
MISSED_GREETINGS = 4
# Greeting routers that are remembered; a data centre has about 32 at full size.
MAX_GREETED = 1024


class _Greeted:
    """A router known from its greeting."""

    __slots__ = ("address", "data_centre", "seen_s")

    def __init__(self, data_centre: str, address: str, seen_s: float) -> None:
        self.data_centre = data_centre
        self.address = address
        self.seen_s = seen_s


class Membership:
    """Knows which routers live and which targets leave. Lost by a restart without harm.

    :param name: name of this router.
    :param data_centre: data centre of this router.
    :param clock: time source.
    :param vm_list: the platform's list, or None to do without it.
    :param interval_s: time between reads of the list.
    :param greet_interval_s: time between greetings.
    :param on_change: called after the set of routers or of leaving targets has changed.
    """

    def __init__(
        self,
        name: str,
        data_centre: str,
        clock: Clock,
        vm_list: VmList | None,
        interval_s: float,
        greet_interval_s: float,
        on_change: Callable[[], None] | None = None,
    ) -> None:
        self._name = name
        self._data_centre = data_centre
        self._clock = clock
        self._vm_list = vm_list
        self._interval_s = interval_s
        self._greeting_life_s = greet_interval_s * MISSED_GREETINGS
        self._on_change = on_change
        self._routers: dict[str, Vm] = {}
        self._agents: list[str] = []
        self._leaving: frozenset[str] = frozenset()
        self._leaving_routers: frozenset[str] = frozenset()
        self._greeted: dict[str, _Greeted] = {}
        self._announced = self._state()

    @property
    def leaving(self) -> frozenset[str]:
        """Names of targets whose VM leaves."""
        return self._leaving

    def is_leaving(self, target: str) -> bool:
        """Whether a target's VM leaves."""
        return target in self._leaving

    def routers(self) -> list[str]:
        """Names of the live routers of this data centre, with this one, sorted."""
        names = {self._name}
        names.update(
            name for name, vm in self._routers.items() if vm.data_centre == self._data_centre
        )
        for name, greeted in self._live_greeted().items():
            if greeted.data_centre == self._data_centre:
                names.add(name)
        return sorted(names)

    def count_routers(self, data_centres: list[str]) -> int:
        """Number of live routers known in some data centres, at least 1."""
        names = {self._name}
        names.update(name for name, vm in self._routers.items() if vm.data_centre in data_centres)
        for name, greeted in self._live_greeted().items():
            if greeted.data_centre in data_centres:
                names.add(name)
        return len(names)

    def peers(self) -> list[str]:
        """Peer addresses of all other live routers that are known."""
        addresses = {vm.peer_address for name, vm in self._routers.items() if name != self._name}
        for name, greeted in self._live_greeted().items():
            if name != self._name and greeted.address:
                addresses.add(greeted.address)
        return sorted(addresses)

    def agents(self) -> list[str]:
        """Peer addresses of agents on live VMs, as far as the list names them."""
        return list(self._agents)

    def record_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Take a greeting from another process; only routers count."""
        if heartbeat.role != ROLE_ROUTER or heartbeat.name == self._name:
            return
        if heartbeat.name not in self._greeted and len(self._greeted) >= MAX_GREETED:
            self._forget_silent()
            if len(self._greeted) >= MAX_GREETED:
                return
        known = self._greeted.get(heartbeat.name)
        now_s = self._clock.monotonic_s()
        self._greeted[heartbeat.name] = _Greeted(heartbeat.data_centre, heartbeat.address, now_s)
        if known is None or known.address != heartbeat.address:
            self._announce()

    async def run(self) -> None:
        """Read the list again and again."""
        while True:
            await self.refresh()
            await self._clock.sleep(self._interval_s)

    async def refresh(self) -> bool:
        """Read the list once.

        :returns: False when it could not be read; what was known stays in force.
        """
        self._forget_silent()
        is_read = await self._read_list()
        self._announce()
        return is_read

    def _state(self) -> tuple[list[str], list[str], frozenset[str]]:
        return self.routers(), self.peers(), self._leaving

    def _announce(self) -> None:
        state = self._state()
        if state == self._announced:
            return
        self._announced = state
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

    def _live_greeted(self) -> dict[str, _Greeted]:
        oldest_s = self._clock.monotonic_s() - self._greeting_life_s
        return {
            name: greeted
            for name, greeted in self._greeted.items()
            if greeted.seen_s >= oldest_s and name not in self._leaving_routers
        }

    def _forget_silent(self) -> None:
        oldest_s = self._clock.monotonic_s() - self._greeting_life_s
        for name in [name for name, item in self._greeted.items() if item.seen_s < oldest_s]:
            del self._greeted[name]
