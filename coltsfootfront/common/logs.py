"""Log output: one line of key=value pairs for each event, on standard output.

Each event has a rate limit, so that a repeating failure cannot fill the log. Writes do not block: a
line that cannot be written at once is dropped, so that a slow log reader never stalls the process.
Dropped lines are counted for each event, and the counts are logged.
"""

import os
import re
import sys
from typing import Any

import logbook

from coltsfootfront.common.clock import Clock, SystemClock

_UNQUOTED_CHARACTERS = frozenset(
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-:/+"
)
_EVENT_NAME = re.compile(r"event=(\S+)")
# Token bucket of each event: refill rate and capacity. The busiest router completes about 60
# requests in a second, and logs a line for each.
LINES_PER_S = 200.0
BURST_LINES = 400.0
# Shortest time between two lines that report the number of dropped lines.
REPORT_INTERVAL_S = 5.0
# Longer values are cut: others may write names and texts of any length.
MAX_VALUE_LENGTH = 1000


def _quote(value: Any) -> str:
    text = f"{value:.6g}" if isinstance(value, float) else str(value)
    if len(text) > MAX_VALUE_LENGTH:
        text = f"{text[:MAX_VALUE_LENGTH]}..."
    if text and all(character in _UNQUOTED_CHARACTERS for character in text):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
    if not escaped.isprintable():
        escaped = "".join(map(_escape, escaped))
    return f'"{escaped}"'


def _escape(character: str) -> str:
    return character if character.isprintable() else ascii(character)[1:-1]


def event(name: str, /, **fields: Any) -> str:
    """Format one log line.

    :param name: event name, a noun and a verb joined by underscores.
    :param fields: values; None values are left out.
    :returns: ``event=name key=value ...``
    """
    pairs = [f"event={name}"]
    pairs += [f"{key}={_quote(value)}" for key, value in fields.items() if value is not None]
    return " ".join(pairs)


class RateLimitedHandler(logbook.Handler, logbook.StringFormatterHandlerMixin):  # type: ignore[misc]
    """Writes lines without blocking, with a rate limit for each event.

    :param descriptor: non-blocking file descriptor to write to.
    :param clock: time source.
    """

    def __init__(self, descriptor: int, level: str, format_string: str, clock: Clock) -> None:
        logbook.Handler.__init__(self, level)
        logbook.StringFormatterHandlerMixin.__init__(self, format_string)
        self._descriptor = descriptor
        self._clock = clock
        self._token_buckets: dict[str, tuple[float, float]] = {}
        self._dropped_lines: dict[str, int] = {}
        self._reported_s = clock.monotonic_s()

    def emit(self, record: logbook.LogRecord) -> None:
        """Write one line, or count it as dropped."""
        match = _EVENT_NAME.search(record.message)
        name = match.group(1) if match else record.channel
        if not self._take_token(name) or not self._write(self.format(record)):
            self._dropped_lines[name] = self._dropped_lines.get(name, 0) + 1
        self._report_dropped()

    def _take_token(self, name: str) -> bool:
        now_s = self._clock.monotonic_s()
        tokens, filled_s = self._token_buckets.get(name, (BURST_LINES, now_s))
        tokens = min(BURST_LINES, tokens + (now_s - filled_s) * LINES_PER_S)
        self._token_buckets[name] = (max(0.0, tokens - 1.0), now_s)
        return tokens >= 1.0

    def _write(self, line: str) -> bool:
        data = line.encode(errors="replace") + b"\n"
        try:
            return os.write(self._descriptor, data) == len(data)
        except (BlockingIOError, BrokenPipeError):
            return False

    def _report_dropped(self) -> None:
        now_s = self._clock.monotonic_s()
        if not self._dropped_lines or now_s - self._reported_s < REPORT_INTERVAL_S:
            return
        counts = ",".join(f"{name}:{count}" for name, count in sorted(self._dropped_lines.items()))
        if self._write(event("log_lines_left_out", counts=counts)):
            self._dropped_lines.clear()
            self._reported_s = now_s


def setup(level: str, process_name: str) -> logbook.Handler:
    """Install the handler that writes every event to standard output.

    :param level: ``debug``, ``info``, ``warning`` or ``error``.
    :param process_name: value of the ``process`` key on each line.
    :returns: the installed handler.
    """
    descriptor = sys.stdout.fileno()
    os.set_blocking(descriptor, False)
    handler = RateLimitedHandler(
        descriptor,
        level.upper(),
        "time={record.time:%Y-%m-%dT%H:%M:%S.%f}Z level={record.level_name} "
        f"process={_quote(process_name)} module={{record.channel}} {{record.message}}",
        SystemClock(),
    )
    handler.push_application()
    return handler
