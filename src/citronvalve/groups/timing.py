"""The spans that group keeping is built on."""

from typing import NamedTuple

from citronvalve.model import clock


class Timing(NamedTuple):
    """Spans in ms; each leader of a data centre must use the same.

    ``lease``: a row unchanged for this long is up for the taking.  Its
    holder counts from before its write was sent, a taker from when it saw
    the row, so that the holder has stopped first.
    ``drift``: added by the taker, for clocks that run at unlike rates.
    ``renew``: three tries fit into a lease.
    ``silent``: nothing is done by a read-back that is as old; a VM that was
    silent for so long, and twice left a poll unanswered, is missing, and
    with a poll a second detection stays within 3 s.
    ``one_missed``: a poll that is later than this after the last answer is
    the second one that was missed, or a further one.
    ``fresh``: a group state older than this is not routed on.
    ``order_bound``: longest time that an order sent may take to arrive; the
    client gives up earlier.
    ``drain``: how long a change waits for requests in progress; the
    longest deadline that callers may state by default.
    ``list_every``: the VM list lags by more than this anyway.
    """

    lease_duration: clock.Ms = 10_000
    max_clock_drift: clock.Ms = 500
    renew_interval: clock.Ms = 3_000
    unreachable_after: clock.Ms = 2_000
    second_miss_after: clock.Ms = 1_500
    max_state_age: clock.Ms = 3_000
    max_order_delay: clock.Ms = 3_000
    drain_timeout: clock.Ms = 30_000
    list_interval: clock.Ms = 5_000
