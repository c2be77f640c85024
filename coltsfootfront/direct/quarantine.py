"""Prompt parts that have crashed targets, whose requests are held back for a time.

When the time is over, one request of all routers together is sent as a trial. If a target answers
it, the parts are released; otherwise the time doubles.
"""

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass, field

from coltsfootfront.common.clock import Clock

# Long enough that trials crash only a few targets while callers go on sending such requests.
FIRST_HOLD_S = 20.0
MAX_HOLD_S = 600.0
# Parts for which no request has come for this long after their time are released.
IDLE_RELEASE_S = 600.0
MAX_RECORDS = 64
# Routers tell each other of quarantined parts repeatedly; a release prevails over what a router
# that has not heard of it tells.
RELEASE_PREVAILS_S = 10.0


@dataclass(slots=True)
class QuarantineRecord:
    """Parts that are quarantined: a request with all of them is held back.

    :param parts: keys of the parts.
    :param targets: number of targets that they have crashed.
    :param hold_s: time for which they are held back, from ``held_from_s``.
    :param trials: requests that have been sent as a trial.
    :param since_ms: Unix time of the conviction in milliseconds, for operators.
    :param reported_by: router that convicted them.
    :param held_from_s: monotonic time at which this router learned of it or of the last trial.
    """

    parts: frozenset[str]
    targets: int
    hold_s: float
    trials: int
    since_ms: int
    reported_by: str
    held_from_s: float = 0.0
    held_back: int = field(default=0, compare=False)
    """Requests that this router has held back."""

    @property
    def id(self) -> str:
        """Identifies the parts for all routers alike."""
        text = "\n".join(sorted(self.parts))
        return hashlib.sha256(text.encode()).hexdigest()[:24]

    def left_s(self, now_s: float) -> float:
        """Time until a trial is due."""
        return max(0.0, self.held_from_s + self.hold_s - now_s)


class Quarantine:
    """The quarantined parts that this router knows of.

    :param clock: time source.
    """

    __slots__ = ("_clock", "_records", "_released_s")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._records: dict[str, QuarantineRecord] = {}
        self._released_s: dict[str, float] = {}

    def records(self) -> list[QuarantineRecord]:
        """All records."""
        return list(self._records.values())

    def get(self, record_id: str) -> QuarantineRecord | None:
        """Return a record by its id."""
        return self._records.get(record_id)

    def find(self, parts: Iterable[str]) -> QuarantineRecord | None:
        """Return the record that holds a prompt back for longest, None if there is none."""
        if not self._records:
            return None
        keys = set(parts)
        now_s = self._clock.monotonic_s()
        matching = [record for record in self._records.values() if record.parts <= keys]
        return max(matching, key=lambda record: record.left_s(now_s), default=None)

    def put(self, record: QuarantineRecord, is_own: bool = False) -> bool:
        """Add a record, or the state after a further trial.

        :param is_own: this router has the evidence; otherwise a recent release prevails.
        :returns: whether it is new to this router.
        """
        now_s = self._clock.monotonic_s()
        released_s = self._released_s.get(record.id)
        if not is_own and released_s is not None and now_s - released_s < RELEASE_PREVAILS_S:
            return False
        known = self._records.get(record.id)
        if known is not None and known.trials >= record.trials:
            return False
        record.held_from_s = now_s
        record.hold_s = min(max(record.hold_s, FIRST_HOLD_S), MAX_HOLD_S)
        record.held_back = known.held_back if known is not None else 0
        if known is None and len(self._records) >= MAX_RECORDS:
            oldest = min(self._records.values(), key=lambda other: other.held_from_s)
            del self._records[oldest.id]
        self._records[record.id] = record
        return True

    def begin_trial(self, record: QuarantineRecord) -> QuarantineRecord:
        """Return the record as it stands once a trial has been sent."""
        return QuarantineRecord(
            parts=record.parts,
            targets=record.targets,
            hold_s=min(MAX_HOLD_S, record.hold_s * 2),
            trials=record.trials + 1,
            since_ms=record.since_ms,
            reported_by=record.reported_by,
        )

    def release(self, record_id: str) -> QuarantineRecord | None:
        """Remove a record.

        :returns: the record, None if it is unknown.
        """
        now_s = self._clock.monotonic_s()
        self._released_s = {
            key: released_s
            for key, released_s in self._released_s.items()
            if now_s - released_s < RELEASE_PREVAILS_S
        }
        self._released_s[record_id] = now_s
        return self._records.pop(record_id, None)

    def answered(self, parts: Iterable[str]) -> list[QuarantineRecord]:
        """Records that an answer to a prompt disproves."""
        keys = set(parts)
        return [record for record in self._records.values() if record.parts <= keys]

    def idle(self) -> list[QuarantineRecord]:
        """Records for which no trial was asked for long after their time was over."""
        now_s = self._clock.monotonic_s()
        return [
            record
            for record in self._records.values()
            if now_s >= record.held_from_s + record.hold_s + IDLE_RELEASE_S
        ]
