"""Settings of a router that runs targets directly."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Bounds:
    """Figures that the operators promise their users.

    :param grace_s: time between the stop signal and the end of the process.
    :param lease_s: shortest time between orders of two holders.
    :param retry_ratio: repeats allowed for each request in a window, over all routers.
    :param retry_fixed: repeats allowed in a window besides, over all routers.
    :param retry_window_s: length of that window.
    :param targets_check_fencing: targets refuse orders with an old fencing number.
    :param version_s: time after which no request may begin on older weights.
    :param stable_s: time without disruption from which a router is bound by these times.
    """

    grace_s: float
    lease_s: float
    retry_ratio: float
    retry_fixed: float
    retry_window_s: float
    version_s: float
    stable_s: float
    targets_check_fencing: bool


@dataclass(frozen=True, slots=True)
class StoreSettings:
    """The platform's key-value service.

    :param address: host and port.
    :param min_lease_ttl_s: shortest life of a lease.
    """

    address: str
    min_lease_ttl_s: float


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """Settings of one router.

    :param regions: region of each data centre.
    :param caller_address: where callers connect.
    :param ready_address: where the platform asks whether the router is ready.
    :param peer_address: where other routers connect.
    :param gossip_port: UDP port for short messages between routers.
    :param metrics_port: port of the metrics address.
    :param memory_bytes: memory of the VM; a process that takes more is ended.
    :param seed_addresses: peer addresses of a few routers, which may be stale.
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
    memory_bytes: int
    seed_addresses: list[str]
    store: StoreSettings
    bounds: Bounds
