"""Log output: one line of key=value pairs for each event, on standard output.

The volume is bounded for each event, so that a failure which repeats cannot fill the log, and a
line that cannot be written at once is dropped: a process never waits for the reader of its log.
What was left out is counted, and said in a line of its own.
"""

import os
import re
import sys
from typing import Any

import logbook

from coltsfootfront.common.clock import Clock, SystemClock

_BARE = frozenset("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-:/+")
_EVENT = re.compile(r"event=(\S+)")
# Lines of one event in a second, and how many may come at once after a pause. The busiest router
# ends about 60 requests in a second.
LINES_PER_S = 200.0
BURST_LINES = 400.0
# Interval of the line that says what was left out.
REPORT_INTERVAL_S = 5.0


def _quote(value: Any) -> str:
    text = f"{value:.6g}" if isinstance(value, float) else str(value)
    if text and all(character in _BARE for character in text):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
    return f'"{escaped}"'


def event(name: str, /, **fields: Any) -> str:
    """Format one log line.

    :param name: event name, a noun and a verb joined by underscores.
    :param fields: values; None values are left out.
    :returns: ``event=name key=value ...``
    """
    pairs = [f"event={name}"]
    pairs += [f"{key}={_quote(value)}" for key, value in fields.items() if value is not None]
    return " ".join(pairs)


class BoundedHandler(logbook.Handler, logbook.StringFormatterHandlerMixin):  # type: ignore[misc]
    """Writes lines without ever waiting, and bounds the lines of each event.

    :param descriptor: file descriptor to write to.
    :param clock: time source.
    """

    def __init__(self, descriptor: int, level: str, format_string: str, clock: Clock) -> None:
        logbook.Handler.__init__(self, level)
        logbook.StringFormatterHandlerMixin.__init__(self, format_string)
        self._descriptor = descriptor
        self._clock = clock
        self._allowed: dict[str, tuple[float, float]] = {}
        self._left_out: dict[str, int] = {}
        self._reported_s = clock.monotonic_s()

    def emit(self, record: logbook.LogRecord) -> None:
        """Write one line, or count it as left out."""
        found = _EVENT.search(record.message)
        name = found.group(1) if found else record.channel
        if not self._take(name) or not self._write(self.format(record)):
            self._left_out[name] = self._left_out.get(name, 0) + 1
        self._report()

    def _take(self, name: str) -> bool:
        now_s = self._clock.monotonic_s()
        lines, filled_s = self._allowed.get(name, (BURST_LINES, now_s))
        lines = min(BURST_LINES, lines + (now_s - filled_s) * LINES_PER_S)
        self._allowed[name] = (max(0.0, lines - 1.0), now_s)
        return lines >= 1.0

    def _write(self, line: str) -> bool:
        data = line.encode(errors="replace") + b"\n"
        try:
            return os.write(self._descriptor, data) == len(data)
        except (BlockingIOError, BrokenPipeError):
            return False

    def _report(self) -> None:
        now_s = self._clock.monotonic_s()
        if not self._left_out or now_s - self._reported_s < REPORT_INTERVAL_S:
            return
        counts = ",".join(f"{name}:{count}" for name, count in sorted(self._left_out.items()))
        if self._write(event("log_lines_left_out", counts=counts)):
            self._left_out.clear()
            self._reported_s = now_s


def setup(level: str, process_name: str) -> logbook.Handler:
    """Install the handler that writes every event to standard output.

    :param level: ``debug``, ``info``, ``warning`` or ``error``.
    :param process_name: value of the ``process`` key on each line.
    :returns: the installed handler.
    """
    descriptor = sys.stdout.fileno()
    os.set_blocking(descriptor, False)
    handler = BoundedHandler(
        descriptor,
        level.upper(),
        "time={record.time:%Y-%m-%dT%H:%M:%S.%f}Z level={record.level_name} "
        f"process={_quote(process_name)} module={{record.channel}} {{record.message}}",
        SystemClock(),
    )
    handler.push_application()
    return handler
