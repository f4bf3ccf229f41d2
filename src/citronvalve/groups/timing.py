"""Timeouts and intervals for running replica groups."""

from typing import NamedTuple

from citronvalve.model import clock


class Timing(NamedTuple):
    """Times in ms; all leaders of a data centre must use the same values.

    ``lease_duration``: a lease whose row is unchanged for this long may be
    taken over.  The holder counts from before it sent its write, others from
    when they read the row, so that the holder stops first.
    ``max_clock_drift``: added before a takeover, for clocks that run at
    different rates.
    ``renew_interval``: short enough for three attempts within a lease.
    ``unreachable_after``: age from which a read-back is not acted on.  A VM
    with no answer for this long and two missed polls is lost; with one poll
    per second, detection takes at most 3 s.
    ``second_miss_after``: a poll sent this long after the first one that was
    missed counts as the second one.  It is less than the interval of polls,
    which varies by some ms.
    ``max_state_age``: older group states are not used for routing.
    ``max_order_delay``: longest time that an order may take to arrive; the
    client times out earlier.
    ``drain_timeout``: how long a change waits for requests in progress; the
    default maximum of callers' deadlines.
    ``list_interval``: between reads of the VM list, which lags by more than
    this anyway.
    """

    lease_duration: clock.Ms = 10_000
    max_clock_drift: clock.Ms = 500
    renew_interval: clock.Ms = 3_000
    unreachable_after: clock.Ms = 2_000
    second_miss_after: clock.Ms = 900
    max_state_age: clock.Ms = 3_000
    max_order_delay: clock.Ms = 3_000
    drain_timeout: clock.Ms = 30_000
    list_interval: clock.Ms = 5_000
