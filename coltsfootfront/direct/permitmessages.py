"""Messages between routers about permits for requests to limited targets."""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import Enum
from typing import Any

from coltsfootfront.common.decoding import (
    decoding,
    read_integer,
    read_ip_address,
    read_list,
    read_number,
    read_object,
    read_seconds,
    read_text,
)
from coltsfootfront.direct.directory import Target


@dataclass(frozen=True, slots=True)
class TargetKey:
    """Identifies one start of a target, for all routers alike.

    :param started_ms: Unix time of its start in milliseconds.
    """

    name: str
    started_ms: int
    data_centre: str

    @classmethod
    def of(cls, target: Target) -> "TargetKey":
        """Key of a target."""
        entry = target.entry
        return cls(entry.name, entry.started_ms, entry.data_centre)


class Verdict(Enum):
    """Response of a router to a request for a permit."""

    GRANTED = "granted"
    DENIED = "denied"
    REFERRED = "referred"
    """Another router is the issuer, or this one must not issue for now."""


@dataclass(frozen=True, slots=True)
class PermitRequest:
    """Request of a router for one permit.

    :param number: identifies the request, also when it is sent again.
    :param router: address of the router that asks.
    :param rate_per_s: limit of the target as that router knows it.
    :param max_wait_s: longest time until the permit may be used.
    :param demand: requests that the router has for the target since its last request.
    :param skipped: routers that did not answer or referred the request to the next.
    :param suspected: for how long that router suspects others, by their addresses.
    """

    number: int
    router: str
    target: TargetKey
    rate_per_s: float
    max_wait_s: float
    demand: int
    skipped: list[str]
    suspected: dict[str, float]

    def to_fields(self) -> list[Any]:
        """Fields of the message."""
        target = self.target
        return [
            self.number,
            self.router,
            [target.name, target.started_ms, target.data_centre],
            self.rate_per_s,
            self.max_wait_s,
            self.demand,
            self.skipped,
            self.suspected,
        ]

    @classmethod
    def from_fields(cls, fields: list[Any]) -> "PermitRequest":
        """Decode a message.

        :raises DecodingError: if it is malformed.
        """
        with decoding("request for a permit"):
            number, router, (name, started_ms, data_centre), rate_per_s, max_wait_s, *rest = fields
            demand, skipped, suspected = rest
            target = TargetKey(read_text(name), read_integer(started_ms), read_text(data_centre))
            return cls(
                read_integer(number),
                read_ip_address(router),
                target,
                read_number(rate_per_s),
                read_seconds(max_wait_s),
                max(1, read_integer(demand)),
                [read_ip_address(item) for item in read_list(skipped)],
                {
                    read_ip_address(item): read_seconds(for_s)
                    for item, for_s in read_object(suspected).items()
                },
            )


@dataclass(frozen=True, slots=True)
class PermitResponse:
    """Response to a request for a permit.

    :param number: of the request.
    :param wait_s: time until the permit may be used, or until the next one is available.
    :param share: share of the permits that the router which asked gets.
    :param issuer: router to ask instead if the request is referred.
    """

    number: int
    verdict: Verdict
    wait_s: float = 0.0
    share: float = 1.0
    issuer: str = ""

    def to_fields(self) -> list[Any]:
        """Fields of the message."""
        return [self.number, self.verdict.value, self.wait_s, self.share, self.issuer]

    @classmethod
    def from_fields(cls, fields: list[Any]) -> "PermitResponse":
        """Decode a message.

        :raises DecodingError: if it is malformed.
        """
        with decoding("response to a request for a permit"):
            number, verdict, wait_s, share, issuer = fields
            return cls(
                read_integer(number),
                Verdict(verdict),
                read_seconds(wait_s),
                min(1.0, read_number(share)),
                read_ip_address(issuer) if issuer else "",
            )


class PermitChannel(ABC):
    """Carries messages between routers; any message may be lost."""

    @abstractmethod
    def send_request(self, router: str, request: PermitRequest) -> None:
        """Send a request for a permit to a router."""

    @abstractmethod
    def send_response(self, router: str, response: PermitResponse) -> None:
        """Send a response to the router that asked."""

    @abstractmethod
    def announce_suspicion(self, router: str, for_s: float) -> None:
        """Tell all routers that a router is suspected for some time."""

    @abstractmethod
    def send_suspicion(self, router: str, for_s: float) -> None:
        """Tell a router that it is suspected for some time."""
