"""Time in whole milliseconds and the clock interface that reads it."""

import abc
import time

#: A point in time or a duration, in milliseconds.
Ms = int

SECOND: Ms = 1_000
MINUTE: Ms = 60 * SECOND
HOUR: Ms = 60 * MINUTE

_NS_PER_MS = 1_000_000


class Clock(abc.ABC):
    """Interface of all clocks; code that waits or expires takes one."""

    @abc.abstractmethod
    def now(self) -> Ms:
        """Return the monotonic time in ms, from an arbitrary start."""

    def boot(self) -> Ms:
        """Return the monotonic time in ms, including suspensions of the VM.

        Use it for leases that others take over meanwhile.
        """
        return self.now()

    @abc.abstractmethod
    def wall(self) -> Ms:
        """Return the ms since the epoch.

        Use it in records and logs, never for leases: wall clocks jump and
        differ between VMs.
        """


class SystemClock(Clock):
    """Clock of the operating system."""

    def now(self) -> Ms:
        return time.monotonic_ns() // _NS_PER_MS

    def boot(self) -> Ms:
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // _NS_PER_MS

    def wall(self) -> Ms:
        return time.time_ns() // _NS_PER_MS
