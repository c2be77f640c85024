"""Observes which requests were unanswered at a target when it crashed.

A lost connection alone is no crash. A target has crashed if it also accepts no new connection, and
has not announced that it is draining.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from coltsfootfront.common.clock import Clock
from coltsfootfront.common.timeouts import ReadTimeout
from coltsfootfront.direct.crashevidence import Parts, Suspect
from coltsfootfront.direct.directory import Target

# Time between the loss of a request and the refused connection that confirms the crash.
CONFIRMATION_S = 1.0


@dataclass(slots=True, eq=False)
class Exchange:
    """A request that was sent to a target.

    :param parts: keys of the request, by which it is told from others.
    :param timeout: ends the exchange.
    :param sent_s: monotonic time at which it began.
    :param is_trial: it was sent to find out whether its parts still crash targets.
    :param is_answering: the head of the answer has arrived.
    :param is_relayed: the caller has begun to read the answer.
    :param is_answered: the target has gone on answering.
    :param is_withdrawn: ended because its parts have been quarantined.
    """

    parts: Parts
    timeout: ReadTimeout
    sent_s: float
    is_trial: bool = False
    is_answering: bool = False
    is_relayed: bool = False
    is_answered: bool = False
    is_withdrawn: bool = False


@dataclass(slots=True)
class _Losses:
    """Unanswered requests that were lost at one start of a target.

    :param lost: monotonic time and request.
    :param down_s: monotonic time at which it last accepted no connection.
    """

    lost: list[tuple[float, Suspect]] = field(default_factory=list)
    down_s: float = float("-inf")


class CrashObserver:
    """Tracks the exchanges of this router.

    :param clock: time source.
    :param on_crash: called with a target that has crashed and its unanswered requests.
    :param confirm: probes whether a target accepts connections.
    """

    __slots__ = ("_clock", "_confirm", "_losses", "_on_crash", "_open")

    def __init__(
        self,
        clock: Clock,
        on_crash: Callable[[Target, list[Suspect]], None],
        confirm: Callable[[Target], None],
    ) -> None:
        self._clock = clock
        self._on_crash = on_crash
        self._confirm = confirm
        self._open: set[Exchange] = set()
        self._losses: dict[tuple[str, int], _Losses] = {}

    def begin(self, parts: Parts, timeout: ReadTimeout, is_trial: bool) -> Exchange:
        """Track an exchange until :meth:`end`."""
        exchange = Exchange(parts, timeout, self._clock.monotonic_s(), is_trial)
        self._open.add(exchange)
        return exchange

    def end(self, exchange: Exchange) -> None:
        """Stop tracking an exchange."""
        self._open.discard(exchange)

    def record_loss(self, target: Target, exchange: Exchange) -> None:
        """Record that an exchange has failed without a complete answer."""
        if exchange.is_answered or not exchange.parts or not target.is_usable():
            return
        now_s = self._clock.monotonic_s()
        losses = self._of(target, now_s)
        suspect = Suspect(exchange.parts, exchange.is_answering, exchange.sent_s, now_s)
        losses.lost.append((now_s, suspect))
        if now_s - losses.down_s < CONFIRMATION_S:
            self._report(target, losses, now_s)
        else:
            self._confirm(target)

    def record_down(self, target: Target) -> None:
        """Record that a target accepts no connection."""
        now_s = self._clock.monotonic_s()
        losses = self._losses.get(_key(target))
        if losses is None or not target.is_usable():
            return
        losses.down_s = now_s
        self._report(target, losses, now_s)

    def withdraw(self, parts: frozenset[str]) -> int:
        """End the unanswered exchanges whose prompts have all of some parts.

        An answer that its caller has begun to read goes on. Most targets drop a queued request when
        its connection closes.

        :returns: their number.
        """
        withdrawn = [
            exchange
            for exchange in self._open
            if parts.issubset(exchange.parts)
            and not (exchange.is_answered or exchange.is_relayed or exchange.is_trial)
        ]
        for exchange in withdrawn:
            exchange.is_withdrawn = True
            exchange.timeout.expire()
        return len(withdrawn)

    def _of(self, target: Target, now_s: float) -> _Losses:
        for key, losses in list(self._losses.items()):
            losses.lost = [item for item in losses.lost if now_s - item[0] < CONFIRMATION_S]
            if not losses.lost and now_s - losses.down_s >= CONFIRMATION_S:
                del self._losses[key]
        return self._losses.setdefault(_key(target), _Losses())

    def _report(self, target: Target, losses: _Losses, now_s: float) -> None:
        suspects = [item for lost_s, item in losses.lost if now_s - lost_s < CONFIRMATION_S]
        losses.lost.clear()
        if suspects:
            self._on_crash(target, suspects)


def _key(target: Target) -> tuple[str, int]:
    return target.name, target.entry.started_ms
