"""Decides whether a prompt is sent to the target chosen for it, or waits for room.

Load it answers: see :mod:`coltsfootfront.scheduling.dispatchqueue`.
"""

from dataclasses import dataclass

# Shorter prompts are sent at once: they hardly delay others, and engines rank them first.
MIN_HELD_PREFILL_TOKENS = 1_600
# Share of the objective for which a prompt may wait at the engine.
MAX_WAIT_SHARE = 0.25
# Shortest time after which a refused caller is told to return; the estimate is no more precise.
MIN_ROOM_AFTER_S = 0.1
# Share of the time for which its caller waits that a prompt waits at the router at most. It is sent
# then whatever waits at the engine, as it has to be prefilled there as well.
MAX_HOLD_SHARE = 0.3
# A prompt whose expected wait is longer than this share of the time left is refused.
MAX_EXPECTED_WAIT_SHARE = 0.6


@dataclass(frozen=True, slots=True)
class Candidate:
    """What is known of a prompt and of the target chosen for it.

    :param prefill_tokens: tokens that the target would have to prefill.
    :param begin_s: expected time until the target begins the prefill.
    :param objective_s: latency objective of the route.
    """

    prefill_tokens: int
    begin_s: float
    objective_s: float

    def has_room(self) -> bool:
        """Whether the target would begin the prompt soon."""
        return self.begin_s <= MAX_WAIT_SHARE * self.objective_s

    def may_be_held(self) -> bool:
        """Whether the prompt is long enough to wait at the router."""
        return self.prefill_tokens >= MIN_HELD_PREFILL_TOKENS


def room_after_s(begin_s: float, objective_s: float) -> float:
    """Time after which a target would begin a further prompt soon.

    :param begin_s: expected time until it would begin one that is sent now.
    """
    return max(MIN_ROOM_AFTER_S, begin_s - MAX_WAIT_SHARE * objective_s)


def hold_until_s(received_s: float, given_up_s: float) -> float:
    """Monotonic time until which a prompt waits at the router at most.

    :param given_up_s: monotonic time until which its caller waits.
    """
    return received_s + MAX_HOLD_SHARE * (given_up_s - received_s)


def is_too_late(expected_wait_s: float | None, now_s: float, given_up_s: float) -> bool:
    """Whether a prompt cannot be expected to be sent in time.

    :param expected_wait_s: None if it is unknown.
    :param given_up_s: monotonic time until which its caller waits.
    """
    if expected_wait_s is None:
        return False
    return expected_wait_s > MAX_EXPECTED_WAIT_SHARE * (given_up_s - now_s)
