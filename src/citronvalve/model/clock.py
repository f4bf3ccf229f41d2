"""Time in whole milliseconds, read from one small clock type."""

import abc
import time

#: A moment or a span, in milliseconds.
Ms = int

SECOND: Ms = 1_000
MINUTE: Ms = 60 * SECOND
HOUR: Ms = 60 * MINUTE

_NS_PER_MS = 1_000_000


class Clock(abc.ABC):
    """Reads the time; everything that waits or expires is given one."""

    @abc.abstractmethod
    def now(self) -> Ms:
        """Return the monotonic time in ms; only differences mean anything."""

    @abc.abstractmethod
    def wall(self) -> Ms:
        """Return ms since the epoch; for records and logs, never for leases.

        Wall clocks step and differ between VMs.
        """


class SystemClock(Clock):
    """The clock of the machine."""

    def now(self) -> Ms:
        return time.monotonic_ns() // _NS_PER_MS

    def wall(self) -> Ms:
        return time.time_ns() // _NS_PER_MS
