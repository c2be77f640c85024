"""State of a target's drain, requested by the document, the VM list or a stop signal."""

from enum import Enum

import logbook

from coltsfootfront.common.clock import Clock
from coltsfootfront.common.errors import ErrorKind, Failure
from coltsfootfront.common.logs import event
from coltsfootfront.configuration.activeconfiguration import ActiveConfiguration, ActiveRevision
from coltsfootfront.peers.vmlist import STATE_LEAVING, Vm

log = logbook.Logger(__name__)

ROLE_TARGET = "target"


class DrainSource(Enum):
    """What requested the drain of the target."""

    DOCUMENT = "document"
    VM_LIST = "vm_list"
    STOP = "stop"


class DrainState:
    """Records when each source requested a drain; the earliest one takes effect.

    :param target: name of the target.
    :param own_address: ``host:port`` of this agent, as listed in the VM list.
    :param configuration: configuration in force.
    :param clock: time source.
    """

    def __init__(
        self, target: str, own_address: str, configuration: ActiveConfiguration, clock: Clock
    ) -> None:
        self._target = target
        self._own_address = own_address
        self._clock = clock
        self._since_s: dict[DrainSource, float] = {}
        self._subscription = configuration.changes.subscribe(self._on_revision)

    def close(self) -> None:
        """Unsubscribe from changes of the configuration."""
        self._subscription.dispose()

    @property
    def source(self) -> DrainSource | None:
        """The source that requested a drain first, or None if the target is not draining."""
        if not self._since_s:
            return None
        return min(self._since_s, key=lambda source: self._since_s[source])

    @property
    def since_s(self) -> float | None:
        """Monotonic time at which the drain was first requested, or None."""
        return min(self._since_s.values(), default=None)

    def failure(self) -> Failure | None:
        """The failure for new requests, or None if the target is not draining."""
        source = self.source
        if source is None:
            return None
        if source is DrainSource.DOCUMENT:
            return Failure(ErrorKind.TARGET_WITHDRAWN, "the target is withdrawn")
        return Failure(ErrorKind.TARGET_LEAVING, "the target's VM is leaving")

    def record_stop_signal(self) -> None:
        """Record the stop signal, which cannot be withdrawn."""
        self._set(DrainSource.STOP, True)

    def record_vms(self, vms: list[Vm]) -> None:
        """Record the state of this target's VM; a list without the VM changes nothing."""
        for vm in vms:
            if vm.role != ROLE_TARGET:
                continue
            if vm.name == self._target or vm.peer_address == self._own_address:
                self._set(DrainSource.VM_LIST, vm.state == STATE_LEAVING)

    def _on_revision(self, active_revision: ActiveRevision) -> None:
        if active_revision.number == 0:
            return
        target = active_revision.document.targets.get(self._target)
        self._set(DrainSource.DOCUMENT, target is None or target.withdrawn)

    def _set(self, source: DrainSource, draining: bool) -> None:
        if draining and source not in self._since_s:
            self._since_s[source] = self._clock.monotonic_s()
            log.info(event("drain_started", target=self._target, source=source.value))
        elif not draining and self._since_s.pop(source, None) is not None:
            log.info(event("drain_ended", target=self._target, source=source.value))
