"""What routers report to each other about the use of quotas."""

from dataclasses import dataclass
from typing import Any

from coltsfootfront.common.decoding import (
    decode_each,
    read_address,
    read_integer,
    read_list,
    read_number,
    read_text,
)

# Largest debt of a bucket that is reported; a bucket of 2^40 tokens would last for years.
MAX_LEVEL = 2.0**40


@dataclass(frozen=True, slots=True)
class CustomerUsage:
    """Use of one customer's quota at one router.

    :param total: units admitted by this process since it started, less those refunded.
    :param rate_per_s: recent rate of these.
    :param level: units that the router takes to be available in the whole fleet; None while it
        does not know, as it has started lately.
    :param since_s: uptime of the process from which the total counts. It is later than the start
        if the customer has got its quota later, or has lost it in between.
    """

    customer: str
    total: float
    rate_per_s: float
    level: float | None
    since_s: float = 0.0

    def to_fields(self) -> list[Any]:
        """Encode as a row of a message."""
        return [
            self.customer,
            round(self.total),
            round(self.rate_per_s),
            None if self.level is None else round(self.level),
            round(self.since_s * 1000),
        ]


@dataclass(frozen=True, slots=True)
class UsageReport:
    """Report of one router.

    :param router: its address.
    :param incarnation: tells its process from an earlier one, whose totals have gone.
    :param uptime_s: time since its process started, which also tells reports that arrive late.
    :param missing: routers whose reports it has been missing.
    """

    router: str
    incarnation: int
    uptime_s: float
    missing: tuple[str, ...] = ()
    usages: tuple[CustomerUsage, ...] = ()

    def to_fields(self) -> list[Any]:
        """Encode as the fields of a message."""
        rows = [usage.to_fields() for usage in self.usages]
        uptime_s = round(self.uptime_s, 3)
        return [self.router, self.incarnation, uptime_s, list(self.missing), rows]

    @classmethod
    def from_fields(cls, fields: Any) -> "UsageReport":
        """Decode the fields of a message.

        :raises DecodingError: if one of them is malformed.
        """
        router, incarnation, uptime_s, missing, rows = read_list(fields)
        return cls(
            read_address(router),
            read_integer(incarnation),
            read_number(uptime_s),
            tuple(read_address(address) for address in read_list(missing)),
            tuple(decode_each("usage", read_list(rows), _decode_usage, router=router)),
        )


def _decode_usage(row: Any) -> CustomerUsage:
    customer, total, rate_per_s, level, since_ms = read_list(row)
    return CustomerUsage(
        read_text(customer),
        read_number(total, low=-MAX_LEVEL),
        read_number(rate_per_s),
        None if level is None else read_number(level, low=-MAX_LEVEL),
        read_integer(since_ms) / 1000,
    )
