"""Limits on the requests that a target accepts from all routers together."""

from dataclasses import dataclass


@dataclass(slots=True)
class TargetLimit:
    """Limit that a target names in its responses.

    :param rate_per_s: requests per second from all routers together.
    :param since_s: monotonic time since which this router knows of a limit of the target.
    :param named_s: monotonic time at which this router last learned that the limit is in force.
    :param source: who reported the rate, for the log.
    """

    rate_per_s: float
    since_s: float
    named_s: float
    source: str
