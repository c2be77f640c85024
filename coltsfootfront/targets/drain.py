"""Reasons for which a target takes no new work: document, VM list and stop signal."""

from enum import Enum

import logbook

from coltsfootfront.common.clock import Clock
from coltsfootfront.common.errors import ErrorKind, Failure
from coltsfootfront.common.logs import event
from coltsfootfront.configuration.activeconfiguration import ActiveRevision, ActiveConfiguration
from coltsfootfront.peers.vmlist import STATE_LEAVING, Vm

log = logbook.Logger(__name__)

ROLE_TARGET = "target"


class Source(Enum):
    """Who asked for the target to be drained."""

    DOCUMENT = "document"
    VM_LIST = "vm_list"
    STOP = "stop"


class Drain:
    """Keeps the time at which each source asked; the earliest takes effect.

    :param target: name of the target.
    :param own_address: ``host:port`` of this agent, as on the VM list.
    :param revision: configuration in force.
    :param clock: time source.
    """

    def __init__(self, target: str, own_address: str, revision: ActiveConfiguration, clock: Clock) -> None:
        self._target = target
        self._own_address = own_address
        self._clock = clock
        self._since_s: dict[Source, float] = {}
        self._subscription = revision.changes.subscribe(self._read_document)

    def close(self) -> None:
        """Stop to follow the configuration."""
        self._subscription.dispose()

    @property
    def source(self) -> Source | None:
        """The source that asked first, or None while the target takes work."""
        if not self._since_s:
            return None
        return min(self._since_s, key=lambda source: self._since_s[source])

    @property
    def since_s(self) -> float | None:
        """Monotonic time of the earliest demand, or None."""
        return min(self._since_s.values(), default=None)

    def failure(self) -> Failure | None:
        """The refusal of new work, or None."""
        source = self.source
        if source is None:
            return None
        if source is Source.DOCUMENT:
            return Failure(ErrorKind.TARGET_WITHDRAWN, "the target is withdrawn")
        return Failure(ErrorKind.TARGET_LEAVING, "the target's VM is leaving")

    def stop(self) -> None:
        """Record the stop signal; it is never taken back."""
        self._set(Source.STOP, True)

    def note_vms(self, vms: list[Vm]) -> None:
        """Record the state of this target's VM; a list without it changes nothing."""
        for vm in vms:
            if vm.role != ROLE_TARGET:
                continue
            if vm.name == self._target or vm.peer_address == self._own_address:
                self._set(Source.VM_LIST, vm.state == STATE_LEAVING)

    def _read_document(self, in_force: ActiveRevision) -> None:
        if in_force.number == 0:
            return
        target = in_force.document.targets.get(self._target)
        self._set(Source.DOCUMENT, target is None or target.withdrawn)

    def _set(self, source: Source, draining: bool) -> None:
        if draining and source not in self._since_s:
            self._since_s[source] = self._clock.monotonic_s()
            log.info(event("drain_started", target=self._target, source=source.value))
        elif not draining and self._since_s.pop(source, None) is not None:
            log.info(event("drain_ended", target=self._target, source=source.value))
