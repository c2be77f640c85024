"""Spreads the parsing of expensive input over rounds of the event loop.

Answers a load of many connections that send chunks of a few bytes: parsing 16 kB of them takes
some 10 ms, and a round of the event loop over a thousand such connections several seconds, in
which no other caller is served.
"""

import asyncio
from abc import ABC, abstractmethod
from collections import deque

from coltsfootfront.common.clock import Clock

# Parsing time after which a round ends, so that others are served in between.
ROUND_S = 0.01
# Share of the time that is spent on parsing while several connections wait.
PARSING_SHARE = 0.5


class PacedConnection(ABC):
    """Connection whose input waits to be parsed."""

    @abstractmethod
    def parse_next(self) -> bool:
        """Parse the next part of the input.

        :returns: whether more can be parsed at once.
        """


class ParsePacer:
    """Lets connections take turns at parsing their input."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._waiting: deque[PacedConnection] = deque()
        self._handle: asyncio.TimerHandle | None = None

    def add(self, connection: PacedConnection) -> None:
        """Let a connection take its turn after those that wait."""
        self._waiting.append(connection)
        if self._handle is None:
            self._schedule(0.0)

    def close(self) -> None:
        """End all turns; the input that waits is not parsed any more."""
        self._waiting.clear()
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None

    def _schedule(self, delay_s: float) -> None:
        self._handle = asyncio.get_running_loop().call_later(delay_s, self._run)

    def _run(self) -> None:
        delay_s = 0.0
        try:
            delay_s = self.run_round()
        finally:
            self._handle = None
            if self._waiting:
                self._schedule(delay_s)

    def run_round(self) -> float:
        """Let connections parse until the time of a round is up.

        :returns: seconds until the next round.
        """
        began_s = self._clock.monotonic_s()
        passed_s = 0.0
        while self._waiting and passed_s < ROUND_S:
            connection = self._waiting.popleft()
            if connection.parse_next():
                self._waiting.append(connection)
            passed_s = self._clock.monotonic_s() - began_s
        if len(self._waiting) <= 1:
            # Nobody else waits for a turn, and others are served between the rounds.
            return 0.0
        return passed_s * (1 / PARSING_SHARE - 1)
