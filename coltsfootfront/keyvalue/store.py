"""Interface to the platform's key-value service."""

from abc import ABC, abstractmethod
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

from returns.result import Result

from coltsfootfront.common.errors import Failure


@dataclass(frozen=True, slots=True)
class KeyValue:
    """One stored key.

    :param create_revision: store revision at which the key was created; grows with each new
        creation and so serves as a fencing number.
    :param mod_revision: store revision of the last change.
    :param lease: lease number the key is bound to, 0 for none.
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

    :param lease: lease number to bind the key to, 0 for none.
    """

    key: str
    value: bytes
    lease: int = 0


@dataclass(frozen=True, slots=True)
class Transaction:
    """Writes that take effect together if every condition holds.

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
    :param read: values of ``read_on_failure`` keys that exist.
    """

    succeeded: bool
    store_revision: int
    read: list[KeyValue] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class WatchEvent:
    """One change seen by a watch.

    :param value: the new state, or None after a removal.
    """

    key: str
    value: KeyValue | None


class Store(ABC):
    """Compare-and-swap, leases and watches on small values.

    Failures are ``store_unavailable`` when the call had no effect for certain (reads, refused
    connections, rate limits) and ``store_ambiguous`` when a write may have taken effect.
    """

    @abstractmethod
    async def get(self, key: str) -> Result[KeyValue | None, Failure]:
        """Read one key."""

    @abstractmethod
    async def list_prefix(self, prefix: str) -> Result[list[KeyValue], Failure]:
        """Read all keys with a prefix, ordered by key."""

    @abstractmethod
    async def commit(self, transaction: Transaction) -> Result[TransactionResult, Failure]:
        """Run a transaction."""

    @abstractmethod
    async def grant_lease(self, ttl_s: float) -> Result[int, Failure]:
        """Create a lease.

        :param ttl_s: time after which the lease and its keys vanish unless kept alive.
        :returns: lease number.
        """

    @abstractmethod
    async def keep_alive(self, lease: int) -> Result[float, Failure]:
        """Extend a lease.

        :returns: remaining life in seconds; 0 when the lease no longer exists.
        """

    @abstractmethod
    async def revoke_lease(self, lease: int) -> Result[None, Failure]:
        """End a lease and remove its keys."""

    @abstractmethod
    def watch(self, prefix: str) -> AsyncIterator[WatchEvent]:
        """Watch changes of keys with a prefix, from now on.

        :raises FailureError: with ``store_unavailable`` when the watch ends; the caller reads
            the state again and opens a new watch.
        """

    @abstractmethod
    async def start(self) -> None:
        """Prepare for calls; opens no connection."""

    @abstractmethod
    async def close(self) -> None:
        """Release connections."""
