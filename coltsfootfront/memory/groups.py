"""What the connections of one address or one customer hold together."""

from collections import Counter


class GroupTotals:
    """Bytes held by each address and by each customer.

    The customer is what a caller claims to be, so a connection counts for its address as well.
    """

    __slots__ = ("_addresses", "_customers")

    def __init__(self) -> None:
        self._addresses: Counter[str] = Counter()
        self._customers: Counter[str] = Counter()

    def add(self, address: str, customer: str, more_bytes: int) -> None:
        """Change the totals of an address and of a customer, an empty one being none."""
        _add(self._addresses, address, more_bytes)
        if customer:
            _add(self._customers, customer, more_bytes)

    def larger_bytes(self, address: str, customer: str) -> int:
        """The larger one of both totals."""
        return max(self._addresses[address], self._customers[customer])


def _add(totals: Counter[str], name: str, more_bytes: int) -> None:
    total = totals[name] + more_bytes
    if total:
        totals[name] = total
    else:
        # Callers may claim any number of names.
        totals.pop(name, None)
