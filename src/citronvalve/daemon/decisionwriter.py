"""Non-blocking writer of the decision log as JSON lines."""

import collections
from typing import Any

import eventlet
from eventlet import patcher
import msgspec

from citronvalve.model import clock
from citronvalve.model import decisionlog

#: Bounds the log's rate.  A request makes about three lines of 250 bytes, so
#: that the lines of 200 requests a second fit.
_MAX_BYTES_PER_SECOND = 200_000

#: Bounds the queue for a slow reader; further lines are dropped.
_MAX_QUEUED_BYTES = 1_000_000

#: Above this share of either bound only changes and failures are queued: they
#: show causes, whereas notes are many and similar.
_NOTE_SHARE = 0.7

_FLUSH_INTERVAL: clock.Ms = 20

#: A process that exits waits for its reader for this many intervals at most,
#: which is within its grace.
_MAX_LAST_FLUSHES = 10

# The monkey-patched module would block on a full pipe.
_os = patcher.original("os")


class DecisionWriter(decisionlog.DecisionLog):
    """Queues lines and writes them as far as the reader accepts them.

    :param name: the daemon's name, on every line.
    :param datacentre: its data centre, on every line.
    :param time_source: the clock.
    :param descriptor: file descriptor to write to; set to non-blocking.
    :ivar dropped: number of dropped lines.
    """

    def __init__(
        self,
        name: str,
        datacentre: str,
        time_source: clock.Clock,
        descriptor: int = 1,
    ) -> None:
        self._common = {"daemon": name, "datacentre": datacentre}
        self._clock = time_source
        self._descriptor = descriptor
        self._lines: collections.deque[bytes] = collections.deque()
        self._queued_bytes = 0
        self._second = 0
        self._bytes_this_second = 0
        self._reported_dropped = 0
        self._open = True
        self.dropped = 0
        _os.set_blocking(descriptor, False)

    def note(self, event: str, request: str = "", **inputs: Any) -> None:
        self._add(event, _NOTE_SHARE, request=request, **inputs)

    def change(self, event: str, **inputs: Any) -> None:
        self._add(event, 1.0, **inputs)

    def run(self) -> None:
        """Write forever."""
        while True:
            self.flush()
            eventlet.sleep(_FLUSH_INTERVAL / clock.SECOND)

    def finish(self) -> None:
        """Write what is queued, as far as the reader accepts it in time.

        A pipe takes 64 KB at once, which is less than may be queued.
        """
        for _ in range(_MAX_LAST_FLUSHES):
            self.flush()
            if not self._lines:
                return
            eventlet.sleep(_FLUSH_INTERVAL / clock.SECOND)

    def flush(self) -> None:
        """Write queued lines until the descriptor would block."""
        while self._lines and self._open:
            line = self._lines[0]
            try:
                written = _os.write(self._descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone.  Serving continues, and only the count of
                # dropped lines shows it.
                self._open = False
                self._lines.clear()
                return
            self._queued_bytes -= written
            if written < len(line):
                self._lines[0] = line[written:]
                return
            self._lines.popleft()

    def _add(self, event: str, share: float, **inputs: Any) -> None:
        now = self._clock.now()
        if now // clock.SECOND != self._second:
            self._second = now // clock.SECOND
            self._bytes_this_second = 0
            self._report_dropped(now)
        if not self._fits(share):
            self.dropped += 1
            return
        self._append(event, now, inputs)

    def _fits(self, share: float) -> bool:
        has_queue_space = self._queued_bytes < share * _MAX_QUEUED_BYTES
        return (
            self._open
            and has_queue_space
            and self._bytes_this_second < share * _MAX_BYTES_PER_SECOND
        )

    def _report_dropped(self, now: clock.Ms) -> None:
        count = self.dropped - self._reported_dropped
        if count:
            self._reported_dropped = self.dropped
            self._append("lines dropped", now, {"count": count})

    def _append(
        self, event: str, now: clock.Ms, inputs: dict[str, Any]
    ) -> None:
        line = {
            "wall_ms": self._clock.wall(),
            "at_ms": now,
            "event": event,
            **self._common,
            **inputs,
        }
        data = msgspec.json.encode(line, enc_hook=str) + b"\n"
        self._lines.append(data)
        self._queued_bytes += len(data)
        self._bytes_this_second += len(data)
