"""Settings of a router that calls targets directly, on VMs that run no agent."""

from dataclasses import dataclass

from coltsfootfront.quotas.tolerance import Tolerance


@dataclass(frozen=True, slots=True)
class Bounds:
    """Service level limits that the operators guarantee to their users.

    :param grace_s: time between the stop signal and the end of the process.
    :param lease_s: shortest time between orders of two consecutive lease holders.
    :param retry_ratio: retries allowed per request within a window, over all routers.
    :param retry_fixed: retries allowed per window in addition, over all routers.
    :param retry_window_s: length of that window.
    :param targets_check_fencing: targets reject orders with an outdated fencing token.
    :param version_s: time after the announcement of new weights from which no request may start
        on older ones.
    :param config_apply_s: time after the acknowledgement of a configuration from which requests are
        handled as it says.
    :param quota_tolerance: what customers may use beyond their quotas, over all routers.
    :param stable_s: time without a disruption after which these limits apply to a router.
    """

    grace_s: float
    lease_s: float
    retry_ratio: float
    retry_fixed: float
    retry_window_s: float
    version_s: float
    config_apply_s: float
    stable_s: float
    targets_check_fencing: bool
    quota_tolerance: Tolerance = Tolerance()


@dataclass(frozen=True, slots=True)
class StoreSettings:
    """Connection to the platform's key-value service.

    :param address: host and port.
    :param min_lease_ttl_s: shortest TTL of a lease that the service grants.
    """

    address: str
    min_lease_ttl_s: float


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """Settings of one router.

    :param regions: region of each data centre.
    :param caller_address: host and port that accept callers' connections.
    :param ready_address: host and port of the platform's readiness check.
    :param peer_address: host and port that accept other routers' connections.
    :param gossip_port: UDP port for gossip between routers.
    :param metrics_port: port that serves the metrics.
    :param link_mbit_per_s: capacity of the VM's link; None if the settings do not tell it.
    :param memory_bytes: memory of the VM; the platform kills a process that exceeds it.
    :param max_descriptors: descriptors of the VM; None if the settings do not tell them.
    :param seed_addresses: peer addresses of a few routers, which may be stale.
    :param is_first_start: no router of this deployment has run before.
    """

    name: str
    ip: str
    data_centre: str
    region: str
    regions: dict[str, str]
    caller_address: str
    ready_address: str
    peer_address: str
    gossip_port: int
    metrics_port: int
    link_mbit_per_s: float | None
    memory_bytes: int
    seed_addresses: list[str]
    store: StoreSettings
    bounds: Bounds
    max_descriptors: int | None = None
    is_first_start: bool = False
