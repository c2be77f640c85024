"""Interface to the platform's key-value store."""

from abc import ABC, abstractmethod
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

from returns.result import Result

from coltsfootfront.common.errors import Failure


@dataclass(frozen=True, slots=True)
class KeyValue:
    """A key with its value and metadata.

    :param create_revision: store revision at which the key was created; grows each time the key
        is created anew, so it can serve as a fencing token.
    :param mod_revision: store revision of the last change.
    :param lease: ID of the lease that the key is bound to, 0 for none.
    """

    key: str
    value: bytes
    create_revision: int
    mod_revision: int
    lease: int = 0


@dataclass(frozen=True, slots=True)
class Compare:
    """Condition of a transaction: the key was last changed at ``mod_revision``.

    :param mod_revision: 0 means that the key does not exist.
    """

    key: str
    mod_revision: int


@dataclass(frozen=True, slots=True)
class Put:
    """Write of a transaction.

    :param lease: ID of the lease to bind the key to, 0 for none.
    """

    key: str
    value: bytes
    lease: int = 0


@dataclass(frozen=True, slots=True)
class Transaction:
    """Writes that take effect atomically if every condition holds.

    :param read_on_failure: keys whose values are returned when a condition does not hold.
    """

    compares: list[Compare] = field(default_factory=list)
    puts: list[Put] = field(default_factory=list)
    deletes: list[str] = field(default_factory=list)
    read_on_failure: list[str] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class TransactionResult:
    """Result of a transaction.

    :param succeeded: whether every condition held and the writes took effect.
    :param store_revision: store revision after the transaction.
    :param read: the existing keys of ``read_on_failure`` if a condition did not hold.
    :param era: era of the store in which it was executed.
    """

    succeeded: bool
    store_revision: int
    read: list[KeyValue] = field(default_factory=list)
    era: int = 0


@dataclass(frozen=True, slots=True)
class WatchEvent:
    """A change reported by a watch.

    :param value: the new value, or None if the key was removed.
    """

    key: str
    value: KeyValue | None


class Store(ABC):
    """Key-value store for small values with compare-and-swap, leases and watches.

    Calls fail with ``store_unavailable`` if they certainly had no effect (reads, refused
    connections, rate limits) and with ``store_ambiguous`` if a write may have taken effect.
    """

    @property
    def era(self) -> int:
        """Latest known era of the store, 0 before the first call.

        The era rises each time that the store is restored from an older copy. Revisions and leases
        of different eras cannot be compared.
        """
        return 0

    @abstractmethod
    async def get(self, key: str) -> Result[KeyValue | None, Failure]:
        """Read one key."""

    @abstractmethod
    async def list_prefix(self, prefix: str) -> Result[list[KeyValue], Failure]:
        """Read all keys with a prefix, sorted by key."""

    @abstractmethod
    async def commit(self, transaction: Transaction) -> Result[TransactionResult, Failure]:
        """Execute a transaction atomically."""

    @abstractmethod
    async def grant_lease(self, ttl_s: float) -> Result[int, Failure]:
        """Create a lease.

        :param ttl_s: TTL; the lease expires and its keys are removed unless it is kept alive.
        :returns: ID of the lease.
        """

    @abstractmethod
    async def keep_alive(self, lease: int) -> Result[float, Failure]:
        """Renew a lease.

        :returns: remaining TTL in seconds, 0 if the lease no longer exists.
        """

    @abstractmethod
    async def revoke_lease(self, lease: int) -> Result[None, Failure]:
        """Revoke a lease and remove its keys; succeeds if the lease does not exist."""

    @abstractmethod
    def watch(self, prefix: str) -> AsyncIterator[WatchEvent]:
        """Watch changes of keys with a prefix, starting now.

        :raises FailureError: with ``store_unavailable`` when the watch ends; the caller has to
            read the keys again and to open a new watch.
        """

    @abstractmethod
    async def start(self) -> None:
        """Prepare for calls without opening a connection."""

    @abstractmethod
    async def close(self) -> None:
        """Close all connections."""
